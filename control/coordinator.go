package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/rollout"
)

const (
	// coordinateInterval is the time between two checks of the active roll-out orders.
	coordinateInterval = 300 * time.Millisecond
	// finalInterval is that time in the last finalTime before the deadline of an order.
	finalInterval = 50 * time.Millisecond
	finalTime     = 2 * time.Second
)

// commitTimeout bounds the write of a step to the store.
const commitTimeout = 1500 * time.Millisecond

// Coordinator advances the roll-outs while this host holds the coordinator role.
// Two hosts that hold it at the same time do no harm, because a step is written
// only if the previous step is still the latest in the store.
type Coordinator struct {
	Rollouts *Rollouts
	Store    kv.Feed
	Codec    Codec
	// IsCoordinator reports whether this host holds the coordinator role now.
	IsCoordinator func() bool
	// Announce sends a step to the other hosts at once. If they learned of it one
	// after the other, requests of one session would reach different versions.
	Announce func(service string, step Step)
}

// Run advances the roll-outs until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Rollouts.clock.After(c.Rollouts.checkInterval()):
		}
		if !c.IsCoordinator() {
			continue
		}
		for _, p := range c.Rollouts.dueSteps() {
			c.publish(ctx, p)
		}
	}
}

// checkInterval returns the time until the active orders are to be checked again.
func (r *Rollouts) checkInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, s := range r.services {
		remaining := s.order.TimeLimit - s.age.atLeast(now)
		advance := s.order.CompletionAdvance(s.age.uncertainty(now))
		if s.hasOrder && !isFinal(s.current().State) && remaining > 0 && remaining-advance <= finalTime {
			return finalInterval
		}
	}
	return coordinateInterval
}

// proposal is a step to publish.
type proposal struct {
	service string
	step    Step
	reason  string
	// expectStep and expectStatus are the revisions that the keys must have for
	// the write to succeed.
	expectStep, expectStatus int64
	target, baseline         rollout.Tally
	// uncertainty is how much older the order may be than the step says.
	uncertainty time.Duration
}

// dueSteps returns the next steps of the active orders that are not yet published.
func (r *Rollouts) dueSteps() []proposal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []proposal
	for name, s := range r.services {
		if !s.hasOrder {
			continue
		}
		step := s.current()
		published := s.status.Target == s.order.Target && s.status.Revision > s.order.Revision
		stored := published && s.storedStep == step
		if isFinal(step.State) && stored && s.status.State == step.State {
			continue
		}
		next, reason := r.nextStep(name, s, step)
		if next == step && stored {
			continue
		}
		p := proposal{service: name, step: next, reason: reason, expectStep: s.stepRevision, expectStatus: s.status.Revision}
		p.target, p.baseline = s.tallies(r.self)
		p.uncertainty = s.age.uncertainty(r.clock.Now())
		out = append(out, p)
	}
	return out
}

// isFinal reports whether a roll-out in this state has ended.
func isFinal(state rollout.OrderState) bool {
	return state == rollout.OrderDone || state == rollout.OrderReverted
}

// nextStep returns the step that follows the given one, and the reason for it.
func (r *Rollouts) nextStep(name string, s *service, step Step) (Step, string) {
	if isFinal(step.State) {
		return step, "publish"
	}
	now := r.clock.Now()
	elapsed := s.age.atLeast(now)
	target, baseline := s.tallies(r.self)
	hosts := r.hosts()
	requests := s.requests(hosts)
	s.history.add(now, requests)
	d := r.stage().Advance(s.order, elapsed, step.Share, target, baseline, rollout.Conditions{
		CapacityRatio: r.capacityRatio(name, s.order.Target), RequestRate: s.rate(now, hosts), Requests: requests, Hosts: hosts,
		ShareAge: elapsed - milliseconds(step.ElapsedMS), Uncertainty: s.age.uncertainty(now),
	})
	if s.targetWorse {
		d = rollout.Decision{State: rollout.OrderReverted, Reason: "target is worse"}
	}
	if d.State == step.State && d.Share == step.Share {
		return step, d.Reason
	}
	return Step{Order: s.order.Revision, Target: s.order.Target, State: d.State, Share: d.Share, ElapsedMS: elapsed.Milliseconds()}, d.Reason
}

// rate estimates the requests per second for the service over a number of hosts.
func (s *service) rate(now time.Time, hosts int) float64 {
	return max(s.arrivals.rate(now)*float64(hosts), s.history.rate())
}

// capacityRatio returns the number of the target's endpoints divided by the number
// of the other versions' endpoints, or by 1 if there are none. Draining endpoints
// are not counted.
func (r *Rollouts) capacityRatio(name, target string) float64 {
	targets, others := 0, 0
	for _, e := range r.fleet.Service(name) {
		switch {
		case e.Draining:
		case e.Version == target:
			targets++
		default:
			others++
		}
	}
	if others == 0 {
		return float64(targets)
	}
	return float64(targets) / float64(others)
}

// publish writes a step and its status to the store. If the reply is lost, the
// change feed still delivers the step.
func (c *Coordinator) publish(ctx context.Context, p proposal) {
	log := c.Rollouts.log.With("service", p.service, "target", p.step.Target, "state", p.step.State, "share", p.step.Share)
	value, err := json.Marshal(p.step)
	if err != nil {
		log.Error("rollout step not encoded", "error", err)
		return
	}
	key, status, err := c.Codec.EncodeStatus(rollout.OrderStatus{Service: p.service, Target: p.step.Target, State: p.step.State})
	if err != nil {
		log.Error("rollout status not encoded", "error", err)
		return
	}
	ctx, cancel := kv.WithTimeout(ctx, c.Rollouts.clock, commitTimeout)
	defer cancel()
	revision, err := c.Store.Commit(ctx, []kv.Write{
		{Key: c.Codec.StepKey(p.service), Expect: p.expectStep, Value: value},
		{Key: key, Expect: p.expectStatus, Value: status},
	})
	switch {
	case errors.Is(err, kv.ErrConflict):
		log.Info("rollout step not published, another host was first")
		return
	case err != nil:
		log.Warn("rollout step not published", "error", err)
		return
	}
	log.Info("rollout step published", "reason", p.reason, "revision", revision, "elapsed_ms", p.step.ElapsedMS, "uncertainty_ms", p.uncertainty.Milliseconds(),
		"target_sent", p.target.Requests(), "target_bad", p.target.Bad, "target_slow", p.target.Slow, "target_good", p.target.Good,
		"base_sent", p.baseline.Requests(), "base_bad", p.baseline.Bad, "base_slow", p.baseline.Slow, "base_good", p.baseline.Good)
	c.Rollouts.recordPublished(p, revision)
	c.Announce(p.service, p.step)
}

// recordPublished applies a step that this host has written before the change
// feed delivers it.
func (r *Rollouts) recordPublished(p proposal, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(p.service)
	if revision > s.stepRevision {
		s.stepRevision, s.storedStep = revision, p.step
	}
	if revision > s.status.Revision {
		s.status = rollout.OrderStatus{Service: p.service, Target: p.step.Target, State: p.step.State, Revision: revision}
	}
	r.mergeStep(p.service, s, p.step, "own")
}
