package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// assignment distributes the demands of a state over its engines. It serves the
// ranks in order of priority, each as far as possible.
type assignment struct {
	engines      []Engine // Loaded includes Loading
	busy         []bool   // engines that get no order
	memory       map[string]float64
	demands      []Demand    // in order of priority
	flow         [][]float64 // work per second by demand and engine
	freeCapacity []float64   // per engine

	// Buffers of augment.
	seenEngine []bool
	seenDemand []bool
	steps      []step
}

func newAssignment(s State, headroom float64) *assignment {
	a := &assignment{memory: s.Memory, demands: slices.Clone(s.Demands)}
	slices.SortStableFunc(a.demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), strings.Compare(a.Version, b.Version))
	})
	for i := range a.demands {
		a.demands[i].Rate *= 1 + headroom
		a.demands[i].Priority = max(0, a.demands[i].Priority)
	}
	for _, e := range s.Engines {
		e.Loaded = slices.Clone(e.Loaded)
		if e.Loading != "" {
			e.Loaded = append(e.Loaded, e.Loading)
		}
		a.engines = append(a.engines, e)
		a.busy = append(a.busy, e.Loading != "" || e.Leaving)
	}
	a.assign()
	return a
}

// ServedRates returns the rate at which each demand is served, in the order of
// s.Demands, when the loaded versions are assigned optimally, urgent demand first.
// A version that is still loading serves nothing.
func ServedRates(s State) []float64 {
	s.Engines = slices.Clone(s.Engines)
	for i := range s.Engines {
		s.Engines[i].Loading = ""
	}
	a := newAssignment(s, 0)
	served := make([]float64, len(s.Demands))
	used := make([]bool, len(a.demands))
	for i, d := range s.Demands {
		for j, o := range a.demands {
			if !used[j] && o.Version == d.Version && o.Priority == max(0, d.Priority) && o.Rate == d.Rate {
				used[j] = true
				served[i] = a.served(j)
				break
			}
		}
	}
	return served
}

// assign computes the flow from scratch: for each demand, in order of priority,
// along shortest augmenting paths (maximum flow). A path may move the flow of
// other demands to other engines but never reduces their total.
func (a *assignment) assign() {
	a.flow = make([][]float64, len(a.demands))
	a.freeCapacity = make([]float64, len(a.engines))
	a.seenEngine = make([]bool, len(a.engines))
	a.seenDemand = make([]bool, len(a.demands))
	for e := range a.engines {
		a.freeCapacity[e] = a.engines[e].Capacity
	}
	for d := range a.demands {
		a.flow[d] = make([]float64, len(a.engines))
	}
	for d := range a.demands {
		remaining := a.demands[d].Rate
		for remaining > negligibleFraction*a.demands[d].Rate {
			pushed := a.augment(d, remaining)
			if pushed <= 0 {
				break
			}
			remaining -= pushed
		}
	}
}

// step is one step of an augmenting path: demand gets flow on engine and, except
// in the first step, gives up as much on the engine of the previous step.
type step struct {
	engine   int
	demand   int
	previous int // index of the previous step, -1 for the first
}

// augment pushes flow along one path from demand d to an engine with free
// capacity. It returns the amount, at most limit, or 0 if there is no path.
func (a *assignment) augment(d int, limit float64) float64 {
	clear(a.seenEngine)
	clear(a.seenDemand)
	a.steps = a.steps[:0]
	a.seenDemand[d] = true
	expand := func(demand, previous int) {
		for e := range a.engines {
			if !a.seenEngine[e] && slices.Contains(a.engines[e].Loaded, a.demands[demand].Version) {
				a.seenEngine[e] = true
				a.steps = append(a.steps, step{engine: e, demand: demand, previous: previous})
			}
		}
	}
	expand(d, -1)
	for i := 0; i < len(a.steps); i++ {
		e := a.steps[i].engine
		if a.freeCapacity[e] > 1e-12 {
			return a.push(a.steps, i, limit)
		}
		for o := range a.demands {
			if !a.seenDemand[o] && a.flow[o][e] > 1e-12 {
				a.seenDemand[o] = true
				expand(o, i)
			}
		}
	}
	return 0
}

func (a *assignment) push(steps []step, last int, limit float64) float64 {
	amount := min(limit, a.freeCapacity[steps[last].engine])
	for i := last; steps[i].previous >= 0; i = steps[i].previous {
		amount = min(amount, a.flow[steps[i].demand][steps[steps[i].previous].engine])
	}
	a.freeCapacity[steps[last].engine] -= amount
	for i := last; i >= 0; i = steps[i].previous {
		a.flow[steps[i].demand][steps[i].engine] += amount
		if previous := steps[i].previous; previous >= 0 {
			a.flow[steps[i].demand][steps[previous].engine] -= amount
		}
	}
	return amount
}

func (a *assignment) served(d int) float64 {
	sum := 0.0
	for _, f := range a.flow[d] {
		sum += f
	}
	return sum
}

// unserved returns the unserved rate of a demand, zero if negligible.
func (a *assignment) unserved(d int) float64 {
	unservedRate := a.demands[d].Rate - a.served(d)
	if unservedRate <= negligibleFraction*a.demands[d].Rate {
		return 0
	}
	return unservedRate
}

// servedByPriority returns the rate served per priority.
func (a *assignment) servedByPriority() []float64 {
	var sums []float64
	for d := range a.demands {
		for len(sums) <= a.demands[d].Priority {
			sums = append(sums, 0)
		}
		sums[a.demands[d].Priority] += a.served(d)
	}
	return sums
}

// decayFactor returns the fraction of a quantity that remains after the elapsed
// time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Pow(0.5, elapsed.Seconds()/halfLife.Seconds())
}
