package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
)

// cancelTimeout bounds the wait until an endpoint confirms that an attempt has ended.
const cancelTimeout = time.Second

// mayRunOn reports whether an endpoint may still work on an attempt that has failed: it may have
// got the request, and has not answered it in full.
func mayRunOn(err error) bool {
	var failed *engine.Error
	return errors.As(err, &failed) && failed.Outcome != api.OutcomeNotRun && failed.Status == 0
}

// cancelAttempt ends an attempt at its endpoint before the request goes on elsewhere. The close
// of a connection does not reach the endpoint if the connection is silent. An endpoint that does
// not confirm in time may work on. Nothing goes on if ctx has ended.
func (d *Dispatcher) cancelAttempt(ctx context.Context, sl *slot) {
	if ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	err := d.Engines.Cancel(ctx, sl.addr, sl.attempt)
	level := slog.LevelWarn
	switch {
	case err == nil:
		return
	case engine.NoSuchCall(err):
		level = slog.LevelInfo
	}
	d.Logger.Log(ctx, level, "attempt not confirmed as ended", "endpoint", sl.endpoint, "attempt", sl.attempt, "error", err)
}
