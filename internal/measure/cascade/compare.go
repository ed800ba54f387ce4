package cascade

import (
	"math"
	"sync"

	"github.com/corianderlever/corianderlever/cascade"
	"github.com/corianderlever/corianderlever/internal/measure"
)

// worstP95Ratio returns the highest 95th percentile of latency divided by
// deadline over all kinds.
func worstP95Ratio(records []record) float64 {
	worst := 0.0
	for i, k := range kindsBeforeShift {
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

// worst returns the highest value, or NaN if any value is NaN.
func worst(values []float64) float64 {
	highest := math.Inf(-1)
	for _, v := range values {
		highest = math.Max(highest, v)
	}
	return highest
}

// bestVersionP95Ratio returns the highest ratio of 95th percentile to deadline
// over all kinds if the best version is always used.
func bestVersionP95Ratio() float64 {
	worst := 0.0
	for _, k := range kindsBeforeShift {
		worst = max(worst, engines[len(engines)-1].latency.p95()/k.deadline.Seconds())
	}
	return worst
}

// bestVersionQuality returns the mean quality if the best version is always used.
func bestVersionQuality() float64 {
	total := 0.0
	for _, k := range kindsBeforeShift {
		total += k.weight * k.rates[len(engines)-1]
	}
	return total
}

// costVsBestVersion sets the quality target of each kind to the pass rate of
// the best version and returns the cost relative to always using that version.
// It returns NaN, which meets no target, if the achieved quality is lower.
func costVsBestVersion(seed uint64) float64 {
	best := len(engines) - 1
	targets := make([]float64, len(kindsBeforeShift))
	for i, k := range kindsBeforeShift {
		targets[i] = k.rates[best]
	}
	s := newSimulation(seed, cascade.Config{}, targets)
	s.run(kindsBeforeShift, requests)
	t := sum(s.records)
	bestQuality := 0.0
	for i, k := range kindsBeforeShift {
		bestQuality += t.count[i] * k.rates[best] / t.n
	}
	if t.achieved() < bestQuality {
		return math.NaN()
	}
	return t.cost / t.n / engines[best].cost
}

// recoveries returns the number of rated answers until recovery after a shift
// of the pass rates, as the worst over all seeds, for the shipped chooser and
// for a baseline whose short window of 2000 ratings is too long to adapt quickly.
func recoveries(shifted []kind) (shipped, baseline float64) {
	shippedBySeed, baselineBySeed := make([]float64, len(seeds)), make([]float64, len(seeds))
	forEachSeed(func(i int, seed uint64) {
		shippedBySeed[i] = recovery(seed, cascade.Config{}, shifted)
		baselineBySeed[i] = recovery(seed, cascade.Config{ShortWindow: 2000}, shifted)
	})
	return worst(shippedBySeed), worst(baselineBySeed)
}

// forEachSeed calls f concurrently for all seeds and waits. f must write only
// to index i of shared slices.
func forEachSeed(f func(i int, seed uint64)) {
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Go(func() { f(i, seed) })
	}
	wg.Wait()
}

const (
	// recoveryWindow is the number of rated answers over which the quality and
	// cost limits must be met. They must also be met over the following
	// confirmationWindow, so that one window of chance results is not counted
	// as a recovery.
	recoveryWindow     = 250
	confirmationWindow = 500
	recoveryStep       = 25
	recoveryCost       = 1.10
)

// recovery returns the number of ratings from the shift to the end of the first
// recoveryWindow in which the plans meet the quality target at no more than
// 1.10 times the oracle's cost and still do so in the confirmationWindow that
// follows. It returns +Inf if there is no such window.
func recovery(seed uint64, cfg cascade.Config, kinds []kind) float64 {
	s := newSimulation(seed, cfg, uniform(qualityTarget))
	s.run(kindsBeforeShift, requests/2)
	start, before := s.rated, len(s.records)
	s.run(kinds, requests/2)
	after := s.records[before:]
	meets := func(low, high int) bool {
		t := sum(plannedBetween(after, start+low, start+high))
		return t.achieved() >= qualityTarget && t.ratio(kinds, s.targets) <= recoveryCost
	}
	for n := recoveryWindow; start+n+confirmationWindow <= s.rated; n += recoveryStep {
		if meets(n-recoveryWindow, n) && meets(n, n+confirmationWindow) {
			return float64(n)
		}
	}
	return math.Inf(1)
}

// plannedBetween returns the records planned when at least low and fewer than
// high ratings had arrived.
func plannedBetween(records []record, low, high int) []record {
	var found []record
	for _, r := range records {
		if r.rated >= low && r.rated < high {
			found = append(found, r)
		}
	}
	return found
}
