package limiter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// ejectShare caps the share of endpoints ejected at once: beyond it the
	// fault is more likely in the host or the network than in the endpoints.
	// One of two or three endpoints may always be ejected.
	ejectShare = 0.34
	// ejectConsecutive failures in a row eject an endpoint.
	ejectConsecutive = 5
	// ejectRampConsecutive applies during the slow return.
	ejectRampConsecutive = 2
	// ejectRate ejects an endpoint whose failure rate over a rateWindow with at
	// least ejectMinSamples results is this high.
	ejectRate       = 0.5
	ejectMinSamples = 10
	rateWindow      = 10 * time.Second
	// ejectBase is the first ejection time; it doubles up to ejectMax.
	ejectBase = 5 * time.Second
	ejectMax  = 60 * time.Second
	// rampTime is the time of the slow return, from weight rampStart to 1.
	rampTime  = 20 * time.Second
	rampStart = 0.1
)

type health struct {
	consecutive int
	failures    int
	samples     int
	windowEnd   time.Time
	until       time.Time // end of the ejection, zero if never ejected
	ejections   int       // grows the ejection time, reset by a full return
}

// Ejector takes failing endpoints out of the choice for a while and returns
// them slowly.
type Ejector struct {
	clock clockwork.Clock

	mu        sync.Mutex
	endpoints map[string]*health
}

// NewEjector returns an ejector that knows no endpoints.
func NewEjector(clock clockwork.Clock) *Ejector {
	return &Ejector{clock: clock, endpoints: make(map[string]*health)}
}

// SetEndpoints replaces the known endpoints, keeping the state of those that
// stay. The cap refers to this list.
func (e *Ejector) SetEndpoints(endpoints []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[string]*health, len(endpoints))
	for _, id := range endpoints {
		h := e.endpoints[id]
		if h == nil {
			h = &health{}
		}
		next[id] = h
	}
	e.endpoints = next
}

// Report records the result of one attempt. Results of unknown endpoints and
// OutcomeIgnored are ignored; OutcomeOverload is the concurrency limit's matter.
func (e *Ejector) Report(endpoint string, outcome Outcome) {
	if outcome == OutcomeIgnored || outcome == OutcomeOverload {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.endpoints[endpoint]
	now := e.clock.Now()
	if h == nil || now.Before(h.until) {
		return
	}
	failed := outcome == OutcomeError
	h.count(now, failed)
	if failed && h.failing(now) && e.ejected(now) < e.limit() {
		h.eject(now)
	}
}

// Allowed reports whether the endpoint may receive new work. Unknown endpoints
// are allowed.
func (e *Ejector) Allowed(endpoint string) bool {
	return e.Weight(endpoint) > 0
}

// Weight returns the share of its normal work that the endpoint may receive: 0
// while ejected, rising to 1 during the slow return.
func (e *Ejector) Weight(endpoint string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.endpoints[endpoint]
	if h == nil || h.until.IsZero() {
		return 1
	}
	since := e.clock.Now().Sub(h.until)
	if since < 0 {
		return 0
	}
	return min(1, rampStart+(1-rampStart)*float64(since)/float64(rampTime))
}

// Ejected returns the number of endpoints ejected now.
func (e *Ejector) Ejected() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ejected(e.clock.Now())
}

func (e *Ejector) ejected(now time.Time) int {
	n := 0
	for _, h := range e.endpoints {
		if now.Before(h.until) {
			n++
		}
	}
	return n
}

func (e *Ejector) limit() int {
	n := len(e.endpoints)
	if n < 2 {
		return 0
	}
	return max(1, int(ejectShare*float64(n)))
}

func (h *health) count(now time.Time, failed bool) {
	if !now.Before(h.windowEnd) {
		h.samples, h.failures = 0, 0
		h.windowEnd = now.Add(rateWindow)
	}
	h.samples++
	if !failed {
		h.consecutive = 0
		return
	}
	h.failures++
	h.consecutive++
}

func (h *health) ramping(now time.Time) bool {
	return !h.until.IsZero() && now.Sub(h.until) < rampTime
}

func (h *health) failing(now time.Time) bool {
	allowed := ejectConsecutive
	if h.ramping(now) {
		allowed = ejectRampConsecutive
	}
	if h.consecutive >= allowed {
		return true
	}
	return h.samples >= ejectMinSamples && float64(h.failures) >= ejectRate*float64(h.samples)
}

func (h *health) eject(now time.Time) {
	if !h.ramping(now) {
		h.ejections = 0
	}
	d := min(ejectMax, ejectBase<<min(h.ejections, 10))
	h.ejections++
	*h = health{until: now.Add(d), ejections: h.ejections}
}
