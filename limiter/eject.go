package limiter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxEjectedShare caps the share of endpoints that are ejected at once.
	// Beyond it the fault is more likely in the host or the network than in the
	// endpoints. Of two or three endpoints, one may always be ejected.
	maxEjectedShare = 0.34
	// consecutiveFailures is the number of failures in a row that eject an
	// endpoint.
	consecutiveFailures = 5
	// slowStartConsecutiveFailures replaces consecutiveFailures during slow
	// start.
	slowStartConsecutiveFailures = 2
	// failureRateThreshold is the failure rate that ejects an endpoint, given
	// at least failureRateMinSamples results within a failureRateWindow.
	failureRateThreshold  = 0.5
	failureRateMinSamples = 10
	failureRateWindow     = 10 * time.Second
	// baseEjectionTime is the first ejection time. It doubles with each
	// ejection up to maxEjectionTime.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 60 * time.Second
	// slowStartTime is the time in which the weight of an endpoint rises from
	// slowStartWeight to 1 after an ejection.
	slowStartTime   = 20 * time.Second
	slowStartWeight = 0.1
)

type endpointHealth struct {
	consecutive  int // failures in a row
	failures     int
	samples      int
	windowEnd    time.Time
	ejectedUntil time.Time // end of the ejection, zero if never ejected
	ejections    int       // consecutive ejections, reset after a completed slow start
}

// Ejector implements outlier ejection: it removes failing endpoints from the
// selection for some time and returns them with a slow start.
type Ejector struct {
	clock clockwork.Clock

	mu        sync.Mutex
	endpoints map[string]*endpointHealth
}

// NewEjector returns an ejector without endpoints.
func NewEjector(clock clockwork.Clock) *Ejector {
	return &Ejector{clock: clock, endpoints: make(map[string]*endpointHealth)}
}

// SetEndpoints replaces the list of endpoints. Endpoints that remain keep their
// state. The cap on ejections is a share of this list.
func (e *Ejector) SetEndpoints(endpoints []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[string]*endpointHealth, len(endpoints))
	for _, id := range endpoints {
		h := e.endpoints[id]
		if h == nil {
			h = &endpointHealth{}
		}
		next[id] = h
	}
	e.endpoints = next
}

// Report records the result of one attempt. It ignores unknown endpoints,
// OutcomeIgnored, ejected endpoints, and OutcomeOverload, which the concurrency
// limit handles.
func (e *Ejector) Report(endpoint string, outcome Outcome) {
	if outcome == OutcomeIgnored || outcome == OutcomeOverload {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.endpoints[endpoint]
	now := e.clock.Now()
	if h == nil || now.Before(h.ejectedUntil) {
		return
	}
	failed := outcome == OutcomeError
	h.record(now, failed)
	if failed && h.failing(now) && e.countEjected(now) < e.maxEjected() {
		h.eject(now)
	}
}

// Allowed reports whether the endpoint may receive new work. Unknown endpoints
// are allowed.
func (e *Ejector) Allowed(endpoint string) bool {
	return e.Weight(endpoint) > 0
}

// Weight returns the share of its normal work that the endpoint may receive: 0
// while ejected, rising from slowStartWeight to 1 during slow start.
func (e *Ejector) Weight(endpoint string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.endpoints[endpoint]
	if h == nil || h.ejectedUntil.IsZero() {
		return 1
	}
	since := e.clock.Now().Sub(h.ejectedUntil)
	if since < 0 {
		return 0
	}
	return min(1, slowStartWeight+(1-slowStartWeight)*float64(since)/float64(slowStartTime))
}

// Ejected returns the number of endpoints that are currently ejected.
func (e *Ejector) Ejected() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.countEjected(e.clock.Now())
}

func (e *Ejector) countEjected(now time.Time) int {
	n := 0
	for _, h := range e.endpoints {
		if now.Before(h.ejectedUntil) {
			n++
		}
	}
	return n
}

func (e *Ejector) maxEjected() int {
	n := len(e.endpoints)
	if n < 2 {
		return 0
	}
	return max(1, int(maxEjectedShare*float64(n)))
}

func (h *endpointHealth) record(now time.Time, failed bool) {
	if !now.Before(h.windowEnd) {
		h.samples, h.failures = 0, 0
		h.windowEnd = now.Add(failureRateWindow)
	}
	h.samples++
	if !failed {
		h.consecutive = 0
		return
	}
	h.failures++
	h.consecutive++
}

func (h *endpointHealth) inSlowStart(now time.Time) bool {
	return !h.ejectedUntil.IsZero() && now.Sub(h.ejectedUntil) < slowStartTime
}

// failing reports whether the failures suffice for an ejection.
func (h *endpointHealth) failing(now time.Time) bool {
	threshold := consecutiveFailures
	if h.inSlowStart(now) {
		threshold = slowStartConsecutiveFailures
	}
	if h.consecutive >= threshold {
		return true
	}
	return h.samples >= failureRateMinSamples && float64(h.failures) >= failureRateThreshold*float64(h.samples)
}

func (h *endpointHealth) eject(now time.Time) {
	if !h.inSlowStart(now) {
		h.ejections = 0
	}
	d := min(maxEjectionTime, baseEjectionTime<<min(h.ejections, 10))
	h.ejections++
	*h = endpointHealth{ejectedUntil: now.Add(d), ejections: h.ejections}
}
