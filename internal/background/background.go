// Package background runs the background loops of a service and stops them at
// shutdown.
package background

import (
	"context"
	"log/slog"
	"sync"

	"github.com/cockroachdb/errors"
)

// Group manages the background loops of one service.
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

// Start runs loop in a new goroutine. The context of loop is canceled by Stop. An
// error other than context.Canceled is logged under name.
func (g *Group) Start(name string, loop func(ctx context.Context) error) {
	g.wg.Go(func() {
		err := loop(g.ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			g.logger.Error("background loop ended", "loop", name, "error", err)
		}
	})
}

// Stop cancels the loops and waits until they have returned or ctx is done.
func (g *Group) Stop(ctx context.Context) error {
	g.cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		g.wg.Wait()
	}()
	select {
	case <-stopped:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "background: loops did not end")
	}
}
