// Package placement decides which versions to load on which engines as demand
// shifts: urgent demand first, few moves, within the weight store's rate, and
// one order at a time per engine. It does no I/O; the owner of the orders role
// calls Plan and carries the orders out.
package placement

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Engine is one engine as placement sees it.
type Engine struct {
	// ID names the engine.
	ID string
	// Memory is what the loaded versions may occupy together, in GB.
	Memory float64
	// Capacity is the work it does per second, shared by its versions.
	Capacity float64
	// Allowed are the versions that may be loaded; nil means all.
	Allowed []string
	// Loaded are the versions that serve.
	Loaded []string
	// Loading is the version of the order that still runs, if any. Its memory
	// is taken already, and the engine gets no other order.
	Loading string
	// Leaving engines keep serving and get no order.
	Leaving bool
}

// Demand is the work asked of a version by one rank, in the units of Capacity.
type Demand struct {
	// Version is asked for.
	Version string
	// Priority orders the ranks; 0 is the most urgent.
	Priority int
	// Rate is the work per second.
	Rate float64
}

// State is the input of a plan.
type State struct {
	// Engines are all live engines.
	Engines []Engine
	// Memory is the size of each version in GB. A version without an entry is
	// never loaded.
	Memory map[string]float64
	// Demands is the measured or expected demand.
	Demands []Demand
}

// Order tells an engine to unload some versions and then to load one.
type Order struct {
	// Engine is the ID of the engine.
	Engine string
	// Unload are the versions that make room.
	Unload []string
	// Load is the version to load.
	Load string
	// Priority is that of the demand the order serves.
	Priority int
}

// Config holds the price on moves.
type Config struct {
	// MoveCost is the amount of work that must have gone unserved before a move
	// is worthwhile. It does not apply to the most urgent demand. With zero,
	// versions move at once.
	MoveCost float64
	// PaybackPeriod is the time within which a move must pay back its cost.
	PaybackPeriod time.Duration
	// DemandHalfLife is the half-life of the moving average of the demand, for
	// which the less urgent ranks are planned. Zero plans for the current demand.
	DemandHalfLife time.Duration
	// Headroom is the share by which the demand may grow before it goes
	// unserved; the plan prepares for it.
	Headroom float64
}

// DefaultConfig returns the prices supported by the measurement. The capacity
// is that of a usual engine.
func DefaultConfig(capacity float64) Config {
	return Config{
		MoveCost:       10 * capacity,
		PaybackPeriod:  2 * time.Minute,
		DemandHalfLife: 2 * time.Minute,
		Headroom:       0.1,
	}
}

const (
	// negligible is the share of the demand that may go unserved without an
	// order; it absorbs rounding.
	negligible = 1e-6
	// reserve is the number of loads kept for urgent demand under the weight
	// store's rate. The limiter's burst must exceed it.
	reserve = 1
	// trials bounds the engines that are tried exactly for one order.
	trials = 8
	// debtHalfLife is the time in which unserved work is half forgotten once
	// the demand is served.
	debtHalfLife = time.Minute
)

type demandKey struct {
	version  string
	priority int
}

// Planner makes plans and remembers what went unserved. It is not safe for
// concurrent use; one role holder plans.
type Planner struct {
	clock clockwork.Clock
	cfg   Config
	store *rate.Limiter
	owed  map[demandKey]float64
	mean  map[demandKey]float64
	last  time.Time
}

// NewPlanner returns a planner. The limiter is the weight store's rate in
// loads; nil means no limit.
func NewPlanner(clock clockwork.Clock, cfg Config, store *rate.Limiter) *Planner {
	if store == nil {
		store = rate.NewLimiter(rate.Inf, 0)
	}
	return &Planner{clock: clock, cfg: cfg, store: store, owed: make(map[demandKey]float64), last: clock.Now()}
}

// Plan returns the orders to give now, the most urgent first.
func (p *Planner) Plan(s State) []Order {
	now := p.clock.Now()
	s.Demands = p.smooth(s.Demands, now.Sub(p.last))
	w := newWork(s, p.cfg.Headroom)
	p.account(w, now)
	var orders []Order
	tried := make([]bool, len(w.demands))
	for {
		d := p.next(w, tried)
		if d < 0 {
			return orders
		}
		order, ok := p.improve(w, d)
		if !ok {
			tried[d] = true
			continue
		}
		if !p.take(now, order.Priority) {
			return orders
		}
		key := demandKey{version: order.Load, priority: order.Priority}
		p.owed[key] = max(0, p.owed[key]-p.cfg.MoveCost)
		w.apply(order)
		orders = append(orders, order)
		clear(tried)
	}
}

// smooth returns the demand to plan for: of the most urgent rank the higher of
// the current and the mean demand, of the others the mean. A short dip or peak
// then neither unloads a version nor loads one.
func (p *Planner) smooth(demands []Demand, elapsed time.Duration) []Demand {
	keep := 0.0
	if p.cfg.DemandHalfLife > 0 {
		keep = halving(elapsed, p.cfg.DemandHalfLife)
	}
	next := make(map[demandKey]float64, len(demands))
	planned := make([]Demand, len(demands))
	for i, d := range demands {
		key := demandKey{version: d.Version, priority: d.Priority}
		mean, known := p.mean[key]
		if !known {
			mean = d.Rate
		}
		mean = keep*mean + (1-keep)*d.Rate
		next[key] = mean
		planned[i] = d
		planned[i].Rate = mean
		if d.Priority <= 0 {
			planned[i].Rate = max(mean, d.Rate)
		}
	}
	p.mean = next
	return planned
}

// account adds the work that went unserved since the last plan.
func (p *Planner) account(w *work, now time.Time) {
	elapsed := now.Sub(p.last)
	p.last = now
	kept := make(map[demandKey]float64, len(w.demands))
	for i, d := range w.demands {
		key := demandKey{version: d.Version, priority: d.Priority}
		owed := p.owed[key]
		if missing := w.missing(i); missing > 0 {
			owed += missing * elapsed.Seconds()
		} else {
			owed *= halving(elapsed, debtHalfLife)
		}
		kept[key] = owed
	}
	p.owed = kept
}

// next returns the most urgent unserved demand that is worth a move, or -1.
func (p *Planner) next(w *work, tried []bool) int {
	for i, d := range w.demands { // by priority
		if tried[i] || w.missing(i) <= 0 {
			continue
		}
		owed := p.owed[demandKey{version: d.Version, priority: d.Priority}]
		if d.Priority == 0 || owed >= p.cfg.MoveCost {
			return i
		}
	}
	return -1
}

// take asks the weight store's rate for one load.
func (p *Planner) take(now time.Time, priority int) bool {
	if priority > 0 && p.store.Limit() != rate.Inf && p.store.TokensAt(now) < reserve+1 {
		return false
	}
	return p.store.AllowN(now, 1)
}

// improve returns the order that serves the most of demand d, if any is worth
// its price. It never costs a demand of the same or a higher rank more than it
// brings.
func (p *Planner) improve(w *work, d int) (Order, bool) {
	demand := w.demands[d]
	needed := negligible * demand.Rate
	if demand.Priority > 0 {
		needed += p.cfg.MoveCost / p.cfg.PaybackPeriod.Seconds()
	}
	before := w.servedBy()
	var best []float64
	var order Order
	for _, o := range w.options(demand) {
		after := w.with(o).servedBy()
		if gain(before, after, demand.Priority) <= needed {
			continue
		}
		if best == nil || slices.Compare(after, best) > 0 {
			best, order = after, o
		}
	}
	return order, best != nil
}

// gain returns what the rank gains, or zero if a more urgent rank loses.
func gain(before, after []float64, priority int) float64 {
	for i := range priority {
		if after[i] < before[i]-negligible*(1+before[i]) {
			return 0
		}
	}
	return after[priority] - before[priority]
}
