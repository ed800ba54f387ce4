package relay

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// maxStartupWait bounds the time for which a request waits for the first configuration of a
	// host that has just started. Callers retry once or twice only, and all hosts start together
	// after a loss of power, so a rejection would use up their retries.
	maxStartupWait = time.Second
	// startupWaitFraction bounds that time as a fraction of the time that the caller allows.
	startupWaitFraction = 0.25
	// maxStartupWaiters bounds the requests that wait, whose bodies are held in memory.
	maxStartupWaiters = 256
)

// startupWaiters counts the requests that wait for the first configuration.
type startupWaiters struct{ count atomic.Int64 }

// tryAdd reports whether one more request may wait. The caller calls done after it has waited.
func (w *startupWaiters) tryAdd() bool {
	if w.count.Add(1) > maxStartupWaiters {
		w.count.Add(-1)
		return false
	}
	return true
}

func (w *startupWaiters) done() { w.count.Add(-1) }

// awaitConfiguration waits until the host has listed its state for the first time, if it has
// not yet. The request is rejected afterwards if there is still no configuration.
func (j *job) awaitConfiguration(ctx context.Context) {
	listed := j.relay.Config.Listed()
	select {
	case <-listed:
		return
	default:
	}
	if !j.relay.startup.tryAdd() {
		return
	}
	defer j.relay.startup.done()
	started := j.relay.Clock.Now()
	timer := j.relay.Clock.NewTimer(startupWait(j.req.Timeout))
	defer timer.Stop()
	select {
	case <-listed:
	case <-timer.Chan():
	case <-ctx.Done():
	}
	j.addStep("startup_ms=" + strconv.FormatInt(j.relay.Clock.Since(started).Milliseconds(), 10))
}

// startupWait returns how long a request with the given timeout waits for the first
// configuration. A zero timeout means that the caller named none.
func startupWait(timeout time.Duration) time.Duration {
	if timeout == 0 {
		return maxStartupWait
	}
	return min(maxStartupWait, time.Duration(startupWaitFraction*float64(timeout)))
}
