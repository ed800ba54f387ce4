package dispatch_test

import (
	"context"

	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/engine"
)

// heldEngines is a dispatch.Engines at which every attempt waits until its context ends.
type heldEngines struct {
	dispatch.Engines
	// outcome is the outcome of the attempts.
	outcome api.Outcome
	started chan struct{}
}

func (e *heldEngines) hold(ctx context.Context) error {
	e.started <- struct{}{}
	<-ctx.Done()
	return &engine.Error{Outcome: e.outcome, Lost: e.outcome != api.OutcomeNotRun, Err: ctx.Err()}
}

func (e *heldEngines) Generate(ctx context.Context, _ string, _ engine.GenerateRequest, _ func(engine.Event) error) (engine.Final, error) {
	return engine.Final{}, e.hold(ctx)
}

func (e *heldEngines) Call(ctx context.Context, _, _, _, _, _ string, _ []byte) (engine.Reply, error) {
	return engine.Reply{}, e.hold(ctx)
}

// holdEngines makes all attempts wait.
func (r *rig) holdEngines(outcome api.Outcome) *heldEngines {
	held := &heldEngines{Engines: r.d.Engines, outcome: outcome, started: make(chan struct{}, 64)}
	r.d.Engines = held
	return held
}

// inFlight is a request that is cancelled while it is served.
type inFlight struct {
	id     string
	cancel context.CancelCauseFunc
	result chan error
}

// start begins a request, chat or booking.
func (r *rig) start(booking bool, text string) *inFlight {
	return r.startUnder(context.Background(), booking, text)
}

// startUnder is start with a parent of the request's context.
func (r *rig) startUnder(parent context.Context, booking bool, text string) *inFlight {
	f := &inFlight{id: uuid.Must(uuid.NewV7()).String(), result: make(chan error, 1)}
	var ctx context.Context
	ctx, f.cancel = context.WithCancelCause(parent)
	go func() {
		var err error
		if booking {
			_, err = r.d.Service(ctx, dispatch.ServiceRequest{
				ID: f.id, Key: f.id, Team: "workshop", Service: "booking", Operation: "book", Body: []byte("{}"),
			})
		} else {
			_, err = r.d.Chat(ctx, dispatch.ChatRequest{ID: f.id, Team: "workshop", Body: chat("small", text)}, func(string) error { return nil })
		}
		f.result <- err
	}()
	return f
}

// end cancels the request and returns its error.
func (f *inFlight) end(cause error) error {
	f.cancel(cause)
	return <-f.result
}
