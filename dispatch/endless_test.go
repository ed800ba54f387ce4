package dispatch_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/limiter"
)

// endlessEngines is a dispatch.Engines whose answers never end.
type endlessEngines struct {
	dispatch.Engines
	tokens int
}

func (e *endlessEngines) Generate(_ context.Context, _ string, req engine.GenerateRequest, onToken func(engine.Event) error) (engine.Final, error) {
	token := string(make([]byte, 1<<10))
	for n := req.ResumeFrom; ; n++ {
		e.tokens++
		if err := onToken(engine.Event{Attempt: req.Attempt, Index: n, Token: token}); err != nil {
			return engine.Final{}, &engine.Error{Outcome: api.OutcomeRun, Err: err}
		}
	}
}

// TestTextWithoutEndIsGivenUp guards against a host that collects the text of an engine that
// does not stop: longer than any answer, or with no room left for it.
func TestTextWithoutEndIsGivenUp(t *testing.T) {
	const maxAnswer = 4 << 20 // bytes
	for _, c := range []struct {
		budget int64
		status int
	}{{32 << 20, http.StatusBadGateway}, {1 << 20, http.StatusServiceUnavailable}} {
		r := newRig(t, 1)
		engines := &endlessEngines{Engines: r.d.Engines}
		r.d.Engines, r.d.Buffers = engines, limiter.NewByteBudget(c.budget)
		_, err := r.client.Chat(context.Background(), client.Request{}, chat("small", "draft a letter"))
		var failed *api.Error
		if !errors.As(err, &failed) || failed.Status != c.status || failed.Outcome == api.OutcomeNotRun {
			t.Errorf("budget %d: got %v, want status %d", c.budget, err, c.status)
		}
		if received := int64(engines.tokens) << 10; received > maxAnswer+1<<10 {
			t.Errorf("budget %d: %d bytes received, want at most %d", c.budget, received, maxAnswer)
		}
		if used := r.d.Buffers.Used(); used != 0 {
			t.Errorf("budget %d: %d bytes still reserved", c.budget, used)
		}
	}
}
