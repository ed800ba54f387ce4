// Package admission implements admission control: the queue in front of the
// endpoints. It decides which waiting request runs next: ranks below their
// minimum share (floor) come first, then the most urgent rank. Within a rank,
// the team that has received the least service (cost divided by weight) comes
// first (start-time fair queueing). Core holds the state and decides without
// I/O; Queue adds locking, timers and blocking calls.
package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Sentinel errors. A *RejectedError wraps one of them.
var (
	// ErrInvalid reports a configuration, request or usage report that fails validation.
	ErrInvalid = errors.New("admission: invalid")
	// ErrUnknown reports a rank or team that is not configured.
	ErrUnknown = errors.New("admission: unknown rank or team")
	// ErrFull reports a new request that does not fit within the bounds of the queue.
	ErrFull = errors.New("admission: queue full")
	// ErrEvicted reports a waiting request that was removed to make room for another.
	ErrEvicted = errors.New("admission: evicted from the full queue")
	// ErrDeadline reports a request that can no longer meet its deadline.
	ErrDeadline = errors.New("admission: deadline cannot be met")
	// ErrMaxWait reports a request that waited longer than its rank allows.
	ErrMaxWait = errors.New("admission: maximum wait of the rank exceeded")
	// ErrClosed reports that the queue is shut down.
	ErrClosed = errors.New("admission: closed")
	// ErrCancelled reports a request whose context ended while it waited.
	ErrCancelled = errors.New("admission: cancelled")
)

// OutcomeNotRun is the outcome of every rejected request: it reached no endpoint.
const OutcomeNotRun = "not_run"

// Bounds of the retry-after hint. Shorter hints make callers poll; longer hints
// outlast the overload.
const (
	minRetryAfter     = 200 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	defaultRetryAfter = time.Second
)

// RejectedError is returned for every request that was not admitted.
type RejectedError struct {
	// Cause is one of the sentinel errors of the package.
	Cause error
	// Rank and Team are the rank and team of the request.
	Rank, Team string
	// RetryAfter is the estimated time until a retry can succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (r *RejectedError) Error() string {
	return fmt.Sprintf("%v (rank %q, team %q, retry after %v)", r.Cause, r.Rank, r.Team, r.RetryAfter)
}

// Unwrap returns Cause.
func (r *RejectedError) Unwrap() error { return r.Cause }

// Outcome always returns OutcomeNotRun.
func (*RejectedError) Outcome() string { return OutcomeNotRun }

// Rank configures one priority level.
type Rank struct {
	// Name identifies the rank.
	Name string
	// Priority orders the ranks; 0 is the most urgent.
	Priority int
	// Floor is the minimum share of the capacity, from 0 to 1, that the rank gets
	// while other ranks overload the queue.
	Floor float64
	// MaxWait bounds the queueing time; 0 means no bound.
	MaxWait time.Duration
}

// Team configures one team.
type Team struct {
	// Name identifies the team.
	Name string
	// Weight sets the team's fair share within a rank relative to other teams; 0
	// means 1.
	Weight float64
}

// Limits bounds the waiting requests of a queue.
type Limits struct {
	// MaxWaitingCost bounds the sum of the costs of waiting requests.
	MaxWaitingCost float64
	// MaxWaiting bounds the number of waiting requests.
	MaxWaiting int
}

// DefaultLimits hold about 30 s of work for a host with a few hundred slots.
var DefaultLimits = Limits{MaxWaitingCost: 10_000, MaxWaiting: 10_000}

// Request asks for a slot.
type Request struct {
	// Rank and Team name the configured rank and team.
	Rank, Team string
	// Cost is the estimated cost in cost units; 0 means 1.
	Cost float64
	// Deadline is the time by which the answer must be complete; zero means none.
	Deadline time.Time
	// ExpectedDuration is the estimated running time. A request that cannot start
	// by Deadline minus ExpectedDuration is dropped.
	ExpectedDuration time.Duration
}

// Ticket identifies a request within a Core.
type Ticket uint64

// Admitted is a request that occupies a slot and may run now.
type Admitted struct {
	// Ticket identifies the request in calls of Done.
	Ticket Ticket
	// Request is the enqueued request.
	Request Request
	// Waited is the queueing time.
	Waited time.Duration
}

// Drop is a waiting request that left the queue without running.
type Drop struct {
	// Ticket identifies the request.
	Ticket Ticket
	// Err holds the cause and the retry hint.
	Err *RejectedError
}

// RankStats is a snapshot of one rank.
type RankStats struct {
	// Rank is the name of the rank.
	Rank string
	// Waiting and InFlight count requests.
	Waiting, InFlight int
	// WaitingCost is the sum of the costs of waiting requests.
	WaitingCost float64
	// FloorSlots is the minimum number of slots that the rank gets on this host now.
	FloorSlots float64
	// Admitted and Dropped count requests since the rank was configured.
	Admitted, Dropped uint64
}

// Stats is a snapshot of the queue.
type Stats struct {
	// Capacity is the number of slots: requests that may run at once.
	Capacity float64
	// Waiting and InFlight count requests.
	Waiting, InFlight int
	// WaitingCost is the sum of the costs of waiting requests.
	WaitingCost float64
	// Ranks are ordered by priority, the most urgent first.
	Ranks []RankStats
}

// checkConfig returns an error for the first invalid rank or team.
func checkConfig(ranks []Rank, teams []Team) error {
	// The sum of decimal floors that add up to 1 may exceed 1 by a rounding error.
	const rounding = 1e-9
	names, floors := map[string]bool{}, 0.0
	for _, r := range ranks {
		if r.Name == "" || names[r.Name] {
			return errors.Wrapf(ErrInvalid, "rank name %q is empty or used twice", r.Name)
		}
		names[r.Name] = true
		if !(r.Floor >= 0 && r.Floor <= 1) {
			return errors.Wrapf(ErrInvalid, "floor %v of rank %q is outside 0 to 1", r.Floor, r.Name)
		}
		floors += r.Floor
	}
	if floors > 1+rounding {
		return errors.Wrapf(ErrInvalid, "floors of all ranks add up to %v, more than 1", floors)
	}
	names = map[string]bool{}
	for _, t := range teams {
		if t.Name == "" || names[t.Name] {
			return errors.Wrapf(ErrInvalid, "team name %q is empty or used twice", t.Name)
		}
		names[t.Name] = true
		if !(t.Weight >= 0) || math.IsInf(t.Weight, 0) {
			return errors.Wrapf(ErrInvalid, "weight %v of team %q is negative or not finite", t.Weight, t.Name)
		}
	}
	return nil
}
