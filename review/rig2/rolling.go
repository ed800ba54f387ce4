package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

const (
	// rollingHosts is the number of hosts. The last one takes the streams and is the last one
	// to get SIGTERM.
	rollingHosts = 5
	// rollingGap is the time between two SIGTERMs, gracePeriod is GracePeriodS.
	rollingGap  = 1300 * time.Millisecond
	gracePeriod = 8 * time.Second
	// streams is the number of streams, streamEvents the number of their events and
	// streamInterval the time between two; streamTimeout is that of the route and the callers.
	streams        = 40
	streamEvents   = 52
	streamInterval = 250 * time.Millisecond
	streamTimeout  = 15 * time.Second
	// warmStreams is the number of short streams that each other host gets at once, so that the
	// engines reach their connection limit.
	warmStreams = 120
	// connectionLimit is the ConnectionLimit of the engines in the configuration.
	connectionLimit = 100
	// limitTime is the time for which the engines are at their connection limit.
	limitTime = 2500 * time.Millisecond
	// restartDelay is the time after which a process that has ended is started again.
	restartDelay = 300 * time.Millisecond
)

// errBelowLimit reports that the other hosts have opened too few connections.
var errBelowLimit = errors.New("an engine is below its connection limit")

// stream is what a caller has seen of a stream.
type stream struct {
	id          string
	sent, ended time.Time
	status      int
	body        string
	err         error
}

// complete reports whether all events have come.
func (s *stream) complete() bool {
	return s.err == nil && s.status == http.StatusOK && strings.Count(s.body, "id: ") == streamEvents
}

// playRolling restarts all hosts one after the other while the last of them has streams that
// others serve for it, since the engines were at their connection limit when the streams came.
// The rule LOST asks that each of these is answered whole: its host got SIGTERM, and the engines
// would go on with the streams.
func playRolling(ctx context.Context, r *run) error {
	c, err := newClusterOf(ctx, r, rollingHosts, func(d *platformtest.Deployment) error {
		_, err := d.AddEngine("v1")
		d.StreamTimeout = streamTimeout
		d.Configure(platformtest.ValidKey)
		return err
	})
	defer c.close()
	if err != nil {
		return err
	}
	if !wait(ctx, contactTime) {
		return ctx.Err()
	}
	last := c.hosts[len(c.hosts)-1]
	others := c.hosts[:len(c.hosts)-1]
	if err := c.reachLimit(ctx, others); err != nil {
		return err
	}
	if r.trouble {
		for _, e := range c.d.Engines {
			if err := e.Refuse(); err != nil {
				return err
			}
			engine := e
			time.AfterFunc(limitTime, func() { _ = engine.Accept() })
		}
		r.note("the engines are at their connection limit for %v", limitTime)
	}
	var all sync.WaitGroup
	seen := make([]stream, streams)
	for i := range seen {
		all.Go(func() { seen[i] = talk(ctx, last, fmt.Sprint("s", i), streamEvents, streamInterval) })
		wait(ctx, 10*time.Millisecond)
	}
	if !wait(ctx, limitTime+500*time.Millisecond) {
		return ctx.Err()
	}
	var stopped time.Time
	for _, h := range append(others[:len(others):len(others)], last) {
		stopped = time.Now()
		r.note("%s gets SIGTERM", h.name)
		all.Go(func() { h.restart(ctx, r) })
		wait(ctx, rollingGap)
	}
	all.Wait()
	return c.judgeStreams(seen, last, stopped)
}

// reachLimit lets hosts open connections until each engine has connectionLimit.
func (c *cluster) reachLimit(ctx context.Context, hosts []*host) error {
	const maxBursts = 5
	for range maxBursts {
		c.warm(ctx, hosts)
		least := math.MaxInt
		for _, e := range c.d.Engines {
			n := connectionsTo(e.Address())
			c.run.note("%s has %d connections", e.ID, n)
			least = min(least, n)
		}
		if least >= connectionLimit {
			return nil
		}
	}
	return errBelowLimit
}

// warm gives hosts open connections to the engines.
func (c *cluster) warm(ctx context.Context, hosts []*host) {
	var wg sync.WaitGroup
	for _, h := range hosts {
		for i := range warmStreams {
			wg.Go(func() { talk(ctx, h, fmt.Sprint("warm-", h.name, "-", i), 3, 100*time.Millisecond) })
		}
	}
	wg.Wait()
}

// connectionsTo returns the number of established connections that an address has accepted.
func connectionsTo(address string) int {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	at := netip.MustParseAddrPort(address)
	ip := at.Addr().As4()
	slices.Reverse(ip[:])
	local := fmt.Sprintf("%X:%04X", ip, at.Port())
	n := 0
	for line := range strings.Lines(string(text)) {
		const established = "01"
		if f := strings.Fields(line); len(f) > 3 && f[1] == local && f[3] == established {
			n++
		}
	}
	return n
}

// talk sends a stream request and reads its answer.
func talk(ctx context.Context, h *host, id string, events int, interval time.Duration) stream {
	s := stream{id: id}
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	req, err := platformtest.NewRequest(ctx, http.MethodPost, h.addresses.Frontend, platformtest.StreamPath, id, platformtest.ValidKey, streamTimeout)
	if err != nil {
		s.err = err
		return s
	}
	platformtest.SetWork(req, platformtest.Work{Delay: 20 * time.Millisecond, Events: events, EventInterval: interval})
	s.sent = time.Now()
	resp, err := (&http.Transport{}).RoundTrip(req)
	if err != nil {
		s.ended, s.err = time.Now(), err
		return s
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	s.ended, s.status, s.body, s.err = time.Now(), resp.StatusCode, string(data), err
	return s
}

// restart ends the process by SIGTERM, by SIGKILL after the grace period, and starts it again.
func (h *host) restart(ctx context.Context, r *run) {
	cmd, end := h.process()
	_ = cmd.Process.Signal(syscall.SIGTERM) // fails if the process has ended
	select {
	case <-end:
	case <-time.After(gracePeriod):
		h.kill()
	}
	r.note("%s has ended", h.name)
	if !wait(ctx, restartDelay) {
		return
	}
	if err := h.start(); err != nil {
		r.note("%s not started: %v", h.name, err)
	}
}

// judgeStreams checks the streams of a host that got SIGTERM at an instant.
func (c *cluster) judgeStreams(seen []stream, h *host, stopped time.Time) error {
	runs := c.streamRuns()
	lost, judged := 0, 0
	for _, s := range seen {
		after := s.ended.Sub(stopped)
		excuse := ""
		switch {
		case s.complete():
			excuse = "complete"
		case s.status == 0 || len(runs[s.id]) == 0:
			excuse = "not passed on to an engine"
		case after < 0 || after > gracePeriod+time.Second:
			excuse = "not around the SIGTERM"
		case s.ended.Sub(s.sent) >= streamTimeout:
			excuse = "the deadline was reached"
		case after > gracePeriod*5/6:
			excuse = "an engine may have been at work in the last sixth of the grace period"
		}
		c.run.noteAt(s.sent, "%s: status %d, %d events, error %v, ended %.3f s after the SIGTERM of %s, %.3f s after it was sent, runs %v; %s",
			s.id, s.status, strings.Count(s.body, "id: "), s.err, after.Seconds(), h.name, s.ended.Sub(s.sent).Seconds(), runs[s.id], excuse)
		judged++
		if excuse == "" {
			lost++
		}
	}
	c.run.note("%d of %d streams of %s ended without a complete answer", lost, judged, h.name)
	c.noteReasons(h)
	if lost > 0 {
		return fmt.Errorf("%w: LOST, %d of %d streams", errBroken, lost, judged)
	}
	return nil
}

// noteReasons records what a host has logged of the streams that it gave up. The check does not
// depend on it.
func (c *cluster) noteReasons(h *host) {
	text, err := os.ReadFile(h.log)
	if err != nil {
		return
	}
	counts := make(map[string]int)
	for line := range strings.Lines(string(text)) {
		_, rest, found := strings.Cut(line, "outcome=")
		if outcome, more, _ := strings.Cut(rest, " status="); found && outcome != "answered" {
			_, detail, _ := strings.Cut(more, "detail=")
			detail, _, _ = strings.Cut(detail, " steps=")
			counts[outcome+", "+detail]++
		}
	}
	for reason, n := range counts {
		c.run.note("log of %s: %d times %s", h.name, n, reason)
	}
}

// streamRuns returns the engines that ran each stream.
func (c *cluster) streamRuns() map[string][]string {
	out := make(map[string][]string)
	for _, e := range c.d.Engines {
		for _, run := range e.Runs() {
			out[run.Attempt] = append(out[run.Attempt], fmt.Sprintf("%s at %.3f to %.3f", run.Endpoint, run.At.Sub(c.run.started).Seconds(), run.Ended.Sub(c.run.started).Seconds()))
		}
	}
	return out
}
