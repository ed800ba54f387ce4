package balance

import (
	"time"
)

const (
	// localHistory is the number of starts and ends of this host's requests kept
	// per endpoint. Those after a delayed report are added to it.
	localHistory = 64
	// reportTTL is the age up to which a report counts. Without a report the
	// estimate is the number of this host's requests in flight.
	reportTTL = 10 * time.Second
)

// LoadReport is an endpoint's report of its load.
type LoadReport struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// At is the time at which the endpoint made the report.
	At time.Time
	// Running and Waiting are the numbers of requests from all hosts.
	Running, Waiting int
}

// localEvent is the start or end of a request of this host.
type localEvent struct {
	at    time.Time
	delta int
}

// load estimates the number of requests at one endpoint: those of the last report,
// plus the requests that this host has started since the report was made, minus
// those that have ended.
type load struct {
	reported   int
	reportedAt time.Time
	localSince int // starts minus ends of this host's requests after reportedAt
	inFlight   int
	history    [localHistory]localEvent
	next       int
}

// recordLocal records the start (delta 1) or end (delta -1) of a request.
func (l *load) recordLocal(now time.Time, delta int) {
	if l.inFlight+delta < 0 {
		return
	}
	l.inFlight += delta
	l.localSince += delta
	l.history[l.next] = localEvent{at: now, delta: delta}
	l.next = (l.next + 1) % localHistory
}

func (l *load) applyReport(r LoadReport) {
	if !r.At.After(l.reportedAt) {
		return
	}
	l.reported = r.Running + r.Waiting
	l.reportedAt = r.At
	l.localSince = 0
	for _, e := range l.history {
		if e.at.After(r.At) {
			l.localSince += e.delta
		}
	}
}

// estimate returns the expected number of requests at the endpoint.
func (l *load) estimate(now time.Time) int {
	if now.Sub(l.reportedAt) > reportTTL {
		return l.inFlight
	}
	return max(l.inFlight, l.reported+l.localSince)
}

// ObserveReport records a load report. It ignores reports older than the last.
func (p *Picker) ObserveReport(r LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.byID[r.Endpoint]; ok {
		p.endpoints[i].load.applyReport(r)
	}
}
