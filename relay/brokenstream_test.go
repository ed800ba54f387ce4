package relay_test

import (
	"fmt"
	"net/http"
	"testing"
)

// TestErrorOfTheNextEndpointStaysOutOfTheStream guards against a caller that finds the error
// of the next endpoint in its stream, or a stream that ends as if it were complete, after the
// first endpoint has broken it off.
func TestErrorOfTheNextEndpointStaysOutOfTheStream(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusFound, http.StatusNotFound, http.StatusConflict, http.StatusInternalServerError} {
		r := newRig(t, streamRoute(true))
		for i := range 4 {
			r.endpoint(fmt.Sprint("e", i), func(w http.ResponseWriter, hr *http.Request) {
				if hr.Header.Get("X-Last-Event") == "" {
					events(w, 1, 3, true)
				}
				w.Header().Set("X-Signature", "s")
				w.Header().Set("X-Id", hr.Header.Get("X-Id"))
				w.WriteHeader(status)
				if status != http.StatusNoContent {
					fmt.Fprint(w, "the stream is unknown")
				}
			})
		}
		_, body, err := r.call("POST", "/p/x")
		if err == nil || body != eventSeries(1, 3) {
			t.Errorf("next endpoint answers %d: body %q, error %v; want events 1 to 3 and then an error", status, body, err)
		}
	}
}
