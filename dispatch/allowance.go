package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/corianderlever/corianderlever/api"
)

// AllowanceRequest asks whether a request may spend its cost in the current minute.
type AllowanceRequest struct {
	Rank, Team string
	// Worth is the value of the request in price units.
	Worth float64
	// Cost is the estimated cost.
	Cost float64
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// Expected is the estimated duration.
	Expected time.Duration
	// Urgent is set for the most urgent rank, which is never deferred.
	Urgent bool
	// Deferred is set if the request has been deferred before.
	Deferred bool
}

// AllowanceDecision is the decision about an AllowanceRequest.
type AllowanceDecision struct {
	// Admit is set if the request may run now.
	Admit bool
	// DeferUntil is when to ask again about a deferred request; zero if the request
	// is admitted or rejected.
	DeferUntil time.Time
	// RetryAfter is the time after which a rejected request may be retried.
	RetryAfter time.Duration
	// PriceMultiplier is the current price of a cost unit relative to the normal
	// price.
	PriceMultiplier float64
	// Reason explains the decision.
	Reason string
	// Settle replaces the estimated cost by the actual one. It is set when the
	// request is admitted.
	Settle func(actual float64)
}

// Allowance limits the cost spent in the busiest minute.
type Allowance interface {
	Decide(req AllowanceRequest) AllowanceDecision
}

// awaitAllowance waits until the request may spend its cost in the current minute,
// and returns the decision that admitted it.
func (d *Dispatcher) awaitAllowance(ctx context.Context, trace *Trace, team string, t target, cost float64) (AllowanceDecision, error) {
	if d.Allowance == nil {
		return AllowanceDecision{Admit: true, PriceMultiplier: 1, Settle: func(float64) {}}, nil
	}
	deadline, _ := ctx.Deadline()
	req := AllowanceRequest{
		Rank: t.rankName, Team: team, Worth: t.rank.Worth, Cost: cost, Deadline: deadline, Urgent: t.urgent,
	}
	for {
		dec := d.Allowance.Decide(req)
		switch {
		case dec.Admit:
			trace.add("allowance", "admitted at price %.3f: %s", dec.PriceMultiplier, dec.Reason)
			d.metrics.decisions.WithLabelValues("allowance", "admitted").Inc()
			return dec, nil
		case dec.DeferUntil.IsZero():
			trace.add("allowance", "rejected: %s", dec.Reason)
			d.metrics.decisions.WithLabelValues("allowance", "refused").Inc()
			out := apiError(http.StatusTooManyRequests, api.CodeOverloaded, "the allowance of this minute is used up: %s", dec.Reason)
			out.RetryAfterMS = dec.RetryAfter.Milliseconds()
			return dec, out
		}
		req.Deferred = true
		trace.add("allowance", "deferred until %v: %s", dec.DeferUntil, dec.Reason)
		d.metrics.decisions.WithLabelValues("allowance", "deferred").Inc()
		if err := d.sleep(ctx, dec.DeferUntil.Sub(d.Clock.Now())); err != nil {
			return dec, apiError(http.StatusGatewayTimeout, api.CodeDeadline, "deadline exceeded while the request was deferred: %v", err)
		}
	}
}
