package relay_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/route"
)

// answeredPermits are the peers of a host whose permits another host grants as a test says.
type answeredPermits struct {
	limiter.LocalPermits
	answer func() bool
}

func (answeredPermits) Granter(string) (string, bool) { return "granter", true }

func (p answeredPermits) Ask(context.Context, string, limiter.PermitRequest) (limiter.PermitReply, error) {
	return limiter.PermitReply{Granted: p.answer(), Cold: true}, nil
}

// newColdRig returns a rig whose service limits cold endpoints.
func newColdRig(t *testing.T, granted func() bool) *rig {
	rt := route.Route{Name: "r", Prefix: "/", Kind: route.Idempotent, MaxAttempts: 2}
	r := newRigWith(t, func(o *relay.Options) {
		o.Permits = limiter.NewPermits(clockwork.NewRealClock(), slog.New(slog.DiscardHandler), answeredPermits{answer: granted})
	}, rt)
	rt.Host, rt.Shares = "h.example", []route.Share{{Service: "s", Weight: 1}}
	r.setConfig(route.Config{
		Version: 2, Routes: []route.Route{rt}, Teams: []route.Team{{Name: "red", Keys: []string{"key"}}},
		Services: []route.Service{{Name: "s", ColdStart: time.Minute, ColdRate: 1}},
	})
	return r
}

func answerOK(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "ok") }

// setCold makes an endpoint of the rig cold, in a failure domain.
func (r *rig) setCold(id, domain string) {
	e, _ := r.fleet.Endpoint(id)
	e.FailureDomain, e.Revision = domain, e.Revision+100
	e.ColdFor, e.ColdUntil = time.Minute, time.Now().Add(time.Minute)
	r.fleet.Set(e)
}

// TestEvacuatedServiceRejectsRequestsUntilItReturns guards against answers that are cut by the
// order to evacuate the domain of their endpoint, against requests that reach the domain because
// there is no other, and against a rejection that does not promise that they have not run.
func TestEvacuatedServiceRejectsRequestsUntilItReturns(t *testing.T) {
	r := newRig(t, route.Route{Name: "r", Prefix: "/", Kind: route.NonIdempotent, MaxAttempts: 1})
	r.endpoint("e1", func(w http.ResponseWriter, hr *http.Request) {
		r.fleet.SetEvacuated("a", 10)
		answerOK(w, hr)
	})
	expect := func(status int) {
		t.Helper()
		resp, body, err := r.call("POST", "/p/x")
		if err != nil || resp.StatusCode != status || status != http.StatusOK && resp.Header.Get("Retry-After") == "" {
			t.Fatalf("got response %v %q, error %v; want %d", resp, body, err, status)
		}
	}
	expect(http.StatusOK)
	expect(http.StatusServiceUnavailable)
	if got := r.arrivals(); len(got) != 1 || !strings.Contains(r.logged(), "service_evacuated") {
		t.Errorf("requests arrived at %v, log %s; want one and the reason service_evacuated", got, r.logged())
	}
	r.fleet.ClearEvacuated("a", 11)
	expect(http.StatusOK)
}

// TestEvacuationDuringTheWaitForAPermit guards against a request that is sent to a domain
// which was evacuated while the request waited for its permit.
func TestEvacuationDuringTheWaitForAPermit(t *testing.T) {
	var r *rig
	r = newColdRig(t, func() bool {
		r.fleet.SetEvacuated("b", 1000)
		return true
	})
	r.endpoint("e1", answerOK)
	r.setCold("e1", "b")
	if resp, _, err := r.call("POST", "/p/x"); err != nil || resp.StatusCode != http.StatusServiceUnavailable || len(r.arrivals()) > 0 {
		t.Errorf("got response %v, error %v, arrivals %v; want 503 and none", resp, err, r.arrivals())
	}
}

// TestColdEndpointsWithoutPermits guards against a request that is sent to a cold endpoint without
// a permit, also the first one to an endpoint that is new; against one that asks for permits of all
// endpoints; and against one that is rejected because as many cold endpoints as maxDenials had no
// permit left, although a warm one serves it.
func TestColdEndpointsWithoutPermits(t *testing.T) {
	var asked atomic.Int64
	r := newColdRig(t, func() bool {
		asked.Add(1)
		return false
	})
	for i := range 30 {
		r.endpoint(fmt.Sprint("cold", i), answerOK)
		r.setCold(fmt.Sprint("cold", i), "a")
	}
	resp, _, err := r.call("POST", "/p/x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !strings.Contains(r.logged(), "endpoints_limited") {
		t.Fatalf("got response %v, error %v; want 503 with Retry-After for the reason endpoints_limited", resp, err)
	}
	if n := asked.Swap(0); n > 8 {
		t.Errorf("a request asked for %d permits, want at most 8", n)
	}
	r.endpoint("warm", answerOK)
	for range 20 {
		if resp, _, err := r.call("POST", "/p/x"); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got response %v, error %v; want 200 from the warm endpoint", resp, err)
		}
	}
	if n, got := asked.Load(), r.arrivals(); n > 20 || strings.Contains(fmt.Sprint(got), "cold") {
		t.Errorf("20 requests asked for %d permits and reached %v, want one permit each at most, and only warm", n, got)
	}
}

// TestBrokenAnswerContinuesOutsideTheEvacuatedDomain guards against a stream that breaks in an
// evacuated domain and is resumed there.
func TestBrokenAnswerContinuesOutsideTheEvacuatedDomain(t *testing.T) {
	r := newRig(t, streamRoute(true))
	var first sync.Once
	for i, domain := range []string{"a", "a", "a", "b"} {
		id := fmt.Sprint("e", i)
		r.endpoint(id, func(w http.ResponseWriter, _ *http.Request) {
			broken := false
			first.Do(func() { broken = true })
			if broken {
				r.fleet.SetEvacuated("a", 1000)
				events(w, 1, 2, true)
				return
			}
			answer(w, http.StatusOK, eventSeries(3, 4))
		})
		e, _ := r.fleet.Endpoint(id)
		e.FailureDomain, e.Revision = domain, e.Revision+100
		r.fleet.Set(e)
	}
	if _, body, err := r.call("POST", "/p/x"); err != nil || !strings.Contains(body, "4") {
		t.Errorf("got body %q, error %v; want a complete stream", body, err)
	}
	if got := r.arrivals(); len(got) != 2 || !strings.HasPrefix(got[1], "e3") {
		t.Errorf("requests arrived at %v, want the second one at e3, outside the evacuated domain", got)
	}
}
