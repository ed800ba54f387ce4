// Package admission measures the admission queue in virtual time with small fake
// servers. The baseline is a first-in-first-out queue.
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

// Targets of the measures, from docs/design.md, section 12.
const (
	targetP95Ratio     = 1.2
	targetFloor        = 0.95
	targetDemandServed = 0.98
	targetJain         = 0.95
	targetGoodput      = 0.95
)

// seeds are the fixed seeds of the runs. Each measure reports its worst seed.
var seeds = []uint64{1, 2, 3}

// Parameters of the scenarios. Loads are multiples of the fleet's capacity.
const (
	flood       = 10.0 // load of a flooding stream
	teamCount   = 10
	greedyShare = 50.0 / teamCount // 50 times an equal share of capacity
)

// topology is the number of hosts among which the capacity is split, and the
// suffix of the measures' names.
type topology struct {
	hosts  int
	suffix string
}

var topologies = []topology{{1, ""}, {7, "_7_hosts"}}

// figureFunc computes one figure. run simulates a scenario with the seed and
// policy under measurement.
type figureFunc func(run func([]stream) outcome, hosts int) float64

// definition is one measure.
type definition struct {
	name   string
	target float64
	bound  measure.Bound
	value  figureFunc
}

var definitions = []definition{
	{"flood_least_urgent_p95_ratio", targetP95Ratio, measure.AtMost, floodLeastUrgent},
	{"flood_most_urgent_floor_kept", targetFloor, measure.AtLeast, floodMostUrgent},
	{"greedy_team_small_demand", targetDemandServed, measure.AtLeast, greedySmallDemand},
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
					Baseline: worst(def, topo.hosts, newFIFOPolicies),
					Value:    worst(def, topo.hosts, newCorePolicies),
					Target:   def.target,
					Bound:    def.bound,
				}
			})
		}
	}
	wg.Wait()
	return lines
}

// worst returns the least favourable figure over all seeds.
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

func newCorePolicies(hosts int) []policy {
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

func newFIFOPolicies(hosts int) []policy {
	all := make([]policy, hosts)
	for h := range all {
		all[h] = &fifoPolicy{slots: fleetSlots / hosts}
	}
	return all
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// unevenShare is the share of a stream that arrives at its preferred hosts. The
// rest is spread over all hosts.
const unevenShare = 0.8

// unevenSpread returns a distribution over the hosts that favours the preferred
// ones.
func unevenSpread(hosts int, preferred ...int) []float64 {
	spread := make([]float64, hosts)
	for h := range spread {
		spread[h] = (1 - unevenShare) / float64(hosts)
	}
	for _, p := range preferred {
		spread[p%hosts] += unevenShare / float64(len(preferred))
	}
	return spread
}

// floodLeastUrgent returns the 95th percentile of the latency of urgent requests
// during a flood of batch requests, relative to that without the flood.
func floodLeastUrgent(run func([]stream) outcome, hosts int) float64 {
	withoutFlood := []stream{
		{"urgent", teamName(0), 0.3, nil},
		{"normal", teamName(1), 0.2, unevenSpread(hosts, 1, 2, 3)},
		{"batch", teamName(2), 0.1, nil},
	}
	withFlood := slices.Clone(withoutFlood)
	withFlood[2].load = flood
	p95 := func(o outcome) float64 { return measure.Quantile(o.latencies["urgent"], 0.95) }
	return p95(run(withFlood)) / p95(run(withoutFlood))
}

// floodMostUrgent returns the lowest ratio of served work to minimum share of
// the normal and batch ranks during a flood of urgent requests. Both ranks
// demand more than their minimum share, mostly at a few hosts.
func floodMostUrgent(run func([]stream) outcome, hosts int) float64 {
	o := run([]stream{
		{"urgent", teamName(0), flood, nil},
		{"normal", teamName(1), 0.4, unevenSpread(hosts, 1, 2, 3)},
		{"batch", teamName(2), 0.2, unevenSpread(hosts, 4)},
	})
	kept := math.Inf(1)
	for _, r := range ranks[1:] {
		kept = min(kept, o.servedByRank[r.Name]/r.Floor)
	}
	return kept
}

// smallTeams returns one stream for each team except the first. Each stream
// arrives mostly at one host.
func smallTeams(hosts int, load float64) []stream {
	var all []stream
	for i := 1; i < teamCount; i++ {
		all = append(all, stream{"normal", teamName(i), load, unevenSpread(hosts, i)})
	}
	return all
}

// smallLoad is the demand of a small team, below its fair share of 0.1.
const smallLoad = 0.07

// greedySmallDemand returns the lowest ratio over the small teams of the work
// served with a greedy team present to the work served without it.
func greedySmallDemand(run func([]stream) outcome, hosts int) float64 {
	small := smallTeams(hosts, smallLoad)
	greedy := append(slices.Clone(small), stream{"normal", teamName(0), greedyShare, nil})
	alone, contended := run(small), run(greedy)
	kept := math.Inf(1)
	for _, st := range small {
		kept = min(kept, contended.servedByTeam[st.team]/alone.servedByTeam[st.team])
	}
	return kept
}

// greedyJain returns Jain's fairness index of the work served by team if every
// team demands more than its fair share and one demands 50 times its share.
func greedyJain(run func([]stream) outcome, hosts int) float64 {
	small := smallTeams(hosts, 2.0/teamCount)
	o := run(append(small, stream{"normal", teamName(0), greedyShare, nil}))
	// Sorted because the order of summation changes the last digit.
	return measure.Jain(slices.Sorted(maps.Values(o.servedByTeam)))
}

// goodput returns the share of the capacity spent on requests that finish within
// their deadline under overload.
func goodput(run func([]stream) outcome, hosts int) float64 {
	return run([]stream{
		{"urgent", teamName(0), 0.8, nil},
		{"normal", teamName(1), 1.5, unevenSpread(hosts, 1, 2, 3)},
		{"batch", teamName(2), flood, nil},
	}).good
}

// outcome computes the outcome of the run after the warm-up.
func (s *simulation) outcome() outcome {
	o := outcome{latencies: map[string][]float64{}, servedByRank: map[string]float64{}, servedByTeam: map[string]float64{}}
	capacity := fleetSlots * (runTime - warmUp).Seconds()
	for _, j := range s.jobs {
		st := s.streams[j.stream]
		deadline := deadlines[st.rank]
		latency := j.finished - j.arrived
		inTime := j.finished > 0 && latency <= deadline
		if inTime && j.finished >= warmUp {
			o.servedByRank[st.rank] += j.service / capacity
			o.servedByTeam[st.team] += j.service / capacity
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
