package relay_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/rollout"
	"github.com/corianderlever/corianderlever/route"
)

// refuseVersion makes a rig refuse the attempts at a version.
func (r *rig) refuseVersion(version string, refusal rollout.Admission) {
	r.versions.refuse = func(v string) (rollout.Admission, bool) { return refusal, v == version }
}

// TestAttemptBeyondTheExposureUsesAnotherVersion guards against a request that fails, or reaches
// a version on trial, because no endpoint was chosen by version.
func TestAttemptBeyondTheExposureUsesAnotherVersion(t *testing.T) {
	r := newRig(t, plainRoute(route.NonIdempotent, 1))
	serve := func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "served") }
	r.endpointOf("v2", "target", serve)
	r.endpointOf("v1", "baseline", serve)
	r.refuseVersion("v2", rollout.Admission{Instead: "v1"})
	for range 8 {
		if resp, body, err := r.call("POST", "/p/x"); err != nil || resp.StatusCode != http.StatusOK || body != "served" {
			t.Fatalf("got %v, %q, %v; want the answer of the other version", resp, body, err)
		}
	}
	for _, got := range r.arrivals() {
		if !strings.HasPrefix(got, "baseline") {
			t.Errorf("a request reached %s", got)
		}
	}
}

// TestHostWithoutExposureLetsAnotherServe guards against callers that are rejected after the
// completion of a roll-out although another host has a part of the exposure left, and against
// such requests that go from host to host.
func TestHostWithoutExposureLetsAnotherServe(t *testing.T) {
	refusal := rollout.Admission{RetryAfter: 700 * time.Millisecond}
	origin, links := newCutRig(t, plainRoute(route.NonIdempotent, 1))
	links.cut.Store(false)
	helper := newRig(t, plainRoute(route.NonIdempotent, 1))
	helper.endpoint("e", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "served") })
	shareEndpoints(origin, helper)
	links.hosts = []string{helper.listen(nil)}
	origin.refuseVersion("v1", refusal)
	if resp, body, err := origin.call("POST", "/p/x"); err != nil || resp.StatusCode != http.StatusOK || body != "served" {
		t.Errorf("got %v, %q, %v; want the answer by way of the other host", resp, body, err)
	}
	helper.refuseVersion("v1", refusal)
	resp, _, err := origin.call("POST", "/p/x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("no host has a part left: got %v, %v; want 503 with Retry-After", resp, err)
	}
	if n := links.forwards(); n != 2 {
		t.Errorf("forwarded %d times, want once for each request", n)
	}
}
