package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

const (
	// changeBound is the time from the acknowledgement of a configuration until all hosts that
	// nothing disturbs must act on it.
	changeBound = 2 * time.Second
	// changeTime is the time for which a change is observed, and a fault lasts.
	changeTime = changeBound + time.Second
	// maxChangeDelay bounds the time from a fault to the change.
	maxChangeDelay = 100 * time.Millisecond
	// maxCalmTime bounds the time beyond contactBound without a fault. It is longer than a host
	// waits for a change, so that faults meet the hosts' calls at all phases.
	maxCalmTime = 1500 * time.Millisecond
	// keyCallPause is the time between two calls to one host.
	keyCallPause = 2 * callPause
)

// hostFault is a fault of a few hosts at a time.
type hostFault struct {
	name string
	run  func(s *soak, ctx context.Context, h *Host)
}

var hostFaults = []hostFault{
	{"store silent for", func(_ *soak, ctx context.Context, h *Host) {
		h.Store.Stall()
		wait(ctx, changeTime)
		h.Store.ClearFaults()
	}},
	{"paused", func(_ *soak, ctx context.Context, h *Host) { h.Pause(ctx, changeTime) }},
	{"killed", func(s *soak, ctx context.Context, h *Host) {
		h.control.Lock()
		defer h.control.Unlock()
		h.Kill()
		wait(ctx, changeTime/2)
		s.restart(h)
	}},
}

// changeTrial is a key that is taken away beside a fault, and given back later.
type changeTrial struct {
	// disturbed holds the addresses of the hosts that have a fault.
	disturbed map[string]bool
	// taken and given are the times at which the store acknowledged the two changes; ended is
	// the end of the trial.
	taken, given, ended time.Time
}

// runChanges takes a key away again and again, each time beside a fault of one or two hosts,
// and returns the violations at the others.
func (s *soak) runChanges(ctx context.Context) ([]string, error) {
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var calls sync.WaitGroup
	for i, c := range s.callers {
		calls.Go(func() { c.sendKeyTo(callCtx, s.hosts[i]) })
	}
	rng := rand.New(rand.NewPCG(s.Seed, 11))
	var trials []changeTrial
	for end := time.Now().Add(s.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		wait(ctx, contactBound+randomTime(rng, maxCalmTime))
		trials = append(trials, s.playChange(ctx, rng))
	}
	stopCalls()
	calls.Wait()
	s.collectHistory()
	for i := range trials {
		s.checkTrial(i, &trials[i])
	}
	return append(s.violations, s.history.Check()...), ctx.Err()
}

// playChange plays one trial. The key is given back when the hosts with a fault have recovered.
func (s *soak) playChange(ctx context.Context, rng *rand.Rand) changeTrial {
	t := changeTrial{disturbed: make(map[string]bool)}
	var faults sync.WaitGroup
	for _, i := range rng.Perm(len(s.hosts))[:1+rng.IntN(2)] {
		h, f := s.hosts[i], hostFaults[rng.IntN(len(hostFaults))]
		t.disturbed[h.Addresses.Frontend] = true
		s.log("%s %s", f.name, h.Name)
		faults.Go(func() { f.run(s, ctx, h) })
	}
	wait(ctx, randomTime(rng, maxChangeDelay))
	s.d.Configure(platformtest.ValidKey)
	t.taken = time.Now()
	s.log("key taken away")
	faults.Wait()
	s.d.Configure(platformtest.ValidKey, platformtest.RevokedKey)
	t.given = time.Now()
	wait(ctx, changeTime)
	t.ended = time.Now()
	return t
}

// checkTrial adds a violation for each call that an undisturbed host treated as only an older
// configuration allows.
func (s *soak) checkTrial(n int, t *changeTrial) {
	runs := s.history.runsByCall()
	judged, latest := 0, time.Duration(0)
	for i := range s.history.Calls {
		c := &s.history.Calls[i]
		if t.disturbed[c.Host] || c.Sent.Before(t.taken) || c.Sent.After(t.ended) {
			continue
		}
		ran, since := len(runs[c.ID]) > 0, c.Sent.Sub(t.taken)
		switch {
		case c.Sent.Before(t.given) && ran:
			latest = max(latest, since)
			if since > changeBound {
				s.addViolation("%s to %s, sent %v after its key was taken away, ran", c.ID, c.Host, since.Round(time.Millisecond))
			}
		case c.Sent.Sub(t.given) > changeBound && c.Status == http.StatusUnauthorized:
			s.addViolation("%s to %s, sent %v after its key was given back, was refused", c.ID, c.Host, c.Sent.Sub(t.given).Round(time.Millisecond))
		}
		judged++
	}
	s.log("change %d: %d calls to undisturbed hosts, the last one that ran was sent %v after the key was taken away", n, judged, latest.Round(time.Millisecond))
	if judged == 0 {
		s.addViolation("no call to an undisturbed host beside change %d", n)
	}
}

// sendKeyTo sends lookups with the key that is taken away to one host.
func (c *Caller) sendKeyTo(ctx context.Context, h *Host) {
	defer c.http.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		call := c.send(ctx, Call{ID: fmt.Sprintf("%s-%d", c.name, n), Kind: Lookup, Key: platformtest.RevokedKey, Host: h.Addresses.Frontend})
		if ctx.Err() == nil {
			c.add(call)
		}
		wait(ctx, keyCallPause)
	}
}
