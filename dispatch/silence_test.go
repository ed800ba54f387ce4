package dispatch

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
)

// failingProbes is an Engines whose probes fail with an error.
type failingProbes struct {
	Engines
	err error
}

func (e failingProbes) Probe(context.Context, string, string) (engine.AttemptStatus, error) {
	return engine.AttemptStatus{}, e.err
}

// TestSlowAnswerOfEndpointThatTurnsProbesAwayIsKept guards against an answer that is given up
// while its endpoint, which is full or takes no new connections, works on it.
func TestSlowAnswerOfEndpointThatTurnsProbesAwayIsKept(t *testing.T) {
	busy := &engine.Error{Outcome: api.OutcomeNotRun, Status: http.StatusServiceUnavailable, Busy: true, Err: errors.New("full")}
	for name, tc := range map[string]struct {
		probe error
		kept  bool
	}{
		"refused":   {errors.Wrap(os.NewSyscallError("connect", syscall.ECONNREFUSED), "probe"), true},
		"reset":     {errors.Wrap(os.NewSyscallError("read", syscall.ECONNRESET), "probe"), true},
		"closed":    {errors.Wrap(io.EOF, "probe"), true},
		"busy":      {errors.Wrap(busy, "probe"), true},
		"timed out": {errors.Wrap(context.DeadlineExceeded, "probe"), false},
	} {
		t.Run(name, func(t *testing.T) {
			err := slowAnswer(t, failingProbes{err: tc.probe}, 20*time.Second)
			if kept := err == nil; kept != tc.kept {
				t.Errorf("kept %t, want %t: %v", kept, tc.kept, err)
			}
		})
	}
}

// slowAnswer returns the error of an attempt on which nothing arrives for a time.
func slowAnswer(t *testing.T, engines Engines, silence time.Duration) error {
	const tick = 50 * time.Millisecond
	clock := clockwork.NewFakeClock()
	d := &Dispatcher{Options: Options{Clock: clock, Engines: engines, Logger: slog.New(slog.DiscardHandler)}}
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan struct{})
	ended := make(chan error, 1)
	go func() {
		defer cancel()
		ended <- d.guardedCall(ctx, "endpoint", "attempt", func(ctx context.Context, _ func(int)) error {
			select {
			case <-answered:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	for passed := time.Duration(0); passed < silence && clock.BlockUntilContext(ctx, 1) == nil; passed += tick {
		clock.Advance(tick)
	}
	close(answered)
	return <-ended
}
