// Package soak runs the router as several processes on one machine, injects
// faults from outside, and checks the guarantees of the system against what
// callers and endpoints observe.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// Options configure a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Hosts    int
	Callers  int
	// Maintenance limits the faults to what an operator plans: stops, signals, and
	// changes of settings, configuration and endpoints. No call may be lost then.
	Maintenance bool
	// Changes limits the faults to one or two hosts at a time, each right before a key is taken
	// away. All other hosts must act on that in time.
	Changes bool
	// Paths limits the faults to silent paths between hosts, which meet streams that one host
	// serves for another.
	Paths bool
	// Dir receives settings and logs.
	Dir string
	// Binary is the program under test.
	Binary string
	// Logf receives a line for each fault.
	Logf func(format string, args ...any)
}

// Build compiles the program under test into dir.
func Build(ctx context.Context, dir string) (string, error) {
	binary := filepath.Join(dir, "soakhost")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "github.com/corianderlever/corianderlever/internal/cmd/soakhost").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return binary, nil
}

// soak is the state of one run.
type soak struct {
	Options
	rng       *rand.Rand
	startTime time.Time
	d         *platformtest.Deployment
	hosts     []*Host
	callers   []*Caller
	lines     []*line
	// pausedLines send streams with pauses, which take seconds, while faults go on.
	pausedLines []*line
	// helpedLines send such streams to hosts for which others have to serve.
	helpedLines []*line
	history     History
	mu          sync.Mutex
	violations  []string
}

const (
	plainEndpoints  = 3
	engineEndpoints = 4
	// settleTime is the time after the last fault within which the system must
	// return to full service; recoveredTime is the observation time after that.
	settleTime    = 6 * time.Second
	recoveredTime = 3 * time.Second
	// minAnsweredShare is the share of calls that must be answered during
	// recoveredTime.
	minAnsweredShare = 0.95
	// startTimeout bounds the time until the first call is answered.
	startTimeout = 10 * time.Second
)

// Run executes one seed and returns the violated guarantees.
func Run(ctx context.Context, opts Options) ([]string, error) {
	s := &soak{Options: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), startTime: time.Now()}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	if s.Changes {
		return s.runChanges(ctx)
	}
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var wg sync.WaitGroup
	for _, c := range s.callers {
		wg.Go(func() { c.Run(callCtx) })
	}
	pressCtx, stopPress := context.WithCancel(callCtx)
	defer stopPress()
	for i, l := range s.lines {
		lineCtx := pressCtx
		if i%2 == 0 {
			lineCtx = callCtx
		}
		wg.Go(func() { l.Run(lineCtx) })
	}
	for _, l := range s.pausedLines {
		wg.Go(func() { l.Run(pressCtx) })
	}
	switch {
	case s.Maintenance:
		s.maintain(ctx)
	case s.Paths:
		s.injectMore(ctx, pathFaults, pathStream)
	default:
		s.injectFaults(ctx)
	}
	stopPress()
	wait(ctx, settleTime)
	recovered := time.Now()
	wait(ctx, recoveredTime)
	stopCalls()
	wg.Wait()
	s.collectHistory()
	s.checkRecovery(recovered)
	s.checkCrashes(recovered)
	s.checkRateLimit(recovered)
	if s.Maintenance {
		s.violations = append(s.violations, s.history.checkUnanswered(s.log)...)
	}
	return append(s.violations, s.history.Check()...), ctx.Err()
}

func (s *soak) start(ctx context.Context) error {
	err := checkHosts(s.Hosts)
	if err != nil {
		return err
	}
	if s.d, err = platformtest.NewDeployment(plainEndpoints, engineEndpoints); err != nil {
		return err
	}
	s.history.Events = s.d.Engines[0].Events
	s.d.StreamTimeout = longCallTimeout
	s.d.Configure(platformtest.ValidKey, platformtest.RevokedKey)
	if s.Maintenance {
		for range engineEndpoints {
			s.d.AddSpare(platformtest.TargetVersion)
		}
		for _, e := range s.allEndpoints() {
			e.Slots = s.Callers // at times streams wait for one
		}
	} else {
		s.d.Engines[0].RateLimit = rateLimit
	}
	go s.d.SendHeartbeats(s.allEndpoints()...)
	var all []platformtest.Addresses
	for range s.Hosts {
		a, err := platformtest.FreeAddresses()
		if err != nil {
			return err
		}
		all = append(all, a)
	}
	seeds := func(int) []string { return []string{all[0].Peer, all[1%len(all)].Peer} }
	for i, a := range all {
		h, err := NewHost(s.Dir, s.Binary, i, seeds, a, s.d.StoreAddress())
		if err != nil {
			return err
		}
		if s.noRetries() {
			if err := h.Settings.SetNoRetries(); err != nil {
				return err
			}
		}
		h.onExit = func(err error) { s.addViolation("%s ended by itself: %v", h.Name, err) }
		s.hosts = append(s.hosts, h)
		if err := h.Start(); err != nil {
			return err
		}
	}
	s.newCallers()
	return s.waitForFirstAnswer(ctx)
}

// linesPerCaller is the number of connections that a caller keeps. Half of them send calls
// only until the last fault has ended, as there are too few slots for all; one sends no
// streams.
const linesPerCaller = 6

func (s *soak) newCallers() {
	if s.Changes {
		for i := range s.hosts {
			s.callers = append(s.callers, NewCaller(fmt.Sprintf("k%d", i), s.hosts, s.Seed+uint64(i)))
		}
		return
	}
	for i := range s.Callers {
		l := newLine(fmt.Sprintf("p%d", i), s.hosts, s.Seed+uint64(s.Callers*linesPerCaller+i))
		l.paused = true
		s.pausedLines = append(s.pausedLines, l)
		if !s.Maintenance {
			s.callers = append(s.callers, NewCaller(fmt.Sprintf("c%d", i), s.hosts, s.Seed+uint64(i)))
			continue
		}
		for k := range linesPerCaller {
			l := newLine(fmt.Sprintf("c%d-%d", i, k), s.hosts, s.Seed+uint64(i*linesPerCaller+k))
			l.short = k == 0
			s.lines = append(s.lines, l)
		}
	}
}

// waitForFirstAnswer waits until a call is answered.
func (s *soak) waitForFirstAnswer(ctx context.Context) error {
	c := NewCaller("first", s.hosts, 0)
	deadline := time.Now().Add(startTimeout)
	for n := 0; time.Now().Before(deadline); n++ {
		if host := c.address(ctx); host != "" {
			call := c.send(ctx, Call{ID: fmt.Sprint("first-", n), Kind: Lookup, Key: platformtest.ValidKey, Host: host})
			if call.Answered() {
				return nil
			}
		}
		wait(ctx, 5*callPause)
	}
	return fmt.Errorf("no call was answered within %v", startTimeout)
}

func (s *soak) close() {
	for _, h := range s.hosts {
		h.Close()
	}
	if s.d != nil {
		s.d.Close()
	}
}

func (s *soak) log(format string, args ...any) {
	s.Logf("%6.2fs "+format, append([]any{time.Since(s.startTime).Seconds()}, args...)...)
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *soak) collectHistory() {
	s.history.Disturbances = make(map[string]Disturbances)
	for _, c := range s.callers {
		s.history.Calls = append(s.history.Calls, c.Calls()...)
	}
	for _, l := range slices.Concat(s.lines, s.pausedLines, s.helpedLines) {
		s.history.Calls = append(s.history.Calls, l.Calls()...)
	}
	for _, h := range s.hosts {
		s.history.Stops = append(s.history.Stops, h.Stops()...)
		s.history.Disturbances[h.source] = h.Disturbances()
	}
	if s.noRetries() {
		s.collectHelpers()
	}
	for _, e := range s.allEndpoints() {
		s.history.Runs = append(s.history.Runs, e.Runs()...)
	}
}

// noRetries reports whether hosts have no retries, so that callers see each answer that is cut.
func (s *soak) noRetries() bool { return s.Maintenance && s.Seed%2 == 0 }

func (s *soak) collectHelpers() {
	s.history.Helpers = make(map[string][]string)
	for _, h := range s.hosts {
		ids, err := h.helped()
		if err != nil {
			s.addViolation("log of %s: %v", h.Name, err)
		}
		for _, id := range ids {
			s.history.Helpers[id] = append(s.history.Helpers[id], h.Name)
		}
	}
}

// checkRecovery adds a violation unless enough calls sent after from were answered. In a run
// without retries, a call that its endpoint rejected and whose host says so can't be answered.
func (s *soak) checkRecovery(from time.Time) {
	total, answered, full := 0, 0, 0
	rejected := s.rejectedWithoutRetry()
	for i := range s.history.Calls {
		c := &s.history.Calls[i]
		if c.Sent.Before(from) || c.Key != platformtest.ValidKey || c.Kind == Crash {
			continue
		}
		if rejected[c.ID] && c.Status == http.StatusServiceUnavailable && !c.Incomplete {
			full++
			continue
		}
		total++
		if c.Answered() {
			answered++
		}
	}
	s.log("%d calls, %d runs; after recovery %d of %d answered, %d rejected by full endpoints", len(s.history.Calls), len(s.history.Runs), answered, total, full)
	if total == 0 || float64(answered) < minAnsweredShare*float64(total) {
		s.addViolation("%d of %d calls answered %v after the last fault", answered, total, settleTime)
	}
}

// rejectedWithoutRetry returns the ids of the calls that endpoints have rejected for want of a
// slot, in a run in which hosts may not send them to another one.
func (s *soak) rejectedWithoutRetry() map[string]bool {
	out := make(map[string]bool)
	if !s.noRetries() {
		return out
	}
	for _, e := range s.allEndpoints() {
		for _, id := range e.Rejected() {
			out[id] = true
		}
	}
	return out
}
