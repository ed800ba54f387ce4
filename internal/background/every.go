package background

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Every calls f at each interval until ctx ends.
func Every(ctx context.Context, clock clockwork.Clock, interval time.Duration, f func()) error {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			f()
		}
	}
}
