package relay

import (
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/fleet"
)

// endpointHolds keeps the endpoints that want no requests from this host: those that are
// leaving, and those that have rejected a request for some time.
type endpointHolds struct {
	mu   sync.Mutex
	byID map[string]endpointHold
}

// endpointHold is what one start of an endpoint has asked for.
type endpointHold struct {
	started int64
	// leaving endpoints never take requests again.
	leaving bool
	until   time.Time
}

// observe records what an answer says of its endpoint.
func (h *endpointHolds) observe(e fleet.Endpoint, leaving bool, retryAfter time.Duration, now time.Time) {
	if !leaving && retryAfter <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	hold := h.byID[e.ID]
	if hold.started != e.Started {
		hold = endpointHold{started: e.Started}
	}
	hold.leaving = hold.leaving || leaving
	if until := now.Add(retryAfter); until.After(hold.until) {
		hold.until = until
	}
	if h.byID == nil {
		h.byID = make(map[string]endpointHold)
	}
	h.byID[e.ID] = hold
}

// leavingWait is the wait that stands for an endpoint that does not take requests again.
const leavingWait = time.Hour

// wait returns how long an endpoint takes no requests; zero if it does.
func (h *endpointHolds) wait(e fleet.Endpoint, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold, ok := h.byID[e.ID]
	switch {
	case !ok || hold.started != e.Started:
		return 0
	case hold.leaving:
		return leavingWait
	}
	return max(0, hold.until.Sub(now))
}

// forget drops an endpoint that is gone.
func (h *endpointHolds) forget(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byID, id)
}

// any reports whether an endpoint may be held.
func (h *endpointHolds) any() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.byID) > 0
}
