package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/rollout"
)

// coordinateInterval is the time between two looks at the orders under way.
const coordinateInterval = 300 * time.Millisecond

// commitTimeout bounds a write of a step.
const commitTimeout = 1500 * time.Millisecond

// Coordinator advances the roll-outs while this host is the one that should.
// Two hosts that both believe so do no harm: a step is written under the
// condition that the one before it is still in force.
type Coordinator struct {
	Rollouts *Rollouts
	Store    kv.Feed
	Codec    Codec
	// IsCoordinator reports whether this host coordinates now.
	IsCoordinator func() bool
	// Announce tells the other hosts of a step at once. Hosts that learn of it one
	// after the other would send the requests of one session to different versions.
	Announce func(service string, step Step)
}

// Run coordinates until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	ticker := c.Rollouts.clock.NewTicker(coordinateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		if !c.IsCoordinator() {
			continue
		}
		for _, p := range c.Rollouts.due() {
			c.publish(ctx, p)
		}
	}
}

// proposal is a step that is to be published.
type proposal struct {
	service string
	step    Step
	reason  string
	// expectStep and expectStatus are the revisions that the keys must have.
	expectStep, expectStatus int64
	target, base             rollout.Tally
}

// due returns the steps that the orders under way are ready for.
func (r *Rollouts) due() []proposal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []proposal
	for name, s := range r.services {
		if !s.ordered {
			continue
		}
		step := s.current()
		published := s.status.Target == s.order.Target && s.status.Revision > s.order.Revision
		if final(step.State) && published && s.status.State == step.State {
			continue
		}
		next, reason := r.next(name, s, step)
		if next == step && published {
			continue
		}
		p := proposal{service: name, step: next, reason: reason, expectStep: s.stepRev, expectStatus: s.status.Revision}
		p.target, p.base = s.tallies(r.self)
		out = append(out, p)
	}
	return out
}

func final(state rollout.OrderState) bool {
	return state == rollout.OrderDone || state == rollout.OrderReverted
}

// next decides the step that follows.
func (r *Rollouts) next(name string, s *service, step Step) (Step, string) {
	if final(step.State) {
		return step, "publish"
	}
	elapsed := s.elapsed(r.clock.Now())
	target, base := s.tallies(r.self)
	d := r.stage().Advance(s.order, elapsed, step.Share, target, base, rollout.Conditions{
		CapacityRatio: r.capacity(name, s.order.Target), RequestRate: s.arrivals.rate(r.clock.Now()) * float64(r.hosts()),
	})
	if s.suspect {
		d = rollout.Decision{State: rollout.OrderReverted, Reason: "target is worse"}
	}
	if d.State == step.State && d.Share == step.Share {
		return step, d.Reason
	}
	return Step{Order: s.order.Revision, Target: s.order.Target, State: d.State, Share: d.Share, ElapsedMS: elapsed.Milliseconds()}, d.Reason
}

// capacity returns the number of endpoints of the target relative to the others.
func (r *Rollouts) capacity(name, target string) float64 {
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

// publish writes a step and its status. A reply that is lost shows in the feed.
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
	log.Info("rollout step published", "reason", p.reason, "revision", revision, "elapsed_ms", p.step.ElapsedMS,
		"target_bad", p.target.Bad, "target_good", p.target.Good, "base_bad", p.base.Bad, "base_good", p.base.Good)
	c.Rollouts.published(p, revision)
	c.Announce(p.service, p.step)
}

// published records an own write before the feed shows it.
func (r *Rollouts) published(p proposal, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(p.service)
	s.stepRev = max(s.stepRev, revision)
	if revision > s.status.Revision {
		s.status = rollout.OrderStatus{Service: p.service, Target: p.step.Target, State: p.step.State, Revision: revision}
	}
	r.takeStep(p.service, s, p.step, "own")
}
