// Package allowance measures the consumption of the busiest minute in virtual
// time with 7 hosts, skewed clocks and faults. It is compared with an offline
// planner that has all requests in advance.
package allowance

import (
	"math"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/allowance"
	"github.com/corianderlever/corianderlever/internal/measure"
)

// Targets of the measures, from docs/design.md, section 12.
const (
	targetPlanner = 1.10
	targetMisses  = 0
	targetOverrun = 1.05
)

// seeds are the fixed seeds of the runs. Each measure reports its worst seed.
var seeds = []uint64{1, 2, 3}

// The operator's allowance is the busiest minute that the planner needs for the
// requests drawn from lastMonthSeed, times margin. The margin is needed because
// hosts cannot use the last few per cent of a minute: units consumed within the
// maximum clock skew of its edges count against two minutes.
const (
	lastMonthSeed = 99
	margin        = 1.05
)

// usualKinds is the load of an ordinary day. Each kind is worth more than the
// increase of the bill that it can cause.
var usualKinds = []kind{
	{rank: "urgent", perMinute: 2000, shortest: 8 * time.Second, expected: time.Second, worth: 20},
	{rank: "normal", perMinute: 1000, shortest: 30 * time.Second, spread: time.Minute, expected: 2 * time.Second, worth: 5},
	{rank: "batch", perMinute: 3000, shortest: 10 * time.Minute, spread: 30 * time.Minute, expected: 5 * time.Second, worth: 1.5},
}

// floodKinds adds a kind that floods the fleet and is worth less than the
// increase of the bill that it can cause.
var floodKinds = []kind{
	usualKinds[0],
	usualKinds[1],
	usualKinds[2],
	{rank: "bulk", perMinute: 500, shortest: 2 * time.Minute, spread: 20 * time.Minute, expected: 5 * time.Second, worth: 0.01, flood: 30},
}

// successiveFaults are allocator crashes, host crashes and a store outage at
// different times.
var successiveFaults = faults{
	allocatorCrashes: []time.Duration{20 * time.Minute, 45*time.Minute + 30*time.Second, 90 * time.Minute},
	hostCrashes:      []time.Duration{25*time.Minute + 20*time.Second, 70*time.Minute + 55*time.Second},
	storeDown:        55 * time.Minute,
	storeUp:          65 * time.Minute,
}

// floodDuringOutage is a flood and a store outage at the same time, at the peak
// of the load cycle.
var floodDuringOutage = faults{
	storeDown: 25 * time.Minute, storeUp: 45 * time.Minute,
	flood: 25 * time.Minute, floodEnd: 45 * time.Minute,
}

// result holds the figures of one run. planner, peak and undeferred are the
// consumption of the busiest minute as planned, as measured, and with all
// requests run on arrival. misses and hardCapMisses count urgent requests.
type result struct {
	planner, peak, undeferred, overrun, hardCapMisses float64
	misses                                            float64
}

// scenario is a load and the faults of a run.
type scenario struct {
	kinds  []kind
	faults faults
}

var scenarios = []scenario{{usualKinds, faults{}}, {usualKinds, successiveFaults}, {floodKinds, floodDuringOutage}}

// Run returns all measures of the package allowance.
func Run() []measure.Line { return lines(runAll()) }

// runAll runs each scenario with each seed.
func runAll() [][]result {
	results := make([][]result, len(scenarios))
	var wg sync.WaitGroup
	for i, sc := range scenarios {
		results[i] = make([]result, len(seeds))
		for j, seed := range seeds {
			wg.Go(func() { results[i][j] = runOne(seed, sc) })
		}
	}
	wg.Wait()
	return results
}

// lines computes the measures from the results of runAll.
func lines(results [][]result) []measure.Line {
	calm, faulted, both := results[0], results[1], results[2]
	line := func(name string, target float64, rs []result, baseline, value func(result) float64) measure.Line {
		return measure.Line{
			Name: "allowance_" + name, Baseline: highest(rs, baseline), Value: highest(rs, value),
			Target: target, Bound: measure.AtMost,
		}
	}
	plannerRatio := func(r result) float64 { return r.peak / r.planner }
	undeferred := func(r result) float64 { return r.undeferred / r.planner }
	misses := func(r result) float64 { return r.misses }
	capped := func(r result) float64 { return r.hardCapMisses }
	overrun := func(r result) float64 { return r.overrun }
	all := append(append(append([]result{}, calm...), faulted...), both...)
	return []measure.Line{
		line("busiest_minute_vs_planner", targetPlanner, calm, undeferred, plannerRatio),
		line("urgent_deadline_misses", targetMisses, all, capped, misses),
		line("allowance_overrun_without_reason", targetOverrun, faulted, undeferred, overrun),
		line("flood_and_store_outage_peak", targetPlanner, both, undeferred, plannerRatio),
	}
}

// highest returns the highest value of f over the results.
func highest(rs []result, f func(result) float64) float64 {
	value := math.Inf(-1)
	for _, r := range rs {
		value = max(value, f(r))
	}
	return value
}

// operatorAllowance returns the allowance that the operator declares based on
// the load of the previous month.
var operatorAllowance = sync.OnceValue(func() float64 {
	s := newFleet(lastMonthSeed, usualKinds, faults{}, allowance.Terms{PeakPrice: peakPrice})
	for i := range s.kinds {
		for s.now = s.nextInterarrival(i); s.now < runTime; s.now += s.nextInterarrival(i) {
			s.create(i)
		}
	}
	return margin * s.planner(func(*request) bool { return true })
})

func runOne(seed uint64, sc scenario) result {
	a := operatorAllowance()
	s := newFleet(seed, sc.kinds, sc.faults, allowance.Terms{PeakPrice: peakPrice, Allowance: a, StandingPeak: a})
	s.run()
	// The planner need not serve bulk requests, which are worth less than the
	// increase of the bill that they can cause.
	served := func(r *request) bool { return r.state == allowance.Admit && r.Rank != "bulk" }
	out := result{planner: s.planner(served), overrun: s.overrun(a)}
	out.undeferred = undeferredPeak(s.work(func(*request) bool { return true }))
	for _, units := range s.billed {
		out.peak = max(out.peak, units)
	}
	out.misses, out.hardCapMisses = s.urgentMisses(a)
	return out
}

// work converts the included requests to the planner's input.
func (s *fleet) work(include func(*request) bool) []work {
	var all []work
	for _, r := range s.requests {
		if include(r) {
			all = append(all, work{
				first: allowance.MinuteOf(start.Add(r.arrived)),
				last:  allowance.MinuteOf(r.Deadline.Add(-r.ExpectedDuration)),
				cost:  r.actual,
			})
		}
	}
	return all
}

func (s *fleet) planner(include func(*request) bool) float64 {
	minutes := int((runTime + drainTime) / time.Minute)
	return plannerPeak(s.work(include), allowance.MinuteOf(start), minutes)
}

// overrun returns the highest ratio over all minutes of unjustified consumption
// to the level allowed without justification. Only justified consumption raises
// the level of later minutes.
func (s *fleet) overrun(declared float64) float64 {
	level, highest := declared, 0.0
	first := allowance.MinuteOf(start)
	for m := first; m < first+allowance.Minute((runTime+drainTime)/time.Minute); m++ {
		if m.Month() != first.Month() && (m-1).Month() == first.Month() {
			level = declared // a new month begins
		}
		highest = max(highest, (s.billed[m]-s.justified[m])/level)
		level = max(level, min(s.billed[m], level+s.justified[m]))
	}
	return highest
}

// urgentMisses counts the urgent requests that were rejected or started too late
// and, as the baseline, those that a hard limit at the allowance would reject.
func (s *fleet) urgentMisses(limit float64) (misses, hardCap float64) {
	used := map[allowance.Minute]float64{}
	for _, r := range s.requests {
		minute := allowance.MinuteOf(start.Add(r.arrived))
		fits := used[minute]+r.actual <= limit
		if fits {
			used[minute] += r.actual
		}
		if r.Rank != "urgent" {
			continue
		}
		if !fits {
			hardCap++
		}
		late := start.Add(r.started + r.ExpectedDuration).After(r.Deadline)
		if r.state != allowance.Admit || late {
			misses++
		}
	}
	return misses, hardCap
}
