package kv

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithTimeout returns a context that is cancelled after d on the clock. It
// replaces clockwork.WithTimeout, whose Err blocks until the fake clock
// reaches the deadline.
func WithTimeout(parent context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	timer := clock.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
