package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// GateReason is the reason for which a Gate rejects a request.
type GateReason string

// The reasons for a rejection by a Gate.
const (
	// GateNoRoomInTime rejects a request that is not expected to end before its deadline.
	GateNoRoomInTime GateReason = "no_room_in_time"
	// GateRankYields rejects a request in favour of more urgent ranks.
	GateRankYields GateReason = "rank_yields"
	// GateTeamOverShare rejects a request of a team that asks for more than its even share
	// of its rank.
	GateTeamOverShare GateReason = "team_over_share"
)

// GateRequest describes a request that asks a Gate for admission.
type GateRequest struct {
	Team  string
	Model string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Key identifies the request when its caller repeats it; zero if unknown.
	Key uint64
	// Left is the time until the request's deadline.
	Left time.Duration
	// FirstEvent and Completion are the expected times to the first and to the last event
	// at the chosen engine.
	FirstEvent, Completion time.Duration
	// LengthStated is set if the caller has stated the length of the answer. Otherwise
	// Completion is a rough estimate.
	LengthStated bool
	// Load is the load of the service: 1 is the most that its callers bear.
	Load float64
	// AlreadyAdmitted requests are rejected only for lack of time.
	AlreadyAdmitted bool
}

// GateDecision is the decision on one request.
type GateDecision struct {
	// Reason is empty if the request is admitted.
	Reason GateReason
	// RetryAfter is the time after which a rejected request may return.
	RetryAfter time.Duration
	// Overloaded reports whether the service counts as overloaded.
	Overloaded bool
	// Returned is set if the request returned after an earlier rejection, in the time that
	// it was told.
	Returned bool
}

// Admitted reports whether the request is admitted.
func (d GateDecision) Admitted() bool { return d.Reason == "" }

const (
	// statedTolerance and guessedTolerance are the factors by which the expected completion
	// may exceed the time left. Without a stated length, half of the longest possible answer
	// is assumed, and most answers are shorter.
	statedTolerance  = 1.5
	guessedTolerance = 3.0
	// probeInterval is the time without an admission for a model after which a request is
	// admitted although it is expected to end late. If none ran, the estimate would never
	// change.
	probeInterval = 5 * time.Second
	// maxGateModels bounds the models of which the last admission is kept.
	maxGateModels = 64
)

// Gate decides which opaque requests of one service a host admits. It uses only what the
// host knows already, so hosts do not exchange messages for it. It is safe for concurrent
// use.
type Gate struct {
	clock clockwork.Clock

	mu       sync.Mutex
	rng      *rand.Rand
	overload overloadDetector
	shares   gateShares
	returns  gateReturns
	// lastAdmitted holds the time of the last admission by model.
	lastAdmitted map[string]time.Time
}

// NewGate returns a gate that admits all requests until it sees a load.
func NewGate(clock clockwork.Clock, rng *rand.Rand) *Gate {
	return &Gate{clock: clock, rng: rng, shares: newGateShares(), returns: newGateReturns(), lastAdmitted: make(map[string]time.Time)}
}

// Admit decides on a request.
func (g *Gate) Admit(r GateRequest) GateDecision {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	r.Rank = min(max(r.Rank, 0), maxGateRanks-1)
	g.overload.observe(now, r.Load)
	d := GateDecision{Overloaded: g.overload.active}
	if wait := r.FirstEvent - r.Left; wait > 0 {
		// Not bounded by the time left: a request that cannot even begin in its time finds no
		// room in a quarter of it.
		return g.reject(now, r, d, GateNoRoomInTime, lengthen(max(wait, minGateRetryAfter), g.rng))
	}
	if late := g.lateness(now, r); late > 0 {
		return g.reject(now, r, d, GateNoRoomInTime, retryAfter(late, r.Left, g.rng))
	}
	if r.AlreadyAdmitted {
		return d
	}
	state, wait := g.returns.state(now, r)
	d.Returned = state == returnedInTime
	if d.Overloaded && state == returnedEarly {
		// An early repeat is not counted, so that it does not lower the part of the others.
		d.Reason, d.RetryAfter = g.overloadReason(now, r), boundRetryAfter(wait, r.Left)
		return d
	}
	c := g.shares.ask(now, r, g.rng)
	if !d.Overloaded {
		return g.admit(now, r, d)
	}
	rate := g.shares.rate(now, r, admittedFraction(g.overload.load), admittedUrgent(g.overload.load))
	if c.take(now, g.overload.began, rate, d.Returned) {
		return g.admit(now, r, d)
	}
	return g.reject(now, r, d, g.overloadReason(now, r), retryAfter(g.overload.recovery(r.Completion), r.Left, g.rng))
}

// overloadReason returns why a request is rejected under overload.
func (g *Gate) overloadReason(now time.Time, r GateRequest) GateReason {
	if g.shares.overShare(now, r) {
		return GateTeamOverShare
	}
	return GateRankYields
}

func (g *Gate) admit(now time.Time, r GateRequest, d GateDecision) GateDecision {
	if _, known := g.lastAdmitted[r.Model]; !known && len(g.lastAdmitted) >= maxGateModels {
		clear(g.lastAdmitted)
	}
	g.lastAdmitted[r.Model] = now
	g.returns.forget(r)
	return d
}

func (g *Gate) reject(now time.Time, r GateRequest, d GateDecision, reason GateReason, wait time.Duration) GateDecision {
	d.Reason, d.RetryAfter = reason, wait
	g.returns.told(now, r, d.RetryAfter, reason != GateNoRoomInTime)
	return d
}

// lateness returns by how much a request is expected to end too late for an admission; zero
// if it is expected to end in time.
func (g *Gate) lateness(now time.Time, r GateRequest) time.Duration {
	tolerance := guessedTolerance
	if r.LengthStated {
		tolerance = statedTolerance
	}
	allowed := time.Duration(tolerance * float64(r.Left))
	if r.Completion <= allowed || r.AlreadyAdmitted || now.Sub(g.lastAdmitted[r.Model]) >= probeInterval {
		return 0
	}
	return r.Completion - allowed
}

const (
	// minGateRetryAfter is the shortest Retry-After of a gate.
	minGateRetryAfter = 100 * time.Millisecond
	// retrySpread is the part by which Retry-After is lengthened at most, at random, so that
	// requests rejected together do not return together.
	retrySpread = 0.5
	// retryLeftFraction is the part of the time left that Retry-After takes at most. Callers
	// give up if it is above a third.
	retryLeftFraction = 0.25
)

// boundRetryAfter returns the nearest allowed Retry-After.
func boundRetryAfter(wait, left time.Duration) time.Duration {
	return max(minGateRetryAfter, min(wait, time.Duration(retryLeftFraction*float64(left))))
}

// retryAfter returns the Retry-After of a request with the given time left if room is expected
// after the time room. It is at least minGateRetryAfter, even
// if that exceeds retryLeftFraction of the time left.
func retryAfter(room, left time.Duration, rng *rand.Rand) time.Duration {
	// The bound applies before the lengthening, or all bounded requests would return together.
	base := max(minGateRetryAfter, min(room, time.Duration(retryLeftFraction/(1+retrySpread)*float64(left))))
	return boundRetryAfter(lengthen(base, rng), left)
}

// lengthen lengthens a Retry-After at random by up to retrySpread.
func lengthen(wait time.Duration, rng *rand.Rand) time.Duration {
	return wait + time.Duration(retrySpread*rng.Float64()*float64(wait))
}
