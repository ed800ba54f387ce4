package placement

import (
	"cmp"
	"slices"
)

// candidates returns at most maxCandidates orders that could serve more of a
// demand: those for the engines with the most usable capacity first, then those that
// displace the least work.
func (a *assignment) candidates(d Demand) []Order {
	size, ok := a.memory[d.Version]
	if !ok {
		return nil
	}
	type candidate struct {
		order          Order
		usableCapacity float64 // capacity of the engine that the rank could use
		displacedWork  float64 // work per second of the versions to unload
	}
	var list []candidate
	for e := range a.engines {
		if a.busy[e] || a.engines[e].Memory < size || slices.Contains(a.engines[e].Loaded, d.Version) {
			continue
		}
		if allowed := a.engines[e].Allowed; allowed != nil && !slices.Contains(allowed, d.Version) {
			continue
		}
		unload, displaced := a.versionsToUnload(e, size)
		list = append(list, candidate{
			order:          Order{Engine: a.engines[e].ID, Unload: unload, Load: d.Version, Priority: d.Priority},
			usableCapacity: a.usableCapacity(e, d.Priority),
			displacedWork:  displaced,
		})
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.usableCapacity, a.usableCapacity), cmp.Compare(a.displacedWork, b.displacedWork), cmp.Compare(len(a.order.Unload), len(b.order.Unload)))
	})
	orders := make([]Order, 0, maxCandidates)
	for _, o := range list[:min(len(list), maxCandidates)] {
		orders = append(orders, o.order)
	}
	return orders
}

// usableCapacity returns the capacity of an engine that is not used by demand of
// the same or a more urgent rank.
func (a *assignment) usableCapacity(e, priority int) float64 {
	used := 0.0
	for d := range a.demands {
		if a.demands[d].Priority <= priority {
			used += a.flow[d][e]
		}
	}
	return a.engines[e].Capacity - used
}

// versionsToUnload returns the versions to unload so that a version of the given
// size fits, and the work that they do. It picks first the versions that do the
// least urgent work: it compares work rank by rank, starting with the most urgent.
func (a *assignment) versionsToUnload(e int, size float64) ([]string, float64) {
	used := size
	for _, v := range a.engines[e].Loaded {
		used += a.memoryOf(v, e)
	}
	loaded := slices.Clone(a.engines[e].Loaded)
	slices.SortStableFunc(loaded, func(x, y string) int {
		return slices.Compare(a.workByPriority(x, e), a.workByPriority(y, e))
	})
	var unload []string
	displaced := 0.0
	for _, v := range loaded {
		if used <= a.engines[e].Memory {
			break
		}
		used -= a.memoryOf(v, e)
		unload = append(unload, v)
		for _, f := range a.workByPriority(v, e) {
			displaced += f
		}
	}
	return unload, displaced
}

// memoryOf returns the memory that a version needs on an engine. A version of
// unknown size, such as one that is no longer declared, counts as the whole
// memory of the engine.
func (a *assignment) memoryOf(version string, e int) float64 {
	if size, ok := a.memory[version]; ok {
		return size
	}
	return a.engines[e].Memory
}

// workByPriority returns the work per second that a version does on an engine, per
// priority.
func (a *assignment) workByPriority(version string, e int) []float64 {
	var sums []float64
	for d := range a.demands {
		for len(sums) <= a.demands[d].Priority {
			sums = append(sums, 0)
		}
		if a.demands[d].Version == version {
			sums[a.demands[d].Priority] += a.flow[d][e]
		}
	}
	return sums
}

// withOrder returns a copy in which the order has been carried out.
func (a *assignment) withOrder(o Order) *assignment {
	c := &assignment{memory: a.memory, demands: a.demands, busy: slices.Clone(a.busy), engines: slices.Clone(a.engines)}
	e := slices.IndexFunc(c.engines, func(e Engine) bool { return e.ID == o.Engine })
	loaded := slices.DeleteFunc(slices.Clone(c.engines[e].Loaded), func(v string) bool {
		return slices.Contains(o.Unload, v)
	})
	c.engines[e].Loaded = append(loaded, o.Load)
	c.busy[e] = true
	c.assign()
	return c
}

func (a *assignment) apply(o Order) { *a = *a.withOrder(o) }
