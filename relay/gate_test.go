package relay_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/relay"
)

// TestOverloadRejectsBeforeTheFirstAttempt guards against requests that reach full engines, against
// rejections that cannot be told from failures, and against a gate that goes on after an overload.
func TestOverloadRejectsBeforeTheFirstAttempt(t *testing.T) {
	clock, registry := clockwork.NewFakeClockAt(time.Now()), prometheus.NewRegistry()
	r := newRigWith(t, func(o *relay.Options) { o.Clock, o.Registry = clock, registry }, streamRoute(true, "small"))
	r.endpoint("e", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Id", "attempt-1")
		events(w, 1, 2, false)
	})
	phase := func(running, calls int) (served, rejected int) {
		for range calls {
			load := map[string]balance.EngineLoad{"e": {Running: running}}
			r.relay.ObserveLoads("other", relay.Loads{"s": balance.EncodeLoads(load, 100)})
			resp, _, err := r.call("POST", "/p/x")
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode == http.StatusOK {
				served++
			} else {
				rejected++
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after < 0.1 || after > 5.0/4 {
					t.Fatalf("got status %d, Retry-After %q; want 503 and 0.1 to 1.25 s\n%s", resp.StatusCode, resp.Header.Get("Retry-After"), r.log)
				}
			}
			clock.Advance(200 * time.Millisecond)
		}
		return served, rejected
	}
	if served, _ := phase(7, 3); served != 3 { // 0.4 s
		t.Errorf("served %d of 3 requests at the begin of the overload, want all", served)
	}
	served, rejected := phase(7, 30)
	if rejected < 15 || served == 0 {
		t.Errorf("served %d and rejected %d requests with 7 running on 4 slots, want some served and most rejected", served, rejected)
	}
	if arrivals := len(r.arrivals()); arrivals != served+3 {
		t.Errorf("got %d arrivals for %d served requests", arrivals, served+3)
	}
	phase(0, 5)
	if served, _ := phase(0, 10); served != 10 {
		t.Errorf("served %d of 10 requests after the overload", served)
	}
	counted := 0.0
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "corianderlever_relay_gate_rejections_total" {
				counted += m.GetCounter().GetValue()
			}
		}
	}
	if counted < float64(rejected) || !strings.Contains(r.log.String(), "overloaded:returned=") {
		t.Errorf("counted %v rejections, want at least %d, and a step in the log", counted, rejected)
	}
}

// TestWithoutGateOverloadRejectsNothing guards against a gate that acts although the settings do
// not ask for it.
func TestWithoutGateOverloadRejectsNothing(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	r := newRigWith(t, func(o *relay.Options) { o.Clock, o.AdmissionGate, o.LearnPace = clock, false, false }, streamRoute(true, "small"))
	r.endpoint("e", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Id", "attempt-1")
		events(w, 1, 2, false)
	})
	for range 20 {
		load := map[string]balance.EngineLoad{"e": {Running: 7}}
		r.relay.ObserveLoads("other", relay.Loads{"s": balance.EncodeLoads(load, 100)})
		resp, _, err := r.call("POST", "/p/x")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, error %v; want 200 with 7 running on 4 slots\n%s", resp, err, r.log)
		}
		clock.Advance(200 * time.Millisecond)
	}
}

// TestOverloadEndsNoRequestThatHasBegun guards against a gate that rejects the next attempt of a
// request which has run in part, when the engines have no room left for new ones.
func TestOverloadEndsNoRequestThatHasBegun(t *testing.T) {
	r := newRig(t, streamRoute(true, "small"))
	for _, id := range []string{"e0", "e1"} {
		r.endpoint(id, func(w http.ResponseWriter, hr *http.Request) {
			if hr.Header.Get("X-Last-Event") != "" {
				events(w, 4, 6, false)
				return
			}
			busy := balance.EngineLoad{Running: 40, BacklogMS: []int64{60_000}}
			r.relay.ObserveLoads("other", relay.Loads{"s": balance.EncodeLoads(map[string]balance.EngineLoad{"e0": busy, "e1": busy}, 100)})
			events(w, 1, 3, true)
		})
	}
	if _, body, err := r.call("POST", "/p/x"); err != nil || body != eventSeries(1, 6) {
		t.Errorf("got body %q, error %v; want events 1 to 6", body, err)
	}
	if resp, _, err := r.call("POST", "/p/x"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a new request got response %v, error %v; want 503", resp, err)
	}
}
