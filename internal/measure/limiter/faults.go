package limiter

import (
	"time"

	limits "github.com/corianderlever/corianderlever/limiter"
)

// done ends an attempt on the endpoint. A silent connection does not deliver.
func (c *cluster) done(a *attempt) {
	if a.over {
		return
	}
	a.endpoint.running = remove(a.endpoint.running, a)
	c.fill(a.endpoint)
	a.over = true
	if a.silent {
		return // the watch, or the naive timeout, finds out
	}
	a.host.eject.Report(a.endpoint.id, limits.OutcomeOK)
	a.host.guard.RecordSuccess(a.req.hash)
	c.release(a, false)
	if c.sim.Now().Sub(a.req.arrived) <= callerDeadline {
		c.finished++
	}
}

func (c *cluster) release(a *attempt, crashed bool) {
	if a.probation {
		c.probation.Finish(a.req.hash, a.endpoint.id, crashed)
	}
}

// crash takes the endpoint down with all its attempts.
func (c *cluster) crash(by *attempt) {
	if by.over {
		return
	}
	e := by.endpoint
	c.crashes[by.req.hash]++
	e.down = true
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	c.sim.After(restartTime, func() { e.down = false })
	for _, h := range c.hosts {
		var running []limits.Hash
		for _, a := range lost {
			if a.host == h && a.started {
				running = append(running, a.req.hash)
			}
		}
		h.guard.RecordCrash(e.id, running)
	}
	for _, a := range lost {
		if a.over && !a.silent {
			continue
		}
		a.over = true
		if a.started {
			c.counted[a.req.hash]++
		}
		c.release(a, a.started)
		c.failed(a)
	}
}

// failed retries an attempt within the budget, or reports to the caller.
func (c *cluster) failed(a *attempt) {
	if a.silent && c.limited {
		// A connection fault says nothing about the endpoint.
		a.host.eject.Report(a.endpoint.id, limits.OutcomeIgnored)
	} else {
		a.host.eject.Report(a.endpoint.id, limits.OutcomeError)
	}
	r := a.req
	if r.attempts < maxAttempts && (!c.limited || a.host.budget.TryRetry()) {
		c.admit(a.host, r)
		return
	}
	c.tell(a.host, r)
}

// tell reports a failure or a refusal to the caller when the guard allows it.
// The caller of a poison request then sends it again, to any host.
func (c *cluster) tell(h *host, r *request) {
	wait := time.Millisecond
	if c.limited {
		wait = max(wait, h.guard.HoldReplyUntil(r.hash).Sub(c.sim.Now()))
	}
	c.sim.After(wait, func() {
		if r.poison && r.repeats < poisonRepeats {
			r.repeats++
			c.submit(r)
		}
	})
}

func (c *cluster) refuse(h *host, r *request) {
	if !r.poison {
		c.refused++
	}
	c.tell(h, r)
}

// silence makes all open connections of one endpoint silent for good.
func (c *cluster) silence() {
	e := c.endpoints[c.random.IntN(len(c.endpoints))]
	for _, a := range append(append([]*attempt(nil), e.running...), e.waiting...) {
		if a.silent || a.req.poison {
			continue
		}
		a.silent = true
		if !c.limited {
			c.sim.After(naiveTimeout, func() { c.abandon(a) })
			continue
		}
		c.watch(a, limits.NewSilenceDetector(c.sim.Now()))
	}
}

func (c *cluster) watch(a *attempt, w *limits.SilenceDetector) {
	c.sim.After(w.NextPoll().Sub(c.sim.Now()), func() {
		action := w.Poll(c.sim.Now())
		if action == limits.SilenceProbe {
			work := uint64(c.sim.Elapsed() / time.Millisecond)
			answer := limits.ProbeResult{Running: !a.over, Progress: work}
			if a.started {
				answer.Sent = work
			}
			action = w.HandleProbeResult(c.sim.Now(), answer)
		}
		if action == limits.SilenceGiveUp {
			c.abandon(a)
			return
		}
		c.watch(a, w)
	})
}

// abandon gives up the connection of an attempt and cancels it.
func (c *cluster) abandon(a *attempt) {
	if !a.over {
		a.over = true
		a.endpoint.running = remove(a.endpoint.running, a)
		a.endpoint.waiting = remove(a.endpoint.waiting, a)
		c.fill(a.endpoint)
	}
	c.release(a, false)
	c.failed(a)
}

type poisonResult struct {
	worstCrashes float64
	refused      float64
}

// poison runs crashing requests whose callers repeat them at any host, among
// innocent ones.
func poison(seed uint64, limited bool) poisonResult {
	c := newCluster(seed, options{limited: limited, rate: 60, poisonEvery: 7 * time.Second, length: 3 * time.Minute})
	c.run()
	result := poisonResult{refused: float64(c.refused)}
	for _, n := range c.crashes {
		result.worstCrashes = max(result.worstCrashes, float64(n))
	}
	return result
}

// goodput runs both faults at 90% load. The capacity lost by the crashes of the
// limited run is below the remaining 10%, so the healthy capacity covers all
// that is offered, and the figure is the share of requests finished in time.
func goodput(seed uint64) pair {
	run := func(limited bool) float64 {
		rate := 0.9 * clusterEndpoints * endpointSlots / meanService.Seconds()
		c := newCluster(seed, options{
			limited: limited, rate: rate, length: 3 * time.Minute,
			poisonEvery: 20 * time.Second, silentEvery: 9 * time.Second,
		})
		c.run()
		return float64(c.finished) / float64(c.offered)
	}
	return pair{baseline: run(false), value: run(true)}
}
