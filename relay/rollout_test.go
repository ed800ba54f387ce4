package relay_test

import (
	"net/http"
	"testing"

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
