package relay_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/rollout"
	"github.com/corianderlever/corianderlever/route"
)

// TestRetryFollowsACompletedRollout guards against a request that tries one stopped endpoint
// after the other, because it keeps the version that it was given before the completion.
func TestRetryFollowsACompletedRollout(t *testing.T) {
	for name, kind := range map[string]route.Route{"plain": plainRoute(route.Idempotent, 3), "stream": streamRoute(true)} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, kind)
			r.versions.setVersion("v1", "")
			r.endpointOf("v1", "old", func(w http.ResponseWriter, hr *http.Request) {
				r.versions.setVersion("v2", "v1") // the roll-out completes, and the endpoint stops
				dropConnection(w, hr)
			})
			r.endpointOf("v1", "stopped", reject).Close()
			r.endpointOf("v2", "new", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2, false) })
			resp, body, err := r.call("GET", "/p/x")
			if err != nil || resp.StatusCode != http.StatusOK || body != eventSeries(1, 2) {
				t.Errorf("got %v, %q, %v; want the answer of the new version", resp, body, err)
			}
		})
	}
}

// TestStreamThatHasBegunWaitsForTheExposure guards against a stream that ends in the middle
// because its only version may get no more requests until the deadline of its roll-out.
func TestStreamThatHasBegunWaitsForTheExposure(t *testing.T) {
	const untilDeadline = 200 * time.Millisecond
	r := newRig(t, streamRoute(true))
	var limited atomic.Bool
	var end atomic.Pointer[time.Time]
	r.versions.refuse = func(string) (rollout.Admission, bool) {
		if !limited.Load() {
			return rollout.Admission{}, false
		}
		end.CompareAndSwap(nil, new(time.Now().Add(untilDeadline)))
		left := time.Until(*end.Load())
		return rollout.Admission{RetryAfter: left}, left > 0
	}
	var attempts atomic.Int32
	for _, id := range []string{"e1", "e2"} {
		r.endpoint(id, func(w http.ResponseWriter, _ *http.Request) {
			if attempts.Add(1) > 1 {
				events(w, 3, 4, false)
				return
			}
			limited.Store(true)
			events(w, 1, 2, true)
		})
	}
	if _, body, err := r.call("POST", "/p/x"); err != nil || body != eventSeries(1, 4) {
		t.Errorf("got %q, %v; want the events 1 to 4", body, err)
	}
}

// TestStreamThatHasBegunGoesOnAfterItsKeyIsRevoked guards against a stream that ends in the
// middle, at its next attempt, because of a change of the configuration.
func TestStreamThatHasBegunGoesOnAfterItsKeyIsRevoked(t *testing.T) {
	r := newRig(t, streamRoute(true))
	var attempts atomic.Int32
	for _, id := range []string{"e1", "e2"} {
		r.endpoint(id, func(w http.ResponseWriter, _ *http.Request) {
			if attempts.Add(1) > 1 {
				events(w, 3, 4, false)
				return
			}
			r.config.set(func(s *configSource) { s.table = r.withoutKeys() })
			events(w, 1, 2, true)
		})
	}
	if _, body, err := r.call("POST", "/p/x"); err != nil || body != eventSeries(1, 4) {
		t.Errorf("got %q, %v; want the events 1 to 4", body, err)
	}
	if resp, _, err := r.call("POST", "/p/x"); err != nil || resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("a new request with the key got %v, %v; want 401", resp, err)
	}
}

// withoutKeys returns the routing table of the rig without the keys of its team.
func (r *rig) withoutKeys() *route.Table {
	routes := []route.Route{streamRoute(true)}
	routes[0].Host, routes[0].Shares = "h.example", []route.Share{{Service: "s", Weight: 1}}
	table, err := route.NewTable(route.Config{
		Version: 2, Routes: routes, Services: []route.Service{{Name: "s", Engine: &route.Engine{Slots: 4, KVCacheTokens: 10000, TokensPerEvent: 1}}},
		Teams: []route.Team{{Name: "red", Keys: []string{"another key"}}},
	})
	if err != nil {
		r.t.Error(err)
	}
	return table
}

// TestEndpointStoppedByARolloutHasNotCrashed guards against sound requests that count as the
// cause of a crash, because a completed roll-out has stopped the endpoint that ran them.
func TestEndpointStoppedByARolloutHasNotCrashed(t *testing.T) {
	r := newRig(t, plainRoute(route.Idempotent, 3))
	old := r.endpointOf("v1", "old", reject)
	r.endpointOf("v2", "new", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "served") })
	if _, body, err := r.call("GET", "/p/x"); err != nil || body != "served" {
		t.Fatalf("got %q, %v", body, err)
	}
	old.Close()
	if !r.relay.Crashed("old") {
		t.Error("an endpoint that refuses connections has not crashed")
	}
	r.versions.setVersion("v2", "v1")
	if r.relay.Crashed("old") {
		t.Error("an endpoint that a roll-out has stopped counts as crashed")
	}
}
