package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
)

// TestRepeatedRefusalIsNotTheAnswer guards against a request that is said not to have run, and
// runs at a second endpoint, because a faulty endpoint wrote an earlier refusal once more on
// a kept connection.
func TestRepeatedRefusalIsNotTheAnswer(t *testing.T) {
	for _, named := range []bool{true, false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get(engine.HeaderAttemptID)
			if attempt == "second" {
				attempt = "first" // the endpoint runs the request and repeats an earlier answer
			}
			if named {
				w.Header().Set(engine.HeaderAttemptID, attempt)
			}
			w.Header().Set(api.HeaderOutcome, string(api.OutcomeNotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, "full")
		}))
		addr := strings.TrimPrefix(server.URL, "http://")
		calls := map[string]func(c *engine.Client, attempt string) error{
			"call": func(c *engine.Client, attempt string) error {
				_, err := c.Call(context.Background(), addr, "bookings", "book", attempt, "", []byte("{}"))
				return err
			},
			"generate": func(c *engine.Client, attempt string) error {
				_, err := c.Generate(context.Background(), addr, engine.GenerateRequest{Attempt: attempt, Version: "v"}, func(engine.Event) error { return nil })
				return err
			},
		}
		for name, call := range calls {
			c := engine.NewClient(nil)
			if got := outcome(t, call(c, "first")); got != api.OutcomeNotRun {
				t.Errorf("%s, named %t: the refusal itself has outcome %s, want not_run", name, named, got)
			}
			if got := outcome(t, call(c, "second")); got == api.OutcomeNotRun {
				t.Errorf("%s, named %t: the repeated refusal has outcome not_run", name, named)
			}
			c.CloseIdle()
		}
		server.Close()
	}
}
