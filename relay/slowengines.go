package relay

import (
	"slices"
	"time"

	"github.com/corianderlever/corianderlever/balance"
)

const (
	// slowFrom is the slowness from which an engine is reported as slow, and slowUntil the
	// one below which it no longer is. Engines of one service differ by up to 1.7 without a
	// fault.
	slowFrom, slowUntil = 2, 1.5
)

// slowEngines holds the engines that were reported as slow.
type slowEngines map[string]bool

// update returns the engines that have become slow, and those that no longer are.
func (s slowEngines) update(paces []balance.EnginePace) (slow, ended []balance.EnginePace) {
	for _, p := range paces {
		switch {
		case !s[p.Endpoint] && p.Slowness >= slowFrom:
			s[p.Endpoint] = true
			slow = append(slow, p)
		case s[p.Endpoint] && p.Slowness < slowUntil:
			delete(s, p.Endpoint)
			ended = append(ended, p)
		}
	}
	return slow, ended
}

// reportPaces updates the metrics of the engines' paces and logs engines that have become slow
// or no longer are. Only hosts with a stream at an engine log it. The caller holds p.mu.
func (p *pool) reportPaces() {
	paces := p.engines.EnginePaces()
	slow, ended := p.slow.update(paces)
	for id := range p.slow {
		if !slices.Contains(p.endpointIDs, id) {
			delete(p.slow, id)
		}
	}
	m := p.relay.metrics
	m.slowEngines.WithLabelValues(p.service).Set(float64(len(p.slow)))
	if len(paces) > 0 {
		slices.SortFunc(paces, func(a, b balance.EnginePace) int { return int(a.Gap - b.Gap) })
		m.engineGap.WithLabelValues(p.service, "median").Set(paces[len(paces)/2].Gap.Seconds())
		m.engineGap.WithLabelValues(p.service, "slowest").Set(paces[len(paces)-1].Gap.Seconds())
	}
	usual := time.Duration(0)
	if len(paces) > 0 {
		usual = paces[len(paces)/2].Gap
	}
	log := func(event string, list []balance.EnginePace) {
		for _, e := range list {
			if e.Local > 0 {
				p.relay.Logger.Info(event, "service", p.service, "endpoint", e.Endpoint, "slowness", e.Slowness, "gap_ms", e.Gap.Milliseconds(),
					"median_gap_ms", usual.Milliseconds(), "requests", e.Requests, "streams", e.Streams)
			}
		}
	}
	log("engine slow", slow)
	log("engine no longer slow", ended)
}
