package daemon

import (
	"context"
	"log/slog"
	"sync"

	"github.com/cockroachdb/errors"
)

// runner runs the background loops of a service.
type runner struct {
	logger *slog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newRunner(logger *slog.Logger) *runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &runner{logger: logger, ctx: ctx, cancel: cancel}
}

// start runs loop until stop is called.
func (r *runner) start(name string, loop func(ctx context.Context) error) {
	r.wg.Go(func() {
		err := loop(r.ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			r.logger.Error("background loop ended", "loop", name, "error", err)
		}
	})
}

// stop ends the loops and waits for them within ctx.
func (r *runner) stop(ctx context.Context) error {
	r.cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.wg.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "daemon: background loops did not end")
	}
}
