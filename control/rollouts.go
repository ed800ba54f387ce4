package control

import (
	"encoding/json"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/rollout"
)

// Step is how far a roll-out is, as kept in the store and passed on by peers.
type Step struct {
	// Order is the store revision of the order.
	Order int64 `json:"order"`
	// Target is the version to move to.
	Target string             `json:"target"`
	State  rollout.OrderState `json:"state"`
	// Share is the part of the traffic that the target gets.
	Share float64 `json:"share"`
	// ElapsedMS is the time since the order when the step was decided.
	ElapsedMS int64 `json:"elapsed_ms"`
}

// ahead reports whether a step replaces another one of any order.
func (s Step) ahead(o Step) bool {
	switch {
	case s.Order != o.Order:
		return s.Order > o.Order
	case o.State == rollout.OrderDone || o.State == rollout.OrderReverted:
		return false
	case s.State != o.State:
		return s.State > o.State
	}
	return s.Share > o.Share
}

// service is what is known of the roll-out of one service.
type service struct {
	order    rollout.Order
	ordered  bool
	seenAt   time.Time // when this host learned of the order or of its step
	seenFrom time.Duration
	step     Step
	stepRev  int64
	status   rollout.OrderStatus
	// suspect is set once this host finds the target worse.
	suspect bool
	own     map[string]rollout.Tally            // by version, since the order
	peers   map[string]map[string]rollout.Tally // by host and version
	trial   map[uint32]rollout.Tally            // of the target, by host key
	pace    *pace
	// arrivals counts the requests at this host.
	arrivals arrivals
	// others are the sessions that no version on trial serves.
	others *sessions
}

// Rollouts steers which version of a service serves a request, and gathers how
// the versions answer. It is safe for concurrent use.
type Rollouts struct {
	self  string
	fleet *fleet.Registry
	stage func() rollout.StageConfig
	// hosts returns the number of hosts that serve.
	hosts func() int
	clock clockwork.Clock
	log   *slog.Logger

	mu       sync.Mutex
	services map[string]*service
}

// NewRollouts returns the rollouts as seen by a host, without orders.
func NewRollouts(self string, registry *fleet.Registry, stage func() rollout.StageConfig, hosts func() int, clock clockwork.Clock, log *slog.Logger) *Rollouts {
	return &Rollouts{self: self, fleet: registry, stage: stage, hosts: hosts, clock: clock, log: log, services: make(map[string]*service)}
}

func (r *Rollouts) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{pace: newPace(), others: newSessions()}
		s.reset()
		r.services[name] = s
	}
	return s
}

func (s *service) reset() {
	s.own = make(map[string]rollout.Tally)
	s.peers = make(map[string]map[string]rollout.Tally)
	s.trial = make(map[uint32]rollout.Tally)
	s.suspect = false
}

func (r *Rollouts) setOrder(o rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(o.Service)
	if s.ordered && o.Revision <= s.order.Revision {
		return
	}
	s.order, s.ordered = o, true
	s.seenAt, s.seenFrom = r.clock.Now(), 0
	s.reset()
	if s.step.Order == o.Revision {
		s.seenFrom = time.Duration(s.step.ElapsedMS) * time.Millisecond
	}
	r.log.Info("rollout ordered", "service", o.Service, "target", o.Target, "within", o.TimeLimit, "revision", o.Revision)
}

func (r *Rollouts) dropOrder(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(name).ordered = false
	r.log.Info("rollout order withdrawn", "service", name)
}

func (r *Rollouts) setStatus(status rollout.OrderStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(status.Service)
	if status.Revision > s.status.Revision {
		s.status = status
	}
}

// applyStep takes over a step from the store.
func (r *Rollouts) applyStep(name string, ev kv.Event) error {
	if ev.Deleted {
		return nil
	}
	var step Step
	if err := json.Unmarshal(ev.Entry.Value, &step); err != nil {
		return errors.Mark(err, ErrMalformedEntry)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	s.stepRev = max(s.stepRev, ev.Entry.Revision)
	r.takeStep(name, s, step, "store")
	return nil
}

func (r *Rollouts) takeStep(name string, s *service, step Step, from string) {
	if !step.ahead(s.step) {
		return
	}
	s.step = step
	if s.ordered && s.order.Revision == step.Order {
		s.atLeast(step.ElapsedMS, r.clock.Now())
	}
	r.log.Info("rollout step", "service", name, "target", step.Target, "state", step.State, "share", step.Share, "from", from)
}

// atLeast takes over the time since the order from a host that has known it for longer.
func (s *service) atLeast(elapsedMS int64, now time.Time) {
	if elapsed := time.Duration(elapsedMS) * time.Millisecond; s.elapsed(now) < elapsed {
		s.seenAt, s.seenFrom = now, elapsed
	}
}

// MergeStep takes over a step that another host has published.
func (r *Rollouts) MergeStep(name string, step Step, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeStep(name, r.service(name), step, from)
}

// Pick implements relay.Versions.
func (r *Rollouts) Pick(name string, point float64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	now := r.clock.Now()
	s.arrivals.add(now)
	step := s.current()
	if s.ordered && r.onTrial(s, step, point) {
		return r.ifServed(name, s.order.Target)
	}
	if point < r.stage().MaxCanaryShare() {
		s.others.add(sessionKey(point), now, r.sessionLife())
	}
	switch {
	case !s.ordered:
		return ""
	case step.State == rollout.OrderDone:
		return r.ifServed(name, s.order.Target)
	}
	return r.baseVersion(name, s.order.Target)
}

// onTrial decides whether a session uses the target of a roll-out under way.
func (r *Rollouts) onTrial(s *service, step Step, point float64) bool {
	if s.suspect || final(step.State) || point >= step.Share {
		return false
	}
	if step.Share > r.stage().MaxCanaryShare() {
		return true
	}
	return r.stage().CanaryStarted(s.order, s.elapsed(r.clock.Now())) && !s.others.held(sessionKey(point))
}

// elapsed returns the time since the order was given.
func (s *service) elapsed(now time.Time) time.Duration { return s.seenFrom + now.Sub(s.seenAt) }

// current returns the step of the order in force.
func (s *service) current() Step {
	if s.step.Order == s.order.Revision {
		return s.step
	}
	// A final status without a step is all that a replaced host may find.
	if s.status.Target == s.order.Target && s.status.Revision > s.order.Revision {
		return Step{Order: s.order.Revision, Target: s.order.Target, State: s.status.State}
	}
	return Step{Order: s.order.Revision, Target: s.order.Target}
}

// baseVersion returns the version with the most endpoints beside the target.
func (r *Rollouts) baseVersion(name, target string) string {
	counts := make(map[string]int)
	best := ""
	for _, e := range r.fleet.Service(name) {
		if e.Version == target || e.Draining {
			continue
		}
		counts[e.Version]++
		if n := counts[e.Version]; best == "" || n > counts[best] || n == counts[best] && e.Version < best {
			best = e.Version
		}
	}
	return best
}

// ifServed returns the version if an endpoint runs it.
func (r *Rollouts) ifServed(name, version string) string {
	for _, e := range r.fleet.Service(name) {
		if e.Version == version && !e.Draining {
			return version
		}
	}
	return ""
}

// Observe implements relay.Versions.
func (r *Rollouts) Observe(name, version string, o rollout.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	isTarget := s.ordered && version == s.order.Target
	bad := o.Bad
	if !bad {
		bad = s.pace.slow(o)
		if !isTarget {
			s.pace.observe(o)
		}
	}
	if !s.ordered {
		return
	}
	t := s.own[version]
	if bad {
		t.Bad++
	} else {
		t.Good++
	}
	s.own[version] = t
	if isTarget && bad {
		r.judge(name, s)
	}
}

// tallies returns the evidence about the target, of all hosts, and about the
// other versions, of the hosts that this one hears of directly.
func (s *service) tallies(self string) (target, base rollout.Tally) {
	s.noteTrial(hostKey(self), s.own[s.order.Target])
	for _, t := range s.trial {
		target = target.Add(t)
	}
	add := func(tallies map[string]rollout.Tally) {
		for version, t := range tallies {
			if version != s.order.Target {
				base = base.Add(t)
			}
		}
	}
	add(s.own)
	for _, tallies := range s.peers {
		add(tallies)
	}
	return target, base
}

// judge stops the target at this host at once when it is worse. The coordinator
// publishes the verdict.
func (r *Rollouts) judge(name string, s *service) {
	step := s.current()
	if s.suspect || final(step.State) {
		return
	}
	target, base := s.tallies(r.self)
	if r.stage().Advance(s.order, 0, step.Share, target, base, rollout.Conditions{}).State != rollout.OrderReverted {
		return
	}
	s.suspect = true
	r.log.Warn("rollout target worse", "service", name, "target", s.order.Target,
		"target_bad", target.Bad, "target_good", target.Good, "base_bad", base.Bad, "base_good", base.Good)
}

// Report is what one host passes on about a service.
type Report struct {
	Order int64 `json:"order"`
	Step  Step  `json:"step"`
	// ElapsedMS is the time since the order as this host knows it. A host that has
	// started again does not see when the order was given.
	ElapsedMS int64 `json:"elapsed_ms"`
	// Tallies are the host's own by version.
	Tallies map[string]rollout.Tally `json:"tallies,omitempty"`
}

// Reports returns what this host knows, for the other hosts.
func (r *Rollouts) Reports() map[string]Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Report)
	for name, s := range r.services {
		if s.ordered {
			out[name] = Report{
				Order: s.order.Revision, Step: s.step, ElapsedMS: s.elapsed(r.clock.Now()).Milliseconds(),
				Tallies: maps.Clone(s.own),
			}
		}
	}
	return out
}

// hear takes over the newer of two reports of one host. Its counts only rise.
func (s *service) hear(host string, tallies map[string]rollout.Tally) {
	known := maps.Clone(s.peers[host])
	if known == nil {
		known = make(map[string]rollout.Tally)
	}
	for version, t := range tallies {
		k := known[version]
		known[version] = rollout.Tally{Good: max(k.Good, t.Good), Bad: max(k.Bad, t.Bad)}
	}
	s.peers[host] = known
}

// MergeReports takes in what another host knows.
func (r *Rollouts) MergeReports(host string, evidence map[string]Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, e := range evidence {
		s := r.service(name)
		r.takeStep(name, s, e.Step, host)
		if s.ordered && e.Order == s.order.Revision {
			s.atLeast(e.ElapsedMS, r.clock.Now())
			s.hear(host, e.Tallies)
			s.noteTrial(hostKey(host), e.Tallies[s.order.Target])
			r.judge(name, s)
		}
	}
}
