package dispatch

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/limiter"
)

// errSilent is the cancellation cause of an attempt on a silent connection.
var errSilent = errors.New("connection went silent")

// guardedCall runs call and cancels its context if the connection stays silent. call
// must report arriving tokens through received.
func (d *Dispatcher) guardedCall(ctx context.Context, addr, attempt string, call func(ctx context.Context, received func(tokens int)) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &silenceGuard{d: d, addr: addr, attempt: attempt, detector: limiter.NewSilenceDetector(d.Clock.Now())}
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.run(ctx, cancel)
	}()
	err := call(ctx, g.received)
	cancel(nil)
	<-done
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return &engine.Error{Outcome: api.OutcomeUnknown, Silent: true, Err: errSilent}
	}
	return err
}

// silenceGuard drives a SilenceDetector for one attempt.
type silenceGuard struct {
	d       *Dispatcher
	addr    string
	attempt string

	mu       sync.Mutex
	detector *limiter.SilenceDetector
}

func (g *silenceGuard) received(tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.RecordReceived(g.d.Clock.Now(), tokens)
}

func (g *silenceGuard) run(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		g.mu.Lock()
		next := g.detector.NextPoll()
		g.mu.Unlock()
		select {
		case <-g.d.Clock.After(next.Sub(g.d.Clock.Now())):
		case <-ctx.Done():
			return
		}
		g.mu.Lock()
		action := g.detector.Poll(g.d.Clock.Now())
		g.mu.Unlock()
		if action == limiter.SilenceProbe {
			action = g.probe(ctx)
		}
		if action == limiter.SilenceGiveUp {
			g.d.Logger.Warn("closing silent connection", "endpoint", g.addr, "attempt", g.attempt)
			cancel(errSilent)
			return
		}
	}
}

// probe asks the endpoint for the state of the attempt over a new connection. A probe
// without an answer is not reported to the detector, so its time limits keep running.
func (g *silenceGuard) probe(ctx context.Context) limiter.SilenceAction {
	ctx, cancel := context.WithTimeout(ctx, limiter.ProbeTimeout)
	defer cancel()
	status, err := g.d.Engines.Probe(ctx, g.addr, g.attempt)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case engine.TurnedAway(err):
		g.detector.HandleProbeTurnedAway(g.d.Clock.Now())
		return limiter.SilenceNone
	case err != nil:
		return limiter.SilenceNone
	}
	return g.detector.HandleProbeResult(g.d.Clock.Now(), limiter.ProbeResult{
		Running: status.Running, Progress: status.Progress, Sent: status.Sent,
	})
}
