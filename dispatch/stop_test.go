package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/claim"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/internal/drain"
	"github.com/corianderlever/corianderlever/limiter"
)

// codeStopping and codeCallerLeft are the codes in logs and metrics.
const (
	codeStopping   = "host_stopping"
	codeCallerLeft = "caller_left"
)

// deferring is a dispatch.Allowance that never admits a request.
type deferring struct{ asked chan struct{} }

func (a deferring) Decide(req dispatch.AllowanceRequest) dispatch.AllowanceDecision {
	a.asked <- struct{}{}
	return dispatch.AllowanceDecision{DeferUntil: req.Deadline.Add(time.Hour), Reason: "test"}
}

// heldClaims is a dispatch.Claims at which every claim waits until its context ends.
type heldClaims struct {
	dispatch.Claims
	asked chan struct{}
}

func (c heldClaims) Claim(ctx context.Context, _ claim.Key) (claim.Result, error) {
	c.asked <- struct{}{}
	<-ctx.Done()
	return claim.Result{}, errors.Join(claim.ErrNotClaimed, ctx.Err())
}

// awaitStep waits until a decision is in the trace of a request.
func (r *rig) awaitStep(id, decision string) {
	r.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); decision != ""; time.Sleep(time.Millisecond) {
		x, _ := r.d.Explain(id)
		if slices.ContainsFunc(x.Steps, func(s dispatch.Step) bool { return s.Decision == decision }) {
			return
		}
		if time.Now().After(deadline) {
			r.t.Fatalf("no step %q in %+v", decision, x)
		}
	}
}

// endOf returns the last step of the trace of a request.
func (r *rig) endOf(id string) string {
	x, ok := r.d.Explain(id)
	if !ok || len(x.Steps) == 0 {
		return ""
	}
	return x.Steps[len(x.Steps)-1].Detail
}

// countRequests returns the number of requests that the metrics count under a code.
func (r *rig) countRequests(code string) float64 {
	families, err := r.registry.Gather()
	if err != nil {
		r.t.Fatal(err)
	}
	n := 0.0
	for _, f := range families {
		if !strings.HasSuffix(f.GetName(), "_requests_total") {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetName() == "code" && l.GetValue() == code {
					n += m.GetCounter().GetValue()
				}
			}
		}
	}
	return n
}

// TestStopTellsWaitingRequestThatItHasNotRun guards against a request that waits when its
// host stops and is told that its deadline has passed, and against a log, a metric or an
// explanation that shows a caller who left.
func TestStopTellsWaitingRequestThatItHasNotRun(t *testing.T) {
	const text = "waits"
	cases := map[string]struct {
		booking bool
		prepare func(r *rig) (waiting <-chan struct{})
		// step is the decision in the trace after which the request waits.
		step string
	}{
		"crash guard": {step: "crash guard", prepare: func(r *rig) <-chan struct{} {
			r.d.Crashes = limiter.NewCrashGuard(clockwork.NewRealClock(), time.Hour)
			r.d.Crashes.RecordCrash("engine-a", []limiter.Hash{limiter.Hash(xxhash.Sum64String("user\x00" + text + "\x00"))})
			return nil
		}},
		"allowance": {prepare: func(r *rig) <-chan struct{} {
			a := deferring{asked: make(chan struct{}, 64)}
			r.d.Allowance = a
			return a.asked
		}},
		"claim": {booking: true, prepare: func(r *rig) <-chan struct{} {
			c := heldClaims{Claims: r.d.Claims, asked: make(chan struct{}, 64)}
			r.d.Claims = c
			return c.asked
		}},
		"connection to an engine": {prepare: func(r *rig) <-chan struct{} { return r.holdEngines(api.OutcomeNotRun).started }},
		"connection to a service": {booking: true, prepare: func(r *rig) <-chan struct{} { return r.holdEngines(api.OutcomeNotRun).started }},
		"engines busy":            {step: "plan", prepare: func(r *rig) <-chan struct{} { return r.occupy(false) }},
		"service busy":            {booking: true, prepare: func(r *rig) <-chan struct{} { return r.occupy(true) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1)
			waiting := tc.prepare(r)
			f := r.start(tc.booking, text)
			if waiting != nil {
				<-waiting
			}
			r.awaitStep(f.id, tc.step)
			err := f.end(drain.ErrStopping)
			var failed *api.Error
			if !errors.As(err, &failed) || failed.Status != http.StatusServiceUnavailable || failed.Code != api.CodeUnavailable ||
				failed.Outcome != api.OutcomeNotRun || failed.RetryAfterMS <= 0 {
				t.Errorf("error %v (%+v), want status 503, unavailable, not_run and a time to retry", err, failed)
			}
			if got := r.endOf(f.id); !strings.Contains(got, codeStopping) {
				t.Errorf("explanation %q, want the code %s", got, codeStopping)
			}
			if n := r.countRequests(codeStopping); n < 1 {
				t.Errorf("%v requests counted as %s, want this one", n, codeStopping)
			}
			if n := r.bill().Requests; n != 0 {
				t.Errorf("billed %d requests, want none", n)
			}
		})
	}
}

// occupy lets requests wait for a connection until the endpoints have no slot left. Those
// that come later wait for admission or for a slot.
func (r *rig) occupy(booking bool) <-chan struct{} {
	const slots = 8
	held := r.holdEngines(api.OutcomeNotRun)
	for i := range slots {
		f := r.start(booking, fmt.Sprint("holds a slot ", i))
		r.t.Cleanup(func() { _ = f.end(context.Canceled) }) // its error is not under test
		<-held.started
	}
	return nil
}

// TestStopTellsRunningRequestThatItMayHaveRun guards against a request that an engine runs
// when the host stops and that is reported as not run, or not billed.
func TestStopTellsRunningRequestThatItMayHaveRun(t *testing.T) {
	for _, booking := range []bool{false, true} {
		t.Run(fmt.Sprint("booking=", booking), func(t *testing.T) {
			r := newRig(t, 1)
			held := r.holdEngines(api.OutcomeUnknown)
			f := r.start(booking, "runs")
			<-held.started
			err := f.end(drain.ErrStopping)
			var failed *api.Error
			if !errors.As(err, &failed) || failed.Status != http.StatusBadGateway || failed.Code != api.CodeEndpointFailed || failed.Outcome != api.OutcomeUnknown {
				t.Errorf("error %v, want status 502, endpoint_failed and an unknown outcome", err)
			}
			if got := r.endOf(f.id); !strings.Contains(got, codeStopping) {
				t.Errorf("explanation %q, want the code %s", got, codeStopping)
			}
			if n := r.bill().Requests; n != 1 {
				t.Errorf("billed %d requests, want 1", n)
			}
		})
	}
}

// TestRequestReadAfterStopIsRefused guards against a request that is read at the end of a stop
// and is sent to an engine.
func TestRequestReadAfterStopIsRefused(t *testing.T) {
	stopped, stop := context.WithCancelCause(context.Background())
	stop(drain.ErrStopping)
	for _, booking := range []bool{false, true} {
		r := newRig(t, 1)
		wantError(t, <-r.startUnder(stopped, booking, "late").result, api.CodeUnavailable, api.OutcomeNotRun)
		if n := r.bill().Requests; n != 0 {
			t.Errorf("booking %t: billed %d requests, want none", booking, n)
		}
	}
}

// TestStopKeepsClaimOfBookingThatMayHaveRun guards against a booking that runs twice, or
// never, because the host that held its claim stopped.
func TestStopKeepsClaimOfBookingThatMayHaveRun(t *testing.T) {
	for _, outcome := range []api.Outcome{api.OutcomeNotRun, api.OutcomeUnknown} {
		t.Run(string(outcome), func(t *testing.T) {
			r := newRig(t, 1)
			held := r.holdEngines(outcome)
			f := r.start(true, "")
			<-held.started
			wantError(t, f.end(drain.ErrStopping), map[api.Outcome]string{
				api.OutcomeNotRun: api.CodeUnavailable, api.OutcomeUnknown: api.CodeEndpointFailed,
			}[outcome], outcome)
			r.d.Engines = held.Engines
			_, err := r.client.Call(context.Background(), client.Request{ID: f.id}, "booking", "book", struct{}{})
			if outcome == api.OutcomeUnknown {
				wantError(t, err, api.CodeAlreadyRun, api.OutcomeUnknown)
			} else if err != nil {
				t.Errorf("retry of a booking that has not run: %v", err)
			}
		})
	}
}

// TestCallerLeftIsNotTakenForStop guards against logs and metrics that can't tell a caller
// who left from a host that stopped.
func TestCallerLeftIsNotTakenForStop(t *testing.T) {
	r := newRig(t, 1)
	held := r.holdEngines(api.OutcomeUnknown)
	f := r.start(false, "left")
	<-held.started
	if err := f.end(context.Canceled); err == nil {
		t.Error("a cancelled request was served")
	}
	if got := r.endOf(f.id); !strings.Contains(got, codeCallerLeft) {
		t.Errorf("explanation %q, want the code %s", got, codeCallerLeft)
	}
	if left, stopped := r.countRequests(codeCallerLeft), r.countRequests(codeStopping); left != 1 || stopped != 0 {
		t.Errorf("%v requests whose caller left and %v ended by a stop, want 1 and 0", left, stopped)
	}
}
