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
	// endless is the number of answers without end since the start, avoidUntil the end of
	// the time for which the endpoint is avoided because of them.
	endless    int
	avoidUntil time.Time
}

const (
	// endlessPause is the time for which an endpoint is avoided after an answer without end.
	// It doubles with each further one, up to maxEndlessPause.
	endlessPause    = time.Second
	maxEndlessPause = 30 * time.Second
)

// avoid records that an endpoint has sent an answer without end, and returns how long it is
// avoided.
func (h *endpointHolds) avoid(e fleet.Endpoint, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold := h.byID[e.ID]
	if hold.started != e.Started {
		hold = endpointHold{started: e.Started}
	}
	if now.Before(hold.avoidUntil) {
		return 0 // an answer that had begun before
	}
	pause := min(maxEndlessPause, endlessPause<<min(hold.endless, 8))
	hold.endless++
	hold.avoidUntil = now.Add(pause)
	h.set(e.ID, hold)
	return pause
}

func (h *endpointHolds) set(id string, hold endpointHold) {
	if h.byID == nil {
		h.byID = make(map[string]endpointHold)
	}
	h.byID[id] = hold
}

// avoided returns those of the endpoints that are avoided.
func (h *endpointHolds) avoided(endpoints []fleet.Endpoint, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.byID) == 0 {
		return nil
	}
	var out []string
	for _, e := range endpoints {
		if hold, ok := h.byID[e.ID]; ok && hold.started == e.Started && now.Before(hold.avoidUntil) {
			out = append(out, e.ID)
		}
	}
	return out
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
	h.set(e.ID, hold)
}

// leavingWait is the wait that stands for an endpoint that does not take requests again.
const leavingWait = time.Hour

// waits returns how long each of the endpoints takes no requests, for those that take none.
func (h *endpointHolds) waits(endpoints []fleet.Endpoint, now time.Time) map[string]time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.byID, func(_ string, hold endpointHold) bool {
		return !hold.leaving && hold.endless == 0 && !now.Before(hold.until)
	})
	if len(h.byID) == 0 {
		return nil
	}
	out := make(map[string]time.Duration)
	for _, e := range endpoints {
		hold, ok := h.byID[e.ID]
		switch {
		case !ok || hold.started != e.Started || !hold.leaving && !now.Before(hold.until):
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
