// Package background runs the loops of a service until it stops.
package background

import (
	"context"
	"log/slog"
	"sync"

	"github.com/cockroachdb/errors"
)

// Group is the background loops of one service.
type Group struct {
	logger *slog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewGroup returns a group without loops.
func NewGroup(logger *slog.Logger) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{logger: logger, ctx: ctx, cancel: cancel}
}

// Start runs loop until Stop is called.
func (r *Group) Start(name string, loop func(ctx context.Context) error) {
	r.wg.Go(func() {
		err := loop(r.ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			r.logger.Error("background loop ended", "loop", name, "error", err)
		}
	})
}

// Stop ends the loops and waits for them within ctx.
func (r *Group) Stop(ctx context.Context) error {
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
		return errors.Wrap(ctx.Err(), "background: loops did not end")
	}
}
