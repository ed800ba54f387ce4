package relay_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/internal/earlyanswer"
	"github.com/corianderlever/corianderlever/route"
)

// TestBrokenAnswerDoesNotLookComplete guards against a caller that gets a part of an answer as the
// whole, because the endpoint reset its connection during the upload, and against one that gets
// an error instead of an orderly answer.
func TestBrokenAnswerDoesNotLookComplete(t *testing.T) {
	for _, rt := range []route.Route{plainRoute(route.NonIdempotent, 1), streamRoute(false)} {
		earlyanswer.Check(t, "X-Signature: s\r\nX-Id: attempt-1\r\n", true, func(addr, body string, received chan<- struct{}) error {
			received <- struct{}{}
			r := newRig(t, rt)
			r.fleet.Set(fleet.Endpoint{ID: "e", Service: "s", Address: addr, FailureDomain: "a", Version: "v1", Slots: 4, Revision: 1})
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.server.URL+"/p/x", strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header = http.Header{"X-Id": {"attempt-1"}, "X-Key": {r.key}}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return errors.New(resp.Status)
			}
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		})
	}
}
