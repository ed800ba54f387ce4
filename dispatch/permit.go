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
// names. If all have, a request that may have run waits for the first permit before its
// deadline; for any other, acquire returns an *api.Error with the time until then.
func (d *Dispatcher) acquire(ctx context.Context, trace *Trace, req slotRequest) (*slot, error) {
	if !req.started && d.Pool.lost(req.version) {
		trace.add("reach", "this host reaches no endpoint of %s", req.version)
		return nil, unreachableError()
	}
	for {
		sl, wait, err := d.acquirePermitted(ctx, trace, req)
		if wait == 0 {
			return sl, err
		}
		if !req.started || !d.beforeDeadline(ctx, wait) {
			return nil, limitedError(wait)
		}
		if err := d.sleep(ctx, wait); err != nil {
			return nil, err
		}
	}
}

// beforeDeadline reports whether a time passes before the deadline of the request.
func (d *Dispatcher) beforeDeadline(ctx context.Context, wait time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || d.Clock.Now().Add(wait).Before(deadline)
}

// acquirePermitted waits for a slot at an endpoint in use that grants a permit. If none does
// at this moment, it returns the time until the first may.
func (d *Dispatcher) acquirePermitted(ctx context.Context, trace *Trace, req slotRequest) (*slot, time.Duration, error) {
	var exclude []string
	shortest := time.Duration(0)
	for name, wait := range d.denied(req.version) {
		exclude = append(exclude, name)
		shortest = shorter(shortest, wait)
	}
	for {
		sl, err := d.Pool.acquireUntried(ctx, req, exclude)
		if errors.Is(err, balance.ErrNoEndpoint) && shortest > 0 {
			return nil, shortest, nil
		}
		if err != nil {
			return nil, 0, err
		}
		wait := d.Permits.Acquire(ctx, sl.addr)
		if wait == 0 && d.inUse(sl) {
			return sl, 0, nil
		}
		if wait > 0 {
			trace.add("permit", "%s has reached its rate limit for %v", sl.endpoint, wait)
			shortest = shorter(shortest, wait)
		}
		sl.release(limiter.OutcomeIgnored, 0)
		exclude = append(exclude, sl.endpoint)
	}
}

// inUse reports whether the configuration in force still has the endpoint of a slot. It may be
// newer than the pool.
func (d *Dispatcher) inUse(sl *slot) bool {
	snap := d.Config.Current()
	spec := snap.Endpoints[sl.endpoint]
	return spec != nil && spec.Address == sl.addr && snap.GetsWork(spec)
}

// shorter returns the shorter of two times; zero stands for none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// denied returns the endpoints of a version that have reached their rate limits, and for how
// long.
func (d *Dispatcher) denied(version string) map[string]time.Duration {
	denials := d.Permits.Denials()
	if len(denials) == 0 {
		return nil
	}
	out := make(map[string]time.Duration)
	for name, addr := range d.Pool.addressesOf(version) {
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
