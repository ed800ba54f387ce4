package engine_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
)

// TestTransportSendsNoBookingTwice guards against a call with an idempotency key that runs at an
// endpoint twice because the transport repeats it when a kept connection ends without an answer.
func TestTransportSendsNoBookingTwice(t *testing.T) { checkSentOnce(t, "{}") }

// TestTransportSendsNoEmptyBookingTwice guards against the same for a call without a body, which
// the transport takes for one that it may send again.
func TestTransportSendsNoEmptyBookingTwice(t *testing.T) { checkSentOnce(t, "") }

func checkSentOnce(t *testing.T, body string) {
	t.Helper()
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get(engine.HeaderAttemptID)
		if attempt == "second" {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(engine.HeaderAttemptID, attempt)
	}))
	defer server.Close()
	c := engine.NewClient(nil)
	defer c.CloseIdle()
	call := func(attempt string) error {
		_, err := c.Call(t.Context(), strings.TrimPrefix(server.URL, "http://"), "bookings", "book", attempt, "key", []byte(body))
		return err
	}
	if err := call("first"); err != nil {
		t.Fatal(err)
	}
	if got := outcome(t, call("second")); got == api.OutcomeNotRun || runs.Load() != 1 {
		t.Errorf("outcome %s after %d runs, want one run", got, runs.Load())
	}
}
