// Package admission is the queue before the endpoints. It decides which
// waiting request runs next: ranks below their floor first, then the most
// urgent rank, and within a rank the team with the least service by cost and
// weight (start-time fair queueing). Core is the pure decision, Queue the
// blocking interface over it.
package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Sentinel errors. A *RejectedError wraps one of the causes below.
var (
	// ErrInvalid reports a configuration, request or usage report that fails a check.
	ErrInvalid = errors.New("admission: invalid")
	// ErrUnknown reports a rank or team that is not configured.
	ErrUnknown = errors.New("admission: unknown rank or team")
	// ErrFull reports a request that the bounds of the queue left no room for.
	ErrFull = errors.New("admission: queue full")
	// ErrEvicted reports a waiting request that made room for another.
	ErrEvicted = errors.New("admission: evicted")
	// ErrDeadline reports a request that can no longer meet its deadline.
	ErrDeadline = errors.New("admission: deadline cannot be met")
	// ErrMaxWait reports a request that waited as long as its rank allows.
	ErrMaxWait = errors.New("admission: waited too long")
	// ErrClosed reports a queue that is shut down.
	ErrClosed = errors.New("admission: closed")
	// ErrCancelled reports a request whose caller stopped waiting.
	ErrCancelled = errors.New("admission: cancelled")
)

// OutcomeNotRun is the outcome of every refusal: the request reached no endpoint.
const OutcomeNotRun = "not_run"

// Bounds of the retry-after hint. Shorter hints make callers poll, longer ones
// outlive the overload they describe.
const (
	minRetryAfter     = 200 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	defaultRetryAfter = time.Second
)

// RejectedError is returned for every request that was not admitted.
type RejectedError struct {
	// Cause is one of the sentinel errors of the package.
	Cause error
	// Rank and Team are those of the request.
	Rank, Team string
	// RetryAfter estimates when a repeat has a chance.
	RetryAfter time.Duration
}

// Error implements error.
func (r *RejectedError) Error() string {
	return fmt.Sprintf("%v (rank %q, team %q, retry after %v)", r.Cause, r.Rank, r.Team, r.RetryAfter)
}

// Unwrap returns the cause.
func (r *RejectedError) Unwrap() error { return r.Cause }

// Outcome is always OutcomeNotRun.
func (*RejectedError) Outcome() string { return OutcomeNotRun }

// Rank configures one level of urgency.
type Rank struct {
	// Name identifies the rank.
	Name string
	// Priority orders the ranks; 0 is the most urgent.
	Priority int
	// Floor is the share of capacity the rank keeps during a flood of others.
	Floor float64
	// MaxWait bounds the time in the queue; 0 means no bound.
	MaxWait time.Duration
}

// Team configures one team.
type Team struct {
	// Name identifies the team.
	Name string
	// Weight is the team's share within a rank, relative to other teams; 0 means 1.
	Weight float64
}

// Limits bound the queue.
type Limits struct {
	// MaxWaitingCost bounds the sum of the costs of waiting requests.
	MaxWaitingCost float64
	// MaxWaiting bounds the number of waiting requests.
	MaxWaiting int
}

// DefaultLimits hold about 30 s of work for a host of a few hundred slots.
var DefaultLimits = Limits{MaxWaitingCost: 10_000, MaxWaiting: 10_000}

// Request is one piece of work that asks for a slot.
type Request struct {
	// Rank and Team name the urgency and the owner.
	Rank, Team string
	// Cost is the estimated work in cost units; 0 means 1.
	Cost float64
	// Deadline is when the answer must be complete; zero means none.
	Deadline time.Time
	// Expected is the estimated running time. A request that cannot start
	// Expected before its Deadline is dropped.
	Expected time.Duration
}

// Ticket identifies a request inside a Core.
type Ticket uint64

// Admitted is a request that may run now.
type Admitted struct {
	// Ticket identifies the request in Done.
	Ticket Ticket
	// Request is the request as it was enqueued.
	Request Request
	// Waited is the time in the queue.
	Waited time.Duration
}

// Drop is a waiting request that left the queue without running.
type Drop struct {
	// Ticket identifies the request.
	Ticket Ticket
	// Err holds the cause and the retry hint.
	Err *RejectedError
}

// RankStats describes one rank at one moment.
type RankStats struct {
	// Rank is the name of the rank.
	Rank string
	// Waiting and InFlight count requests.
	Waiting, InFlight int
	// WaitingCost is the sum of the costs of waiting requests.
	WaitingCost float64
	// Floor is the number of slots the rank keeps on this host now.
	Floor float64
	// Admitted and Dropped count requests since the start.
	Admitted, Dropped uint64
}

// Stats describes the queue at one moment.
type Stats struct {
	// Capacity is the number of requests that may run at once.
	Capacity float64
	// Waiting and InFlight count requests.
	Waiting, InFlight int
	// WaitingCost is the sum of the costs of waiting requests.
	WaitingCost float64
	// Ranks are ordered from the most urgent.
	Ranks []RankStats
}

// checkConfig reports the first fault of a configuration.
func checkConfig(ranks []Rank, teams []Team) error {
	// Decimal floors that add up to 1 may exceed it by rounding.
	const rounding = 1e-9
	names, floors := map[string]bool{}, 0.0
	for _, r := range ranks {
		if r.Name == "" || names[r.Name] {
			return errors.Wrapf(ErrInvalid, "rank name %q is empty or repeated", r.Name)
		}
		names[r.Name] = true
		if !(r.Floor >= 0 && r.Floor <= 1) {
			return errors.Wrapf(ErrInvalid, "floor %v of rank %q", r.Floor, r.Name)
		}
		floors += r.Floor
	}
	if floors > 1+rounding {
		return errors.Wrapf(ErrInvalid, "floors add up to %v", floors)
	}
	names = map[string]bool{}
	for _, t := range teams {
		if t.Name == "" || names[t.Name] {
			return errors.Wrapf(ErrInvalid, "team name %q is empty or repeated", t.Name)
		}
		names[t.Name] = true
		if !(t.Weight >= 0) || math.IsInf(t.Weight, 0) {
			return errors.Wrapf(ErrInvalid, "weight %v of team %q", t.Weight, t.Name)
		}
	}
	return nil
}
