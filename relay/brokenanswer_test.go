package relay_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/internal/earlyanswer"
	"github.com/corianderlever/corianderlever/route"
)

// TestResetAnswerNeverReachesTheCallerAsComplete guards against a caller that gets a part of an
// answer as the whole, because the endpoint reset its connection during the upload. A stream that
// has begun is cut; anything else is 502.
func TestResetAnswerNeverReachesTheCallerAsComplete(t *testing.T) {
	for kind, rt := range map[string]route.Route{"body": plainRoute(route.NonIdempotent, 1), "stream": streamRoute(false)} {
		for name, body := range earlyanswer.Bodies {
			for _, when := range earlyanswer.Moments {
				r := newRig(t, rt)
				addr := earlyanswer.Endpoint{When: when, Answer: func(http.Header) string {
					return "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: attempt-1\r\n" + body
				}}.Serve(t)
				r.fleet.Set(fleet.Endpoint{ID: "e", Service: "s", Address: addr, FailureDomain: "a", Version: "v1", Slots: 4, Revision: 1})
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.server.URL+"/p/x", strings.NewReader(strings.Repeat("u", earlyanswer.UploadBytes)))
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("X-Id", "attempt-1")
				req.Header.Set("X-Key", r.key)
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					continue // the connection was cut before the header
				}
				got, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err == nil && resp.StatusCode != http.StatusBadGateway {
					t.Errorf("%s, %s, %s: status %d, body %q is complete; want 502 or a cut answer", kind, name, when.Name, resp.StatusCode, got)
				}
			}
		}
	}
}

// TestStatusOutOfRangeIsNotForwarded guards against a status that is none and reaches a caller.
func TestStatusOutOfRangeIsNotForwarded(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		r := newRig(t, plainRoute(route.NonIdempotent, 1))
		r.endpoint("e", func(w http.ResponseWriter, _ *http.Request) {
			rawAnswer(w, "HTTP/1.1 "+status+" X\r\nX-Signature: s\r\nX-Id: attempt-1\r\nContent-Length: 2\r\n\r\n{}")
		})
		if resp, body, err := r.call(http.MethodPost, "/p/x"); err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Errorf("status %s: response %+v, body %q, error %v; want 502", status, resp, body, err)
		}
	}
}
