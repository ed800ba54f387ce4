package relay

import (
	"maps"
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

// waits returns how long each of the endpoints takes no requests, for those that take none.
func (h *endpointHolds) waits(endpoints []fleet.Endpoint, now time.Time) map[string]time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.byID, func(_ string, hold endpointHold) bool { return !hold.leaving && !now.Before(hold.until) })
	if len(h.byID) == 0 {
		return nil
	}
	out := make(map[string]time.Duration)
	for _, e := range endpoints {
		hold, ok := h.byID[e.ID]
		switch {
		case !ok || hold.started != e.Started:
		case hold.leaving:
			out[e.ID] = leavingWait
		default:
			out[e.ID] = hold.until.Sub(now)
		}
	}
	return out
}

// forget drops an endpoint that is gone.
func (h *endpointHolds) forget(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byID, id)
}
