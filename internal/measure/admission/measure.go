// Package admission measures the admission queue in virtual time against small
// fake servers, with first-in-first-out as the baseline.
package admission

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"

	"github.com/corianderlever/corianderlever/admission"
	"github.com/corianderlever/corianderlever/internal/measure"
)

// Targets of docs/design.md, section 12.
const (
	targetP95Ratio  = 1.2
	targetFloor     = 0.95
	targetSatisfied = 0.98
	targetJain      = 0.95
	targetGoodput   = 0.95
)

// seeds of the runs; each measure reports its worst seed.
var seeds = []uint64{1, 2, 3}

// Loads of the scenarios.
const (
	flood       = 10.0 // times capacity
	teamCount   = 10
	greedyShare = 50.0 / teamCount // 50 times an equal share of capacity
)

// topology is the number of hosts among which the capacity is split.
type topology struct {
	hosts  int
	suffix string
}

var topologies = []topology{{1, ""}, {7, "_7_hosts"}}

// measureFunc computes one figure of one run from a function that runs a
// scenario under the policy in question.
type measureFunc func(run func([]stream) outcome, hosts int) float64

// definition is one measure.
type definition struct {
	name   string
	target float64
	bound  measure.Bound
	value  measureFunc
}

var definitions = []definition{
	{"flood_least_urgent_p95_ratio", targetP95Ratio, measure.AtMost, floodLeastUrgent},
	{"flood_most_urgent_floor_kept", targetFloor, measure.AtLeast, floodMostUrgent},
	{"greedy_team_small_demand", targetSatisfied, measure.AtLeast, greedySmallDemand},
	{"greedy_team_jain", targetJain, measure.AtLeast, greedyJain},
	{"goodput_overload", targetGoodput, measure.AtLeast, goodput},
}

// Run returns all measures of the admission queue.
func Run() []measure.Line {
	lines := make([]measure.Line, len(definitions)*len(topologies))
	var wg sync.WaitGroup
	for t, topo := range topologies {
		for d, def := range definitions {
			wg.Go(func() {
				lines[t*len(definitions)+d] = measure.Line{
					Name:     "admission_" + def.name + topo.suffix,
					Baseline: worst(def, topo.hosts, newFIFO),
					Value:    worst(def, topo.hosts, newCore),
					Target:   def.target,
					Bound:    def.bound,
				}
			})
		}
	}
	wg.Wait()
	return lines
}

// worst returns the figure of the seed that is furthest from the target.
func worst(def definition, hosts int, build func(hosts int) []policy) float64 {
	value := math.Inf(1)
	if def.bound == measure.AtMost {
		value = math.Inf(-1)
	}
	for _, seed := range seeds {
		run := func(streams []stream) outcome { return newSimulation(seed, build(hosts), streams).run() }
		v := def.value(run, hosts)
		if def.bound == measure.AtMost {
			value = max(value, v)
		} else {
			value = min(value, v)
		}
	}
	return value
}

func newCore(hosts int) []policy {
	teams := make([]admission.Team, teamCount)
	for i := range teams {
		teams[i].Name = teamName(i)
	}
	all := make([]policy, hosts)
	for h := range all {
		all[h] = newCorePolicy(h, fleetSlots/hosts, teams)
	}
	return all
}

func newFIFO(hosts int) []policy {
	all := make([]policy, hosts)
	for h := range all {
		all[h] = &fifoPolicy{slots: fleetSlots / hosts}
	}
	return all
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// unevenShare is the part of a stream that arrives at its preferred hosts.
const unevenShare = 0.8

// uneven spreads a stream mostly over the given hosts.
func uneven(hosts int, preferred ...int) []float64 {
	spread := make([]float64, hosts)
	for h := range spread {
		spread[h] = (1 - unevenShare) / float64(hosts)
	}
	for _, p := range preferred {
		spread[p%hosts] += unevenShare / float64(len(preferred))
	}
	return spread
}

// floodLeastUrgent is the urgent 95th percentile with a flood of batch work
// over the same without the flood.
func floodLeastUrgent(run func([]stream) outcome, hosts int) float64 {
	calm := []stream{
		{"urgent", teamName(0), 0.3, nil},
		{"normal", teamName(1), 0.2, uneven(hosts, 1, 2, 3)},
		{"batch", teamName(2), 0.1, nil},
	}
	flooded := slices.Clone(calm)
	flooded[2].load = flood
	p95 := func(o outcome) float64 { return measure.Quantile(o.latencies["urgent"], 0.95) }
	return p95(run(flooded)) / p95(run(calm))
}

// floodMostUrgent is the lowest share of its floor that another rank keeps.
// Both ask for more than their floor, mostly at a few hosts.
func floodMostUrgent(run func([]stream) outcome, hosts int) float64 {
	o := run([]stream{
		{"urgent", teamName(0), flood, nil},
		{"normal", teamName(1), 0.4, uneven(hosts, 1, 2, 3)},
		{"batch", teamName(2), 0.2, uneven(hosts, 4)},
	})
	kept := math.Inf(1)
	for _, r := range ranks[1:] {
		kept = min(kept, o.served[r.Name]/r.Floor)
	}
	return kept
}

// smallTeams returns the streams of all teams but the first, each mostly at one host.
func smallTeams(hosts int, load float64) []stream {
	var all []stream
	for i := 1; i < teamCount; i++ {
		all = append(all, stream{"normal", teamName(i), load, uneven(hosts, i)})
	}
	return all
}

// smallLoad is the demand of a small team: below its equal share of 0.1.
const smallLoad = 0.07

// greedySmallDemand is the lowest part of its service alone that a small team
// keeps beside a greedy one.
func greedySmallDemand(run func([]stream) outcome, hosts int) float64 {
	small := smallTeams(hosts, smallLoad)
	greedy := append(slices.Clone(small), stream{"normal", teamName(0), greedyShare, nil})
	alone, beside := run(small), run(greedy)
	kept := math.Inf(1)
	for _, st := range small {
		kept = min(kept, beside.byTeam[st.team]/alone.byTeam[st.team])
	}
	return kept
}

// greedyJain is the fairness of the service when each team asks for more than
// its share and one for 50 times it.
func greedyJain(run func([]stream) outcome, hosts int) float64 {
	small := smallTeams(hosts, 2.0/teamCount)
	o := run(append(small, stream{"normal", teamName(0), greedyShare, nil}))
	// Sorted, because the order of summation changes the last digit.
	return measure.Jain(slices.Sorted(maps.Values(o.byTeam)))
}

// goodput is the useful part of the capacity with all ranks beyond it.
func goodput(run func([]stream) outcome, hosts int) float64 {
	return run([]stream{
		{"urgent", teamName(0), 0.8, nil},
		{"normal", teamName(1), 1.5, uneven(hosts, 1, 2, 3)},
		{"batch", teamName(2), flood, nil},
	}).good
}

// outcome sums up the run after the warm-up.
func (s *simulation) outcome() outcome {
	o := outcome{latencies: map[string][]float64{}, served: map[string]float64{}, byTeam: map[string]float64{}}
	capacity := fleetSlots * (runTime - warmUp).Seconds()
	for _, j := range s.jobs {
		st := s.streams[j.stream]
		deadline := deadlines[st.rank]
		latency := j.finished - j.arrived
		inTime := j.finished > 0 && latency <= deadline
		if inTime && j.finished >= warmUp {
			o.served[st.rank] += j.service / capacity
			o.byTeam[st.team] += j.service / capacity
			o.good += j.service / capacity
		}
		if j.arrived < warmUp || j.arrived+deadline > runTime {
			continue
		}
		if !inTime {
			latency = deadline
		}
		o.latencies[st.rank] = append(o.latencies[st.rank], latency.Seconds())
	}
	return o
}
