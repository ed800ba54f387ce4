package dispatch_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/engine"
)

var errConnectionBroken = errors.New("connection broken")

// breakingEngines is a dispatch.Engines whose first answers break off after a token, although
// their endpoints go on.
type breakingEngines struct {
	dispatch.Engines
	breaks atomic.Int32 // that are left
	// onBreak runs when an answer breaks off.
	onBreak func()
}

func (e *breakingEngines) Generate(ctx context.Context, addr string, req engine.GenerateRequest, onToken func(engine.Event) error) (engine.Final, error) {
	if e.breaks.Add(-1) < 0 {
		return e.Engines.Generate(ctx, addr, req, onToken)
	}
	_, err := e.Engines.Generate(ctx, addr, req, func(ev engine.Event) error {
		return errors.CombineErrors(onToken(ev), errConnectionBroken)
	})
	e.onBreak()
	return engine.Final{}, &engine.Error{Outcome: api.OutcomeUnknown, Lost: true, Err: err}
}

func (e *breakingEngines) Probe(context.Context, string, string) (engine.AttemptStatus, error) {
	return engine.AttemptStatus{Running: true}, nil
}

// wantStreamResumed requests a stream that breaks off after each of its first tokens, and
// checks that the caller gets the whole answer.
func (r *rig) wantStreamResumed(breaks int32, onBreak func()) {
	r.t.Helper()
	broken := &breakingEngines{Engines: r.d.Engines, onBreak: onBreak}
	broken.breaks.Store(breaks)
	r.d.Engines = broken
	var text strings.Builder
	_, err := r.client.Stream(context.Background(), client.Request{}, chat("small", "long letter"), func(s string) error {
		text.WriteString(s)
		return nil
	})
	if err != nil {
		r.t.Errorf("the stream ended after %q: %v", text.String(), err)
	}
}

// TestStreamResumesAtTheOnlyUsableEndpoint guards against a stream that ends with its
// connection because the other endpoints of its version are leaving.
func TestStreamResumesAtTheOnlyUsableEndpoint(t *testing.T) {
	r := newRig(t, 2)
	r.pool.ObserveLoad("engine-b", engine.LoadReport{Leaving: true})
	r.wantStreamResumed(1, func() {})
}

// TestStreamResumesAlthoughServiceCountsAsLost guards against a stream that ends because
// endpoints refuse new connections of this host. No other host can continue it.
func TestStreamResumesAlthoughServiceCountsAsLost(t *testing.T) {
	r := newRig(t, 2)
	r.wantStreamResumed(1, func() {
		r.pool.ObserveContact("engine-a", false)
		r.pool.ObserveContact("engine-b", false)
		if len(r.pool.LostServices()) == 0 {
			t.Error("the engines do not count as lost")
		}
	})
}

// TestStreamWaitsForPermitToResume guards against a stream that ends in the middle because its
// endpoint takes no request at this moment under the rate limit that it names.
func TestStreamWaitsForPermitToResume(t *testing.T) {
	r := newRig(t, 1)
	r.endpoints.Engines[0].SetRateLimit(2)
	r.wantStreamResumed(1, func() {})
}

// TestStreamOutlastsManyBrokenConnections guards against a stream that ends although each of
// its attempts has continued it, as when endpoints stop one after the other.
func TestStreamOutlastsManyBrokenConnections(t *testing.T) {
	const breaks = 6
	r := newRig(t, 2)
	r.wantStreamResumed(breaks, func() {})
}
