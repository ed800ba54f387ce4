package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/limiter"
)

// slotRequest describes the slot that an attempt needs.
type slotRequest struct {
	version string
	prefix  []uint64
	hash    limiter.Hash
	// tried are the endpoints that are used only if there is no other.
	tried []string
	// started is set if the request may have run, so that no other host can serve it.
	started bool
}

// acquire waits for a slot at an endpoint that has not reached the rate limit which it
// names. If all others have, it returns an *api.Error with the time until one may take a
// request again.
func (d *Dispatcher) acquire(ctx context.Context, trace *Trace, req slotRequest) (*slot, error) {
	if !req.started && d.Pool.lost(req.version) {
		trace.add("reach", "this host reaches no endpoint of %s", req.version)
		return nil, unreachableError()
	}
	var exclude []string
	shortest := time.Duration(0)
	for name, wait := range d.denied() {
		exclude = append(exclude, name)
		shortest = shorter(shortest, wait)
	}
	for {
		sl, err := d.Pool.acquireUntried(ctx, req, exclude)
		if errors.Is(err, balance.ErrNoEndpoint) && shortest > 0 {
			return nil, limitedError(shortest)
		}
		if err != nil {
			return nil, err
		}
		wait := d.Permits.Acquire(ctx, sl.addr)
		if wait == 0 {
			return sl, nil
		}
		trace.add("permit", "%s has reached its rate limit for %v", sl.endpoint, wait)
		sl.release(limiter.OutcomeIgnored, 0)
		exclude = append(exclude, sl.endpoint)
		shortest = shorter(shortest, wait)
	}
}

// shorter returns the shorter of two times; zero stands for none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// denied returns the endpoints that have reached their rate limits, and for how long.
func (d *Dispatcher) denied() map[string]time.Duration {
	denials := d.Permits.Denials()
	if len(denials) == 0 {
		return nil
	}
	out := make(map[string]time.Duration)
	for name, addr := range d.Pool.Addresses() {
		if wait, denied := denials[addr]; denied {
			out[name] = wait
		}
	}
	return out
}

// limitedError is the error for a request of which all endpoints have reached their rate
// limits. It has not been sent.
func limitedError(wait time.Duration) *api.Error {
	out := apiError(http.StatusTooManyRequests, api.CodeOverloaded, "all endpoints have reached their rate limits")
	out.RetryAfterMS = wait.Milliseconds()
	return out
}
