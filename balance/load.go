package balance

import (
	"time"
)

const (
	// ownHistory is the number of own starts and ends kept per endpoint, to
	// add those that a late report does not contain yet.
	ownHistory = 64
	// reportLife is the age up to which a report counts. After it the own
	// requests in flight are all that is known.
	reportLife = 10 * time.Second
)

// LoadReport is an endpoint's own account of its load.
type LoadReport struct {
	// Endpoint is its ID.
	Endpoint string
	// At is the time the endpoint made the report.
	At time.Time
	// Running and Waiting are its requests, of all hosts.
	Running, Waiting int
}

type ownEvent struct {
	at    time.Time
	delta int
}

// load estimates the requests at one endpoint: those of the last report, plus
// the host's own starts less its own ends since that report was made.
type load struct {
	reported   int
	reportedAt time.Time
	since      int // own starts less ends after reportedAt
	inFlight   int
	history    [ownHistory]ownEvent
	next       int
}

func (l *load) own(now time.Time, delta int) {
	if l.inFlight+delta < 0 {
		return
	}
	l.inFlight += delta
	l.since += delta
	l.history[l.next] = ownEvent{at: now, delta: delta}
	l.next = (l.next + 1) % ownHistory
}

func (l *load) report(r LoadReport) {
	if !r.At.After(l.reportedAt) {
		return
	}
	l.reported = r.Running + r.Waiting
	l.reportedAt = r.At
	l.since = 0
	for _, e := range l.history {
		if e.at.After(r.At) {
			l.since += e.delta
		}
	}
}

// estimate returns the expected number of requests at the endpoint.
func (l *load) estimate(now time.Time) int {
	if now.Sub(l.reportedAt) > reportLife {
		return l.inFlight
	}
	return max(l.inFlight, l.reported+l.since)
}

// ObserveReport takes in a load report. Older reports than the last are dropped.
func (p *Picker) ObserveReport(r LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.byID[r.Endpoint]; ok {
		p.slots[i].load.report(r)
	}
}
