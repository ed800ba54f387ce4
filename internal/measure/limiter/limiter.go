// Package limiter measures the retry budget, the crash guard, ejection and the
// silence detector in virtual time with fixed seeds.
package limiter

import (
	"github.com/corianderlever/corianderlever/internal/measure"
)

// seeds are fixed so that every run prints the same results. Each measure is
// the worst over all seeds.
var seeds = []uint64{11, 23, 47}

// Targets of the measures.
const (
	attemptsTarget  = 1.1
	crashesTarget   = 2
	rejectedTarget  = 0
	detectionTarget = 5 // s
	cutTarget       = 0
	goodputTarget   = 0.95
)

// Run returns all measures of the package limiter.
func Run() []measure.Line { return run(seeds) }

func run(seeds []uint64) []measure.Line {
	total := worst(seeds, func(seed uint64) pair { return outage(seed, 1) })
	partial := worst(seeds, func(seed uint64) pair { return outage(seed, 1.0/3) })
	var crashes, rejected pair
	for _, seed := range seeds {
		baseline, shipped := poison(seed, false), poison(seed, true)
		crashes = crashes.max(pair{baseline: baseline.worstCrashes, value: shipped.worstCrashes})
		rejected = rejected.max(pair{baseline: baseline.rejected, value: shipped.rejected})
	}
	detection := worst(seeds, func(seed uint64) pair { return silence(seed).detection })
	cut := worst(seeds, func(seed uint64) pair { return silence(seed).cut })
	both := least(seeds, goodput)
	return []measure.Line{
		line("attempts_per_request_total_outage", total, attemptsTarget, measure.AtMost),
		line("attempts_per_request_partial_outage", partial, attemptsTarget, measure.AtMost),
		line("crashes_per_poison_request", crashes, crashesTarget, measure.AtMost),
		line("innocent_requests_refused", rejected, rejectedTarget, measure.AtMost),
		line("silent_connection_detection_s", detection, detectionTarget, measure.AtMost),
		line("slow_answers_cut", cut, cutTarget, measure.AtMost),
		line("endpoint_crash_and_silent_connections", both, goodputTarget, measure.AtLeast),
	}
}

// pair holds one figure for the baseline and for the shipped method (value).
type pair struct {
	baseline float64
	value    float64
}

// max returns the larger figure of each method.
func (p pair) max(o pair) pair {
	return pair{baseline: max(p.baseline, o.baseline), value: max(p.value, o.value)}
}

func line(name string, p pair, target float64, bound measure.Bound) measure.Line {
	return measure.Line{Name: name, Baseline: p.baseline, Value: p.value, Target: target, Bound: bound}
}

// worst returns the largest figures of run over all seeds.
func worst(seeds []uint64, run func(seed uint64) pair) pair {
	var w pair
	for _, seed := range seeds {
		w = w.max(run(seed))
	}
	return w
}

// least returns the smallest figures of run over all seeds.
func least(seeds []uint64, run func(seed uint64) pair) pair {
	w := run(seeds[0])
	for _, seed := range seeds[1:] {
		p := run(seed)
		w = pair{baseline: min(w.baseline, p.baseline), value: min(w.value, p.value)}
	}
	return w
}
