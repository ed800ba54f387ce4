package control

import (
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/rollout"
)

// Step is the progress of a roll-out, as kept in the store and sent between hosts.
type Step struct {
	// Order is the store revision of the order.
	Order int64 `json:"order"`
	// Target is the version to move to.
	Target string             `json:"target"`
	State  rollout.OrderState `json:"state"`
	// Share is the fraction of the traffic that the target gets, 0 to 1.
	Share float64 `json:"share"`
	// ElapsedMS is the shortest time in milliseconds that had passed since the order at the
	// decision for this step.
	ElapsedMS int64 `json:"elapsed_ms"`
}

// supersedes reports whether s replaces o: it belongs to a later order, or it is
// further advanced in the same order and o is not a final step.
func (s Step) supersedes(o Step) bool {
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

// service is the state of the roll-out of one service at this host.
type service struct {
	order        rollout.Order
	hasOrder     bool
	age          orderAge
	orders       orderHistory
	step         Step
	stepRevision int64
	storedStep   Step // the step that the store has
	status       rollout.OrderStatus
	// targetWorse is set once this host finds the target worse than the baseline.
	targetWorse   bool
	ownTallies    map[string]rollout.Tally            // by version, since the order
	peerTallies   map[source]map[string]rollout.Tally // by source and version
	canaryTallies map[uint32]rollout.Tally            // of the target, by source key
	routes        routeTallies
	latency       *latencyBaseline
	routeLatency  *routeBaseline
	pace          *paceBaseline
	// arrivals counts the requests at this host, history those at all hosts.
	arrivals arrivals
	history  requestHistory
	// limit bounds the requests that this host sends to the target.
	limit exposureLimit
	// baselineSessions are the sessions that a version other than the target serves,
	// targetSessions those that the target serves.
	baselineSessions, targetSessions *sessions
}

// Rollouts chooses the version of a service for each request and counts good and
// bad answers per version. It is safe for concurrent use.
type Rollouts struct {
	self  source
	fleet *fleet.Registry
	// stage returns the settings of the stages.
	stage func() rollout.StageConfig
	// hosts returns the number of hosts that serve requests.
	hosts func() int
	clock clockwork.Clock
	log   *slog.Logger
	// OnBaselineSession is called without the lock for a session that has begun at this host
	// on the baseline shortly before the first stage of a roll-out. It must be set before the
	// first request.
	OnBaselineSession func(service string, key uint32)

	mu       sync.Mutex
	services map[string]*service
}

// NewRollouts returns the roll-outs at the host named self, without orders.
func NewRollouts(self string, registry *fleet.Registry, stage func() rollout.StageConfig, hosts func() int, clock clockwork.Clock, log *slog.Logger) *Rollouts {
	own := source{host: self, started: clock.Now().UnixNano()}
	return &Rollouts{self: own, fleet: registry, stage: stage, hosts: hosts, clock: clock, log: log, services: make(map[string]*service)}
}

// service returns the state of a service and creates it if needed. The caller holds
// the lock.
func (r *Rollouts) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{latency: newLatencyBaseline(), routeLatency: newRouteBaseline(), pace: newPaceBaseline(), baselineSessions: newSessions(), targetSessions: newSessions()}
		s.reset()
		r.services[name] = s
	}
	return s
}

// reset discards the counts and the verdict of the previous order.
func (s *service) reset() {
	s.ownTallies = make(map[string]rollout.Tally)
	s.peerTallies = make(map[source]map[string]rollout.Tally)
	s.canaryTallies = make(map[uint32]rollout.Tally)
	s.routes = newRouteTallies()
	s.targetWorse = false
	s.history, s.limit = requestHistory{}, exposureLimit{}
}

// setOrder adopts an order that may have been given as long ago as the store was silent, if that
// is known.
func (r *Rollouts) setOrder(o rollout.Order, silence time.Duration, silenceKnown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(o.Service)
	switch {
	case s.hasOrder && o.Revision <= s.order.Revision:
		return
	case s.orders.isPast(o):
		r.log.Warn("rollout order ignored, it was replaced or withdrawn", "service", o.Service, "target", o.Target, "revision", o.Revision)
		return
	case s.hasOrder && s.orders.isCurrent(o, s.order):
		s.adoptRevision(o.Revision)
		r.log.Info("rollout order kept after a restore", "service", o.Service, "target", o.Target, "revision", o.Revision)
		return
	}
	if s.hasOrder {
		s.orders.retire(s.order)
	}
	s.orders.start(o)
	s.order, s.hasOrder = o, true
	now := r.clock.Now()
	s.age = newOrderAge(now, silence, silenceKnown)
	s.beginOrder(now, r.sessionLifetime())
	s.reset()
	if s.step.Order == o.Revision {
		s.age.raise(milliseconds(s.step.ElapsedMS), now)
	}
	r.log.Info("rollout ordered", "service", o.Service, "target", o.Target, "within", o.TimeLimit, "revision", o.Revision,
		"max_age_ms", silence.Milliseconds(), "max_age_known", silenceKnown)
}

func (r *Rollouts) dropOrder(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	if s.hasOrder {
		s.orders.retire(s.order)
	}
	s.hasOrder = false
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

// applyStep merges a step from the store.
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
	if ev.Entry.Revision >= s.stepRevision {
		s.stepRevision, s.storedStep = ev.Entry.Revision, step
	}
	r.mergeStep(name, s, step, "store")
	return nil
}

// mergeStep adopts a step if it supersedes the known one. from is the source for
// the log: "store", "own" or a host name.
func (r *Rollouts) mergeStep(name string, s *service, step Step, from string) {
	if !step.supersedes(s.step) {
		return
	}
	s.step = step
	if s.hasOrder && s.order.Revision == step.Order {
		s.age.raise(milliseconds(step.ElapsedMS), r.clock.Now())
	}
	r.log.Info("rollout step", "service", name, "target", step.Target, "state", step.State, "share", step.Share, "from", from)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// MergeStep adopts a step that the host named from has published, if it is newer.
func (r *Rollouts) MergeStep(name string, step Step, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mergeStep(name, r.service(name), step, from)
}

// Pick implements relay.Versions: it returns the version for a session, or "" if any
// may serve it. point is the session's position in [0, 1). The target serves the
// points below its share.
func (r *Rollouts) Pick(name string, point float64) string {
	version, announce := r.pick(name, point)
	if announce && r.OnBaselineSession != nil {
		r.OnBaselineSession(name, sessionKey(point))
	}
	return version
}

// pick returns the version for a session, and whether the other hosts must hear at once that
// the baseline serves it.
func (r *Rollouts) pick(name string, point float64) (version string, announce bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	s.arrivals.add(r.clock.Now())
	step := s.current()
	mayMove := point < r.stage().MaxCanaryShare()
	if s.hasOrder && r.usesTarget(name, s, step, point) {
		if mayMove {
			s.targetSessions.add(sessionKey(point), r.clock.Now(), r.sessionLifetime())
		}
		return r.versionIfServed(name, s.order.Target), false
	}
	if mayMove {
		announce = r.addBaselineSession(s, point)
	}
	switch {
	case !s.hasOrder:
		return "", false
	case step.State == rollout.OrderDone:
		return r.versionIfServed(name, s.order.Target), false
	}
	return r.baselineVersion(name, s.order.Target), announce
}

// usesTarget reports whether a session uses the target of a roll-out in progress.
func (r *Rollouts) usesTarget(name string, s *service, step Step, point float64) bool {
	if s.targetWorse || isFinal(step.State) || point >= s.limit.share(step) {
		return false
	}
	if step.Share <= r.stage().MaxCanaryShare() && !r.joinsFirstStage(s, point) {
		return false
	}
	return r.targetPermitted(name, s, step, point)
}

// joinsFirstStage reports whether a session may use the target in the first stage.
func (r *Rollouts) joinsFirstStage(s *service, point float64) bool {
	return r.stage().CanaryStarted(s.order, s.age.atLeast(r.clock.Now())) && !s.baselineSessions.contains(sessionKey(point))
}

// current returns the latest step of the current order.
func (s *service) current() Step {
	if s.step.Order == s.order.Revision {
		return s.step
	}
	// A host that replaces another one may find only a final status and no step.
	if s.status.Target == s.order.Target && s.status.Revision > s.order.Revision {
		return Step{Order: s.order.Revision, Target: s.order.Target, State: s.status.State}
	}
	return Step{Order: s.order.Revision, Target: s.order.Target}
}

// baselineVersion returns the version other than the target with the most
// endpoints that are not draining.
func (r *Rollouts) baselineVersion(name, target string) string {
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

// versionIfServed returns the version if an endpoint that is not draining runs
// it, else "".
func (r *Rollouts) versionIfServed(name, version string) string {
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
	isTarget := s.hasOrder && version == s.order.Target
	slow := !o.Bad && (s.latency.slow(o) || s.routeLatency.slow(o) || s.pace.slow(o))
	if !o.Bad && !isTarget {
		s.latency.observe(o)
		s.routeLatency.observe(o)
		s.pace.observe(o)
	}
	if !s.hasOrder {
		return
	}
	var answer rollout.Tally
	switch {
	case o.Bad:
		answer.Bad = 1
	case slow:
		answer.Slow = 1
	default:
		answer.Good = 1
	}
	s.routes.count(o.Route, isTarget, answer)
	t := s.ownTallies[version]
	t.Good, t.Bad, t.Slow = t.Good+answer.Good, t.Bad+answer.Bad, t.Slow+answer.Slow
	s.ownTallies[version] = t
	if isTarget && (o.Bad || slow) {
		r.evaluateTarget(name, s)
	}
}

// evaluateTarget stops the use of the target at this host at once when it is
// worse than the baseline. The coordinator publishes the verdict.
func (r *Rollouts) evaluateTarget(name string, s *service) {
	step := s.current()
	if s.targetWorse || isFinal(step.State) {
		return
	}
	target, baseline := s.tallies(r.self)
	route, worse := s.routes.worse()
	if !worse && r.stage().Advance(s.order, 0, step.Share, target, baseline, rollout.Conditions{}).State != rollout.OrderReverted {
		return
	}
	s.targetWorse = true
	r.log.Warn("rollout target worse", "service", name, "target", s.order.Target, "route", route,
		"target_bad", target.Bad, "target_slow", target.Slow, "target_good", target.Good,
		"base_bad", baseline.Bad, "base_slow", baseline.Slow, "base_good", baseline.Good)
}
