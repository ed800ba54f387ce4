package placement

import (
	"cmp"
	"slices"
)

// options returns the orders that could serve more of a demand, the most
// promising first, at most trials of them.
func (w *work) options(d Demand) []Order {
	size, ok := w.memory[d.Version]
	if !ok {
		return nil
	}
	type option struct {
		order  Order
		usable float64 // capacity that this rank could take on the engine
		lost   float64 // work of the versions to unload
	}
	var list []option
	for e := range w.engines {
		if w.busy[e] || w.engines[e].Memory < size || slices.Contains(w.engines[e].Loaded, d.Version) {
			continue
		}
		if allowed := w.engines[e].Allowed; allowed != nil && !slices.Contains(allowed, d.Version) {
			continue
		}
		unload, lost := w.makeRoom(e, size)
		list = append(list, option{
			order:  Order{Engine: w.engines[e].ID, Unload: unload, Load: d.Version, Priority: d.Priority},
			usable: w.usable(e, d.Priority),
			lost:   lost,
		})
	}
	slices.SortStableFunc(list, func(a, b option) int {
		return cmp.Or(cmp.Compare(b.usable, a.usable), cmp.Compare(a.lost, b.lost), cmp.Compare(len(a.order.Unload), len(b.order.Unload)))
	})
	orders := make([]Order, 0, trials)
	for _, o := range list[:min(len(list), trials)] {
		orders = append(orders, o.order)
	}
	return orders
}

// usable returns the capacity of an engine that no demand of the same or a
// higher rank uses.
func (w *work) usable(e, priority int) float64 {
	used := 0.0
	for d := range w.demands {
		if w.demands[d].Priority <= priority {
			used += w.flow[d][e]
		}
	}
	return w.engines[e].Capacity - used
}

// makeRoom returns the versions to unload for the size: the least urgent and
// least used first, and the work they do.
func (w *work) makeRoom(e int, size float64) ([]string, float64) {
	used := size
	for _, v := range w.engines[e].Loaded {
		used += w.size(v, e)
	}
	loaded := slices.Clone(w.engines[e].Loaded)
	slices.SortStableFunc(loaded, func(a, b string) int {
		return slices.Compare(w.uses(a, e), w.uses(b, e))
	})
	var unload []string
	lost := 0.0
	for _, v := range loaded {
		if used <= w.engines[e].Memory {
			break
		}
		used -= w.size(v, e)
		unload = append(unload, v)
		for _, f := range w.uses(v, e) {
			lost += f
		}
	}
	return unload, lost
}

// size returns the memory of a version on an engine. One of unknown size, such
// as a version that is not declared any more, counts as all of it.
func (w *work) size(version string, e int) float64 {
	if size, ok := w.memory[version]; ok {
		return size
	}
	return w.engines[e].Memory
}

// uses returns the work a version does on an engine, per priority.
func (w *work) uses(version string, e int) []float64 {
	var sums []float64
	for d := range w.demands {
		for len(sums) <= w.demands[d].Priority {
			sums = append(sums, 0)
		}
		if w.demands[d].Version == version {
			sums[w.demands[d].Priority] += w.flow[d][e]
		}
	}
	return sums
}

// with returns a copy in which the order has been carried out.
func (w *work) with(o Order) *work {
	c := &work{memory: w.memory, demands: w.demands, busy: slices.Clone(w.busy), engines: slices.Clone(w.engines)}
	e := slices.IndexFunc(c.engines, func(e Engine) bool { return e.ID == o.Engine })
	loaded := slices.DeleteFunc(slices.Clone(c.engines[e].Loaded), func(v string) bool {
		return slices.Contains(o.Unload, v)
	})
	c.engines[e].Loaded = append(loaded, o.Load)
	c.busy[e] = true
	c.assign()
	return c
}

func (w *work) apply(o Order) { *w = *w.with(o) }
