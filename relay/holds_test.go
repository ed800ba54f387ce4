package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/route"
)

var lookup = route.Route{Name: "r", Prefix: "/p/", Kind: route.Idempotent, MaxAttempts: 3, Timeout: 2 * time.Second}

// countArrivals returns the number of requests that reached an endpoint.
func (r *rig) countArrivals(id string) int {
	n := 0
	for _, got := range r.arrivals() {
		if got == id {
			n++
		}
	}
	return n
}

// TestLeavingEndpointGetsNoMoreRequests guards against requests to an endpoint that has said
// in an answer that it leaves, before its entry in the store says so.
func TestLeavingEndpointGetsNoMoreRequests(t *testing.T) {
	r := newRig(t)
	r.setPlainService(lookup)
	answer := func(leaving string) http.HandlerFunc {
		return func(w http.ResponseWriter, hr *http.Request) {
			w.Header().Set("X-Signature", "s")
			w.Header().Set("X-Id", hr.Header.Get("X-Id"))
			w.Header().Set("X-Leaving", leaving)
		}
	}
	r.endpoint("leaves", answer("1"))
	r.endpoint("stays", answer(""))
	for range 40 {
		if resp, _, err := r.call("GET", "/p/x"); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %+v, error %v", resp, err)
		}
	}
	if n := r.countArrivals("leaves"); n != 1 {
		t.Errorf("%d requests reached the endpoint that leaves, want 1", n)
	}
	e, _ := r.fleet.Endpoint("leaves")
	e.Started, e.Revision = 5, 100
	r.fleet.Set(e) // started anew under its id
	r.fleet.Set(fleet.Endpoint{ID: "leaves", Service: "s", Address: e.Address, FailureDomain: "a", Version: "v1", Slots: 4, Started: 6, Revision: 101})
	for range 40 {
		_, _, _ = r.call("GET", "/p/x")
	}
	if n := r.countArrivals("leaves"); n != 2 {
		t.Errorf("%d requests reached the endpoint after it has started anew, want 2", n)
	}
}

// TestEndpointIsLeftAloneForItsRetryAfter guards against requests to an endpoint that has
// rejected one and said for how long it wants no more.
func TestEndpointIsLeftAloneForItsRetryAfter(t *testing.T) {
	r := newRig(t)
	r.setPlainService(lookup)
	r.endpoint("full", func(w http.ResponseWriter, hr *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("X-Id", hr.Header.Get("X-Id"))
		w.Header().Set("Retry-After", "3600")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	resp, _, err := r.call("GET", "/p/x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("response %+v, error %v; want 503", resp, err)
	}
	for range 10 {
		if resp, _, err = r.call("GET", "/p/x"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("response %+v, error %v; want 503", resp, err)
		}
	}
	if n := r.countArrivals("full"); n != 1 {
		t.Errorf("%d requests reached the endpoint, want 1", n)
	}
}
