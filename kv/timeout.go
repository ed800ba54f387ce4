package kv

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithTimeout returns a context that is cancelled after d by the clock. It is used
// instead of clockwork.WithTimeout, because the Err method of that one's contexts
// blocks until a fake clock reaches the deadline.
func WithTimeout(parent context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	timer := clock.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
