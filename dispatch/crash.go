package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/limiter"
)

// ProbationCoordinator grants probation runs to requests that are suspected of crashing
// endpoints: across all hosts, at most one such run per endpoint and per request at a
// time. One host coordinates the probation runs of all hosts.
type ProbationCoordinator interface {
	// TryStart reports whether a suspect request may run on the endpoint now.
	TryStart(ctx context.Context, hash limiter.Hash, endpoint string) bool
	// Finish reports the end of a probation run and whether the endpoint crashed.
	Finish(ctx context.Context, hash limiter.Hash, endpoint string, crashed bool)
}

// awaitCrashGuard rejects a request that is known to crash endpoints. A request that
// is suspected of it waits until all hosts have received the record of its crash.
func (d *Dispatcher) awaitCrashGuard(ctx context.Context, trace *Trace, hash limiter.Hash, parts []limiter.Hash) error {
	if err := d.rejectedPart(parts); err != nil {
		trace.add("crash guard", "%v", err)
		d.metrics.decisions.WithLabelValues("crash_guard", "refused").Inc()
		return err
	}
	for {
		verdict := d.Crashes.Admit(hash)
		switch verdict.Admission {
		case limiter.AdmitReject:
			trace.add("crash guard", "rejected until %v", verdict.Until)
			d.metrics.decisions.WithLabelValues("crash_guard", "refused").Inc()
			return errors.CombineErrors(d.crashError(verdict.Until), d.delaySuspect(ctx, hash))
		case limiter.AdmitWait:
			trace.add("crash guard", "waiting until %v", verdict.Until)
			if err := d.sleep(ctx, verdict.Until.Sub(d.Clock.Now())); err != nil {
				return apiError(http.StatusGatewayTimeout, api.CodeDeadline, "deadline exceeded while crash reports reached all hosts: %v", err)
			}
		default:
			return nil
		}
	}
}

func (d *Dispatcher) crashError(until time.Time) *api.Error {
	out := apiError(http.StatusUnprocessableEntity, api.CodeCrashesEndpoints, "this request has crashed endpoints")
	out.RetryAfterMS = until.Sub(d.Clock.Now()).Milliseconds()
	return out
}

// rejectedPart returns the error for a request with a message that crashes endpoints,
// and nil for the others.
func (d *Dispatcher) rejectedPart(parts []limiter.Hash) error {
	i, rejected := d.Parts.Rejects(parts)
	if !rejected {
		return nil
	}
	out := apiError(http.StatusUnprocessableEntity, api.CodeCrashesEndpoints, "requests with message %d have crashed endpoints", i)
	out.RetryAfterMS = limiter.CrashMarkTTL.Milliseconds()
	return out
}

// sleep waits for the given time or until ctx ends.
func (d *Dispatcher) sleep(ctx context.Context, pause time.Duration) error {
	select {
	case <-d.Clock.After(pause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// probationRetry is the interval between two calls of TryStart for one attempt.
const probationRetry = 100 * time.Millisecond

// startProbation waits until a suspect request may run on the endpoint. It returns
// immediately for requests that are not suspect.
func (d *Dispatcher) startProbation(ctx context.Context, hash limiter.Hash, endpoint string) error {
	for d.Crashes.Admit(hash).Admission != limiter.AdmitNormal {
		verdict := d.Crashes.Admit(hash)
		if verdict.Admission == limiter.AdmitReject {
			return d.crashError(verdict.Until)
		}
		if verdict.Admission == limiter.AdmitProbation && d.Probation.TryStart(ctx, hash, endpoint) {
			return nil
		}
		if err := d.sleep(ctx, probationRetry); err != nil {
			return apiError(http.StatusGatewayTimeout, api.CodeDeadline, "deadline exceeded while waiting for a probation run: %v", err)
		}
	}
	return nil
}

// endProbation reports the end of an attempt of a suspect request.
func (d *Dispatcher) endProbation(ctx context.Context, hash limiter.Hash, endpoint string, crashed bool) {
	if crashed || d.Crashes.Admit(hash).Admission == limiter.AdmitProbation {
		d.Probation.Finish(context.WithoutCancel(ctx), hash, endpoint, crashed)
	}
}

// delaySuspect delays the error for a suspect request until all hosts have received
// the record of its crash, so that they recognise a retry by the caller.
func (d *Dispatcher) delaySuspect(ctx context.Context, hash limiter.Hash) error {
	until := d.Crashes.HoldReplyUntil(hash)
	if now := d.Clock.Now(); until.After(now) {
		return d.sleep(ctx, until.Sub(now))
	}
	return nil
}

// LocalProbation is a ProbationCoordinator for a host without peers.
type LocalProbation struct {
	*limiter.Probation
}

// TryStart implements ProbationCoordinator.
func (p LocalProbation) TryStart(_ context.Context, hash limiter.Hash, endpoint string) bool {
	return p.Probation.TryStart(hash, endpoint)
}

// Finish implements ProbationCoordinator.
func (p LocalProbation) Finish(_ context.Context, hash limiter.Hash, endpoint string, crashed bool) {
	p.Probation.Finish(hash, endpoint, crashed)
}
