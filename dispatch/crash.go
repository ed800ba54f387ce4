package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/limiter"
)

// ProbationCoordinator asks the coordinator of probation runs, which lives on one host.
type ProbationCoordinator interface {
	// TryStart asks whether a suspect may run on the endpoint now.
	TryStart(ctx context.Context, hash limiter.Hash, endpoint string) bool
	// Finish reports the end of a probation run.
	Finish(ctx context.Context, hash limiter.Hash, endpoint string, crashed bool)
}

// passCrashGuard refuses a request that is known to crash endpoints and makes
// a suspect wait until the marks of its crash have reached all hosts.
func (d *Dispatcher) awaitCrashGuard(ctx context.Context, trace *Trace, hash limiter.Hash) error {
	for {
		verdict := d.Crashes.Admit(hash)
		switch verdict.Admission {
		case limiter.AdmitReject:
			trace.add("crash guard", "refused until %v", verdict.Until)
			d.metrics.decisions.WithLabelValues("crash_guard", "refused").Inc()
			return errors.CombineErrors(d.crashError(verdict.Until), d.delaySuspect(ctx, hash))
		case limiter.AdmitWait:
			trace.add("crash guard", "waits until %v", verdict.Until)
			if err := d.sleep(ctx, verdict.Until.Sub(d.Clock.Now())); err != nil {
				return apiError(http.StatusGatewayTimeout, api.CodeDeadline, "waited for news of a crash: %v", err)
			}
		default:
			return nil
		}
	}
}

func (d *Dispatcher) crashError(until time.Time) *api.Error {
	out := apiError(http.StatusUnprocessableEntity, api.CodeCrashing, "this request has crashed endpoints")
	out.RetryAfterMS = until.Sub(d.Clock.Now()).Milliseconds()
	return out
}

// wait sleeps on the clock or until ctx ends.
func (d *Dispatcher) sleep(ctx context.Context, pause time.Duration) error {
	select {
	case <-d.Clock.After(pause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// probationRetry is the time between two questions for a probation run.
const probationRetry = 100 * time.Millisecond

// startProbation waits until a suspect may run on the endpoint. Other
// requests pass at once.
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
			return apiError(http.StatusGatewayTimeout, api.CodeDeadline, "waited for a probation run: %v", err)
		}
	}
	return nil
}

// endProbation reports the end of an attempt of a suspect.
func (d *Dispatcher) endProbation(ctx context.Context, hash limiter.Hash, endpoint string, crashed bool) {
	if crashed || d.Crashes.Admit(hash).Admission == limiter.AdmitProbation {
		d.Probation.Finish(context.WithoutCancel(ctx), hash, endpoint, crashed)
	}
}

// holdSuspect delays the failure or refusal of a suspect until the marks of
// its crash have reached all hosts, so that a repeat meets hosts that know them.
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
