package dispatch_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/corianderlever/corianderlever/dispatch"
)

// cancelsElsewhere is a dispatch.Engines that sends the calls of Cancel to another endpoint.
type cancelsElsewhere struct {
	dispatch.Engines
	addr string
	// calls is the number of calls, and timedOut that of those whose time has passed.
	calls, timedOut atomic.Int32
}

func (e *cancelsElsewhere) Cancel(ctx context.Context, _, attempt string) error {
	err := e.Engines.Cancel(ctx, e.addr, attempt)
	e.calls.Add(1)
	if ctx.Err() != nil {
		e.timedOut.Add(1)
	}
	return err
}

// TestAnswerGoesOnWithoutConfirmation guards against an answer that is not continued, or is held
// up, because the engine before has no call that ends an attempt, or does not answer it.
func TestAnswerGoesOnWithoutConfirmation(t *testing.T) {
	withoutCall := http.NewServeMux()
	withoutCall.HandleFunc("GET /v1/attempts/{id}", func(http.ResponseWriter, *http.Request) {})
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for name, tc := range map[string]struct {
		endpoint http.Handler
		timedOut int32
	}{
		"other methods only": {withoutCall, 0},
		"no such path":       {http.NotFoundHandler(), 0},
		"no answer":          {http.HandlerFunc(silent), 1},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(tc.endpoint)
			defer server.Close()
			r := newRig(t, 2)
			engines := &cancelsElsewhere{Engines: r.d.Engines, addr: strings.TrimPrefix(server.URL, "http://")}
			r.d.Engines = engines
			r.wantStreamResumed(1, func() {})
			if engines.calls.Load() != 1 || engines.timedOut.Load() != tc.timedOut {
				t.Errorf("%d calls, %d timed out; want 1 and %d", engines.calls.Load(), engines.timedOut.Load(), tc.timedOut)
			}
		})
	}
}
