package relay

import (
	"math"
	"sync"
	"time"
)

const (
	// gapWindow is the time constant with which a gap between events is forgotten.
	gapWindow = time.Second
	// gapMemory is the time without an event after which the gap of an endpoint is unknown.
	gapMemory = 5 * time.Second
)

// liveGaps keeps the gap between the events of this host's streams, by endpoint. It follows each
// event, whereas balance.EngineChooser.EventGap follows complete answers and is still high long
// after an overload in which few requests were admitted.
type liveGaps struct {
	mu         sync.Mutex
	byEndpoint map[string]liveGap
}

type liveGap struct {
	gap time.Duration
	at  time.Time
}

// observe records an event that came gap after the one before it.
func (l *liveGaps) observe(id string, gap time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byEndpoint == nil {
		l.byEndpoint = make(map[string]liveGap)
	}
	last, ok := l.byEndpoint[id]
	if !ok || now.Sub(last.at) > gapMemory {
		last.gap = gap
	}
	weight := 1 - math.Exp(-gap.Seconds()/gapWindow.Seconds())
	last.gap += time.Duration(weight * float64(gap-last.gap))
	last.at = now
	l.byEndpoint[id] = last
}

// mean returns the mean over the endpoints that have sent events lately; zero if there is none.
func (l *liveGaps) mean(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum, n := time.Duration(0), time.Duration(0)
	for id, last := range l.byEndpoint {
		if now.Sub(last.at) > gapMemory {
			delete(l.byEndpoint, id)
			continue
		}
		sum += last.gap
		n++
	}
	return sum / max(1, n)
}
