package limiter

import (
	"time"

	limits "github.com/corianderlever/corianderlever/limiter"
)

// done ends an attempt on the endpoint. The caller receives no answer if the
// connection is silent.
func (c *cluster) done(a *attempt) {
	if a.ended {
		return
	}
	a.endpoint.running = remove(a.endpoint.running, a)
	c.fill(a.endpoint)
	a.ended = true
	if a.silent {
		return // detected later by watch, or by the baseline's timeout
	}
	a.host.eject.Report(a.endpoint.id, limits.OutcomeOK)
	a.host.guard.RecordSuccess(a.req.hash)
	c.release(a, false)
	if c.sim.Now().Sub(a.req.arrived) <= callerDeadline {
		c.finished++
	}
}

// release ends the probation of the attempt, if it has one.
func (c *cluster) release(a *attempt, crashed bool) {
	if a.probation {
		c.probation.Finish(a.req.hash, a.endpoint.id, crashed)
	}
}

// crash takes the endpoint of the culprit down and fails all attempts on it.
func (c *cluster) crash(culprit *attempt) {
	if culprit.ended {
		return
	}
	e := culprit.endpoint
	c.actualCrashes[culprit.req.hash]++
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
		if a.ended && !a.silent {
			continue
		}
		a.ended = true
		if a.started {
			c.baselineCrashes[a.req.hash]++
		}
		c.release(a, a.started)
		c.failed(a)
	}
}

// failed retries the request within the retry budget, or replies to the caller.
func (c *cluster) failed(a *attempt) {
	if a.silent && c.limited {
		// A connection fault is no evidence that the endpoint is unhealthy.
		a.host.eject.Report(a.endpoint.id, limits.OutcomeIgnored)
	} else {
		a.host.eject.Report(a.endpoint.id, limits.OutcomeError)
	}
	r := a.req
	if r.attempts < maxAttempts && (!c.limited || a.host.budget.TryRetry()) {
		c.admit(a.host, r)
		return
	}
	c.reply(a.host, r)
}

// reply sends a failure or a rejection to the caller when the guard allows it.
// The caller of a poison request then submits it again to a random host.
func (c *cluster) reply(h *host, r *request) {
	wait := time.Millisecond
	if c.limited {
		wait = max(wait, h.guard.HoldReplyUntil(r.hash).Sub(c.sim.Now()))
	}
	c.sim.After(wait, func() {
		if r.poison && r.resubmissions < poisonResubmissions {
			r.resubmissions++
			c.submit(r)
		}
	})
}

// reject counts a rejected harmless request and replies to the caller.
func (c *cluster) reject(h *host, r *request) {
	if !r.poison {
		c.rejected++
	}
	c.reply(h, r)
}

// silence makes all open connections of one random endpoint silent permanently.
func (c *cluster) silence() {
	e := c.endpoints[c.random.IntN(len(c.endpoints))]
	for _, a := range append(append([]*attempt(nil), e.running...), e.waiting...) {
		if a.silent || a.req.poison {
			continue
		}
		a.silent = true
		if !c.limited {
			c.sim.After(baselineTimeout, func() { c.giveUp(a) })
			continue
		}
		c.watch(a, limits.NewSilenceDetector(c.sim.Now()))
	}
}

// watch polls the silence detector of an attempt until it gives up.
func (c *cluster) watch(a *attempt, w *limits.SilenceDetector) {
	c.sim.After(w.NextPoll().Sub(c.sim.Now()), func() {
		action := w.Poll(c.sim.Now())
		if action == limits.SilenceProbe {
			work := uint64(c.sim.Elapsed() / time.Millisecond)
			probe := limits.ProbeResult{Running: !a.ended, Progress: work}
			if a.started {
				probe.Sent = work
			}
			action = w.HandleProbeResult(c.sim.Now(), probe)
		}
		if action == limits.SilenceGiveUp {
			c.giveUp(a)
			return
		}
		c.watch(a, w)
	})
}

// giveUp closes the connection of an attempt, cancels the attempt and treats it
// as failed.
func (c *cluster) giveUp(a *attempt) {
	if !a.ended {
		a.ended = true
		a.endpoint.running = remove(a.endpoint.running, a)
		a.endpoint.waiting = remove(a.endpoint.waiting, a)
		c.fill(a.endpoint)
	}
	c.release(a, false)
	c.failed(a)
}

type poisonResult struct {
	worstCrashes float64
	rejected     float64
}

// poison runs harmless requests together with poison requests, which crash their
// endpoint and are submitted again by their callers to random hosts.
func poison(seed uint64, limited bool) poisonResult {
	c := newCluster(seed, options{limited: limited, rate: 60, poisonEvery: 7 * time.Second, length: 3 * time.Minute})
	c.run()
	result := poisonResult{rejected: float64(c.rejected)}
	for _, n := range c.actualCrashes {
		result.worstCrashes = max(result.worstCrashes, float64(n))
	}
	return result
}

// goodput runs endpoint crashes and silent connections at 90% load and returns
// the share of requests finished within the deadline. The crashes of the limited
// run cost less than the remaining 10% of capacity, so the healthy capacity
// covers all offered requests.
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
