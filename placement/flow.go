package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// work is a state with the assignment of demand to engines. The assignment
// serves the ranks in order, each as far as possible.
type work struct {
	engines []Engine // Loaded includes Loading
	busy    []bool
	memory  map[string]float64
	demands []Demand // by priority
	flow    [][]float64
	free    []float64 // capacity left per engine

	// Scratch of augment.
	seenEngine []bool
	seenDemand []bool
	steps      []step
}

func newWork(s State, headroom float64) *work {
	w := &work{memory: s.Memory, demands: slices.Clone(s.Demands)}
	slices.SortStableFunc(w.demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), strings.Compare(a.Version, b.Version))
	})
	for i := range w.demands {
		w.demands[i].Rate *= 1 + headroom
		w.demands[i].Priority = max(0, w.demands[i].Priority)
	}
	for _, e := range s.Engines {
		e.Loaded = slices.Clone(e.Loaded)
		if e.Loading != "" {
			e.Loaded = append(e.Loaded, e.Loading)
		}
		w.engines = append(w.engines, e)
		w.busy = append(w.busy, e.Loading != "" || e.Leaving)
	}
	w.assign()
	return w
}

// ServedRates returns the rate served of each demand, in the order of the input,
// when the loaded versions are used as well as possible, urgent demand first.
// A version that is still loading serves nothing.
func ServedRates(s State) []float64 {
	s.Engines = slices.Clone(s.Engines)
	for i := range s.Engines {
		s.Engines[i].Loading = ""
	}
	w := newWork(s, 0)
	served := make([]float64, len(s.Demands))
	used := make([]bool, len(w.demands))
	for i, d := range s.Demands {
		for j, o := range w.demands {
			if !used[j] && o.Version == d.Version && o.Priority == max(0, d.Priority) && o.Rate == d.Rate {
				used[j] = true
				served[i] = w.served(j)
				break
			}
		}
	}
	return served
}

// assign computes the flow from scratch: per demand, in order of priority,
// along shortest augmenting paths. A path may move the flow of other demands
// to other engines but never reduces what they get.
func (w *work) assign() {
	w.flow = make([][]float64, len(w.demands))
	w.free = make([]float64, len(w.engines))
	w.seenEngine = make([]bool, len(w.engines))
	w.seenDemand = make([]bool, len(w.demands))
	for e := range w.engines {
		w.free[e] = w.engines[e].Capacity
	}
	for d := range w.demands {
		w.flow[d] = make([]float64, len(w.engines))
	}
	for d := range w.demands {
		rest := w.demands[d].Rate
		for rest > negligible*w.demands[d].Rate {
			pushed := w.augment(d, rest)
			if pushed <= 0 {
				break
			}
			rest -= pushed
		}
	}
}

// step of an augmenting path: demand uses engine, which came from the engine
// before it on the path (-1 for the first).
type step struct {
	engine int
	demand int
	before int // index of the step before
}

// augment pushes up to limit along one path from demand d to free capacity.
func (w *work) augment(d int, limit float64) float64 {
	clear(w.seenEngine)
	clear(w.seenDemand)
	w.steps = w.steps[:0]
	w.seenDemand[d] = true
	expand := func(demand, before int) {
		for e := range w.engines {
			if !w.seenEngine[e] && slices.Contains(w.engines[e].Loaded, w.demands[demand].Version) {
				w.seenEngine[e] = true
				w.steps = append(w.steps, step{engine: e, demand: demand, before: before})
			}
		}
	}
	expand(d, -1)
	for i := 0; i < len(w.steps); i++ {
		e := w.steps[i].engine
		if w.free[e] > 1e-12 {
			return w.push(w.steps, i, limit)
		}
		for o := range w.demands {
			if !w.seenDemand[o] && w.flow[o][e] > 1e-12 {
				w.seenDemand[o] = true
				expand(o, i)
			}
		}
	}
	return 0
}

func (w *work) push(steps []step, last int, limit float64) float64 {
	amount := min(limit, w.free[steps[last].engine])
	for i := last; steps[i].before >= 0; i = steps[i].before {
		amount = min(amount, w.flow[steps[i].demand][steps[steps[i].before].engine])
	}
	w.free[steps[last].engine] -= amount
	for i := last; i >= 0; i = steps[i].before {
		w.flow[steps[i].demand][steps[i].engine] += amount
		if before := steps[i].before; before >= 0 {
			w.flow[steps[i].demand][steps[before].engine] -= amount
		}
	}
	return amount
}

func (w *work) served(d int) float64 {
	sum := 0.0
	for _, f := range w.flow[d] {
		sum += f
	}
	return sum
}

// missing returns the unserved rate of a demand, zero if negligible.
func (w *work) missing(d int) float64 {
	rest := w.demands[d].Rate - w.served(d)
	if rest <= negligible*w.demands[d].Rate {
		return 0
	}
	return rest
}

// servedBy returns the rate served per priority.
func (w *work) servedBy() []float64 {
	var sums []float64
	for d := range w.demands {
		for len(sums) <= w.demands[d].Priority {
			sums = append(sums, 0)
		}
		sums[w.demands[d].Priority] += w.served(d)
	}
	return sums
}

// halving returns the share of a quantity that is left after the time.
func halving(elapsed, halfLife time.Duration) float64 {
	return math.Pow(0.5, elapsed.Seconds()/halfLife.Seconds())
}
