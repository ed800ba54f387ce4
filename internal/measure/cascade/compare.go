package cascade

import (
	"math"
	"sync"

	"github.com/corianderlever/corianderlever/cascade"
	"github.com/corianderlever/corianderlever/internal/measure"
)

// lateness is the highest 95th percentile of latency over deadline of any kind.
func lateness(records []record) float64 {
	worst := 0.0
	for i, k := range kindsBefore {
		var latencies []float64
		for _, r := range records {
			if r.kind == i {
				latencies = append(latencies, r.latency/k.deadline.Seconds())
			}
		}
		worst = max(worst, measure.Quantile(latencies, 0.95))
	}
	return worst
}

// worst is the highest value, or NaN if any value is NaN.
func worst(values []float64) float64 {
	highest := math.Inf(-1)
	for _, v := range values {
		highest = math.Max(highest, v)
	}
	return highest
}

// bestLateness is the same figure for always using the best version.
func bestLateness() float64 {
	worst := 0.0
	for _, k := range kindsBefore {
		worst = max(worst, engines[len(engines)-1].latency.p95()/k.deadline.Seconds())
	}
	return worst
}

// bestRate is the quality of always using the best version.
func bestRate() float64 {
	total := 0.0
	for _, k := range kindsBefore {
		total += k.weight * k.rates[len(engines)-1]
	}
	return total
}

// againstBest sets the target of each kind to the quality that always using
// // the best version achieves and returns the cost relative to doing so. It
// returns NaN, which meets no target, if the quality achieved is lower.
func againstBest(seed uint64) float64 {
	best := len(engines) - 1
	targets := make([]float64, len(kindsBefore))
	for i, k := range kindsBefore {
		targets[i] = k.rates[best]
	}
	s := newSimulation(seed, cascade.Config{}, targets)
	s.run(kindsBefore, requests)
	t := sum(s.records)
	always := 0.0
	for i, k := range kindsBefore {
		always += t.count[i] * k.rates[best] / t.n
	}
	if t.achieved() < always {
		return math.NaN()
	}
	return t.cost / t.n / engines[best].cost
}

// recoveries returns the rated answers until recovery after a shift, the worst
// of all seeds, for the shipped chooser and for one without a short memory.
func recoveries(shifted []kind) (shipped, plain float64) {
	with, without := make([]float64, len(seeds)), make([]float64, len(seeds))
	forEachSeed(func(i int, seed uint64) {
		with[i] = recovery(seed, cascade.Config{}, shifted)
		without[i] = recovery(seed, cascade.Config{ShortWindow: 2000}, shifted)
	})
	return worst(with), worst(without)
}

// forEachSeed calls f for all seeds at once; f writes only to its own index.
func forEachSeed(f func(i int, seed uint64)) {
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Go(func() { f(i, seed) })
	}
	wg.Wait()
}

const (
	// recoveryWindow is the window of rated answers that must meet the terms,
	// and steadyWindow the one after it, so that a lucky window is no recovery.
	recoveryWindow = 250
	steadyWindow   = 500
	recoveryStep   = 25
	recoveryCost   = 1.10
)

// recovery returns the number of ratings after the shift at the end of the
// first window in which the plans meet the quality target at no more than 1.10
// times the oracle's cost, and keep doing so in the window after it.
func recovery(seed uint64, cfg cascade.Config, kinds []kind) float64 {
	s := newSimulation(seed, cfg, uniform(qualityTarget))
	s.run(kindsBefore, requests/2)
	start, before := s.rated, len(s.records)
	s.run(kinds, requests/2)
	after := s.records[before:]
	meets := func(low, high int) bool {
		t := sum(between(after, start+low, start+high))
		return t.achieved() >= qualityTarget && t.ratio(kinds, s.targets) <= recoveryCost
	}
	for n := recoveryWindow; start+n+steadyWindow <= s.rated; n += recoveryStep {
		if meets(n-recoveryWindow, n) && meets(n, n+steadyWindow) {
			return float64(n)
		}
	}
	return math.Inf(1)
}

// between returns the records planned when at least low and fewer than high
// ratings had arrived.
func between(records []record, low, high int) []record {
	var found []record
	for _, r := range records {
		if r.rated >= low && r.rated < high {
			found = append(found, r)
		}
	}
	return found
}
