package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderlever/corianderlever/balance"
)

const (
	// slowFrom is the slowness from which an engine is reported as slow, and slowUntil the
	// one below which it no longer is. Sound engines of one service differ in speed, too.
	slowFrom, slowUntil = 2, 1.5
	// slowMemory is the time after which an engine that nobody measures no longer counts as
	// slow. Its learned slowness has faded by then.
	slowMemory = time.Minute
)

// slowEngines holds, by ID, the engines that were reported as slow and when they last were.
type slowEngines map[string]time.Time

// update returns the engines that have become slow, and those that no longer are.
func (s slowEngines) update(paces []balance.EnginePace, now time.Time) (slow, ended []balance.EnginePace) {
	for _, p := range paces {
		_, known := s[p.Endpoint]
		switch {
		case !known && p.Slowness >= slowFrom:
			slow = append(slow, p)
		case known && p.Slowness < slowUntil:
			delete(s, p.Endpoint)
			ended = append(ended, p)
			continue
		case !known:
			continue
		}
		s[p.Endpoint] = now
	}
	maps.DeleteFunc(s, func(_ string, last time.Time) bool { return now.Sub(last) > slowMemory })
	return slow, ended
}

// updateSlow takes over the paces and returns the engines that have become slow, those that no
// longer are, and the number of slow ones.
func (p *pool) updateSlow(paces []balance.EnginePace) (slow, ended []balance.EnginePace, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	slow, ended = p.slow.update(paces, p.relay.Clock.Now())
	return slow, ended, len(p.slow)
}

// reportPaces updates the metrics of the engines' paces and logs engines that have become slow
// or no longer are.
func (p *pool) reportPaces() {
	paces := p.engines.EnginePaces()
	slow, ended, count := p.updateSlow(paces)
	p.relay.metrics.slowEngines.WithLabelValues(p.service).Set(float64(count))
	median, slowest := time.Duration(0), time.Duration(0)
	if len(paces) > 0 {
		slices.SortFunc(paces, func(a, b balance.EnginePace) int { return int(a.Gap - b.Gap) })
		median, slowest = paces[len(paces)/2].Gap, paces[len(paces)-1].Gap
	}
	p.relay.metrics.engineGap.WithLabelValues(p.service, "median").Set(median.Seconds())
	p.relay.metrics.engineGap.WithLabelValues(p.service, "slowest").Set(slowest.Seconds())
	p.logPaces("engine slow", slow, median)
	p.logPaces("engine no longer slow", ended, median)
}

// logPaces logs the engines at which this host has a stream. The others are logged by other hosts.
func (p *pool) logPaces(event string, list []balance.EnginePace, median time.Duration) {
	for _, e := range list {
		if e.Local > 0 {
			p.relay.Logger.Info(event, "service", p.service, "endpoint", e.Endpoint, "slowness", e.Slowness, "gap_ms", e.Gap.Milliseconds(),
				"median_gap_ms", median.Milliseconds(), "requests", e.Requests, "streams", e.Streams)
		}
	}
}
