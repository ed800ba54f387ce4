package gate

import (
	"math"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/internal/measure"
)

// Targets of the measures, from docs/load-work.md.
const (
	targetServed  = 0.95
	targetExpired = 0.01
	targetP95     = 1.2
	// A team gets its even share up to the chance in which requests arrive.
	targetEvenShare = 0.95
)

// seeds are the fixed seeds of the runs. Each measure reports its worst seed, except that the
// requests of the teams are counted over all seeds.
var seeds = []uint64{1, 2, 3}

const (
	// usual is the demand of a calm fleet, as a multiple of its capacity, and over a demand
	// that it cannot carry.
	usual = 0.8
	over  = 1.5
	// Few hosts admit about four requests a second each, many about one.
	fewHosts, manyHosts = 16, 64
)

func evenly(total func(at time.Duration) float64) func(int, time.Duration) float64 {
	return func(_ int, at time.Duration) float64 { return total(at) / teams }
}

func constant(load float64) func(int, time.Duration) float64 {
	return evenly(func(time.Duration) float64 { return load })
}

func within(at, from, length time.Duration) bool { return at >= from && at < from+length }

func crests(at time.Duration) float64 {
	if within(at, 60*time.Second, 10*time.Second) || within(at, 120*time.Second, 10*time.Second) {
		return over
	}
	return usual
}

func burst(at time.Duration) float64 {
	if within(at, 60*time.Second, 10*time.Second) {
		return 2.5
	}
	return usual
}

func teamAtSixTimes(team int, _ time.Duration) float64 {
	if team == 0 {
		return 6 * usual / teams
	}
	return usual / teams
}

func enginesLost(at time.Duration) float64 {
	if within(at, 60*time.Second, 2*time.Second) {
		return 0.25
	}
	return 0
}

// returnOfAll is an outage of 10 s after which the callers of that time come within a second.
func returnOfAll(at time.Duration) float64 {
	switch {
	case within(at, 60*time.Second, 10*time.Second):
		return 0
	case within(at, 70*time.Second, time.Second):
		return 11 * usual
	}
	return usual
}

// load is a named scenario.
type load struct {
	name string
	scenario
	// lasting loads are above the capacity all the time, so shares and work are compared.
	lasting bool
}

// calm is the load to which the times of the most urgent rank are compared.
var calm = scenario{hosts: fewHosts, demand: constant(usual)}

var loads = []load{
	{"demand_1.5", scenario{hosts: fewHosts, demand: constant(over)}, true},
	{"demand_1.5_many_hosts", scenario{hosts: manyHosts, demand: constant(over)}, true},
	{"team_at_6_times", scenario{hosts: fewHosts, demand: teamAtSixTimes}, true},
	{"repeats_at_once", scenario{hosts: fewHosts, demand: constant(over), repeatAtOnce: 4}, true},
	{"two_crests", scenario{hosts: fewHosts, demand: evenly(crests)}, false},
	{"burst_2.5", scenario{hosts: fewHosts, demand: evenly(burst)}, false},
	{"quarter_of_engines_lost", scenario{hosts: fewHosts, demand: constant(0.9), lost: enginesLost}, false},
	{"return_of_all", scenario{hosts: fewHosts, demand: evenly(returnOfAll)}, false},
}

// calmP95s return the 95th percentiles of the most urgent rank in the calm load, by seed, without
// and with the gate.
var calmP95s = [2]func() []float64{
	sync.OnceValue(func() []float64 { return runCalm(false) }),
	sync.OnceValue(func() []float64 { return runCalm(true) }),
}

func runCalm(gated bool) []float64 {
	out := make([]float64, len(seeds))
	for i, seed := range seeds {
		out[i] = run(calm, seed, gated).urgentP95
	}
	return out
}

// result holds the worst figures of one load over all seeds.
type result struct{ served, expired, p95Ratio, evenShare float64 }

func measureLoad(s scenario, gated bool) result {
	r := result{served: math.Inf(1)}
	var asked, served counts
	calmP95 := calmP95s[0]()
	if gated {
		calmP95 = calmP95s[1]()
	}
	for i, seed := range seeds {
		o := run(s, seed, gated)
		r.served = min(r.served, o.served)
		r.expired = max(r.expired, o.expired)
		r.p95Ratio = max(r.p95Ratio, o.urgentP95/calmP95[i])
		asked.add(&o.asked)
		served.add(&o.answered)
	}
	r.evenShare = evenShare(&asked, &served)
	return r
}

// Run returns all measures of the gate.
func Run() []measure.Line {
	results := make([][2]result, len(loads)) // without and with the gate
	var wg sync.WaitGroup
	for i, l := range loads {
		wg.Go(func() { results[i] = [2]result{measureLoad(l.scenario, false), measureLoad(l.scenario, true)} })
	}
	wg.Wait()
	var lines []measure.Line
	for i, l := range loads {
		lines = append(lines, linesOf(l, results[i][0], results[i][1])...)
	}
	return lines
}

func linesOf(l load, baseline, value result) []measure.Line {
	lines := []measure.Line{
		{Name: "gate_ended_at_deadline_" + l.name, Baseline: baseline.expired, Value: value.expired, Target: targetExpired, Bound: measure.AtMost},
		{Name: "gate_urgent_p95_ratio_" + l.name, Baseline: baseline.p95Ratio, Value: value.p95Ratio, Target: targetP95, Bound: measure.AtMost},
	}
	if l.lasting {
		lines = append(lines,
			measure.Line{Name: "gate_work_in_time_" + l.name, Baseline: baseline.served, Value: value.served, Target: targetServed, Bound: measure.AtLeast},
			measure.Line{Name: "gate_even_share_" + l.name, Baseline: baseline.evenShare, Value: value.evenShare, Target: targetEvenShare, Bound: measure.AtLeast})
	}
	return lines
}
