// Package placement decides which model versions to load on which engines as
// demand shifts. It serves urgent demand first, limits the number of moves, keeps
// loads within the rate limit of the weight store and gives an engine one order
// at a time. It does no I/O: the host that holds the placement role calls Plan
// and sends the orders.
package placement

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Engine is the state of one engine.
type Engine struct {
	// ID names the engine.
	ID string
	// Memory is the memory available to all loaded versions together, in GB.
	Memory float64
	// Capacity is the work per second that the engine can do, shared by its
	// versions.
	Capacity float64
	// Allowed lists the versions that may be loaded; nil means all.
	Allowed []string
	// Loaded lists the versions that are loaded and serve requests.
	Loaded []string
	// Loading is the version that is being loaded, if any. It already occupies
	// its memory, and the engine gets no other order until it is loaded.
	Loading string
	// Leaving is set while the engine drains: it still serves but gets no orders.
	Leaving bool
}

// Demand is the load on a version from one rank, in the units of Engine.Capacity.
type Demand struct {
	// Version is the requested version.
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
	// Memory is the memory that each version needs, in GB. A version without an
	// entry is never loaded.
	Memory map[string]float64
	// Demands lists the measured or expected demands.
	Demands []Demand
}

// Order instructs an engine to unload versions, if any, and then load one.
type Order struct {
	// Engine is the ID of the engine.
	Engine string
	// Unload lists the versions to unload first, to free memory.
	Unload []string
	// Load is the version to load.
	Load string
	// Priority is the priority of the demand that the order serves.
	Priority int
}

// Config holds the parameters of a Planner.
type Config struct {
	// MoveCost is the amount of work, in units of Engine.Capacity times seconds,
	// that must have gone unserved before a move is worthwhile. It does not apply
	// to the most urgent demand. With zero, versions move at once.
	MoveCost float64
	// PaybackPeriod is the time within which a move must pay back its cost.
	PaybackPeriod time.Duration
	// DemandHalfLife is the half-life of the moving average of the demand, for
	// which the less urgent ranks are planned. Zero plans for the current demand.
	DemandHalfLife time.Duration
	// Headroom is the fraction that is added to each demand in a plan, so that
	// demand can grow by as much before it goes unserved.
	Headroom float64
}

// DefaultConfig returns the default parameters. The capacity is the capacity of
// a typical engine and sets MoveCost: 10 seconds of its work.
func DefaultConfig(capacity float64) Config {
	return Config{
		MoveCost:       10 * capacity,
		PaybackPeriod:  2 * time.Minute,
		DemandHalfLife: 2 * time.Minute,
		Headroom:       0.1,
	}
}

const (
	// negligibleFraction is the fraction of a demand that may go unserved without
	// an order. It absorbs rounding errors.
	negligibleFraction = 1e-6
	// reservedLoads is the number of loads within the rate limit of the weight
	// store that are reserved for urgent demand. The burst of the limiter must
	// exceed it.
	reservedLoads = 1
	// maxCandidates bounds the engines for which the effect of an order is computed
	// exactly.
	maxCandidates = 8
	// unservedHalfLife is the half-life of the recorded unserved work once the
	// demand is served.
	unservedHalfLife = time.Minute
)

type demandKey struct {
	version  string
	priority int
}

// Planner plans orders and keeps a record of unserved work per demand. It is not
// safe for concurrent use; a single role holder plans.
type Planner struct {
	clock        clockwork.Clock
	cfg          Config
	loadLimiter  *rate.Limiter
	unservedWork map[demandKey]float64 // in the units of Config.MoveCost
	meanDemand   map[demandKey]float64
	lastPlan     time.Time
}

// NewPlanner returns a planner. The limiter bounds the rate of loads from the
// weight store; nil means no limit.
func NewPlanner(clock clockwork.Clock, cfg Config, loadLimiter *rate.Limiter) *Planner {
	if loadLimiter == nil {
		loadLimiter = rate.NewLimiter(rate.Inf, 0)
	}
	return &Planner{clock: clock, cfg: cfg, loadLimiter: loadLimiter, unservedWork: make(map[demandKey]float64), lastPlan: clock.Now()}
}

// Plan returns the orders to send now, the most urgent first.
func (p *Planner) Plan(s State) []Order {
	now := p.clock.Now()
	s.Demands = p.smoothDemands(s.Demands, now.Sub(p.lastPlan))
	a := newAssignment(s, p.cfg.Headroom)
	p.updateUnservedWork(a, now)
	var orders []Order
	tried := make([]bool, len(a.demands))
	for {
		d := p.nextDemand(a, tried)
		if d < 0 {
			return orders
		}
		order, ok := p.bestOrder(a, d)
		if !ok {
			tried[d] = true
			continue
		}
		if !p.reserveLoad(now, order.Priority) {
			return orders
		}
		key := demandKey{version: order.Load, priority: order.Priority}
		p.unservedWork[key] = max(0, p.unservedWork[key]-p.cfg.MoveCost)
		a.apply(order)
		orders = append(orders, order)
		clear(tried)
	}
}

// smoothDemands returns the demands to plan for: the moving average of each
// demand, or for the most urgent rank the current demand if it is higher. Because of
// the average, a short dip or peak neither unloads nor loads a version.
func (p *Planner) smoothDemands(demands []Demand, elapsed time.Duration) []Demand {
	keep := 0.0
	if p.cfg.DemandHalfLife > 0 {
		keep = decayFactor(elapsed, p.cfg.DemandHalfLife)
	}
	next := make(map[demandKey]float64, len(demands))
	planned := make([]Demand, len(demands))
	for i, d := range demands {
		key := demandKey{version: d.Version, priority: d.Priority}
		mean, known := p.meanDemand[key]
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
	p.meanDemand = next
	return planned
}

// updateUnservedWork adds the work that went unserved since the last plan and
// decays the record of demands that are served.
func (p *Planner) updateUnservedWork(a *assignment, now time.Time) {
	elapsed := now.Sub(p.lastPlan)
	p.lastPlan = now
	kept := make(map[demandKey]float64, len(a.demands))
	for i, d := range a.demands {
		key := demandKey{version: d.Version, priority: d.Priority}
		unservedWork := p.unservedWork[key]
		if unserved := a.unserved(i); unserved > 0 {
			unservedWork += unserved * elapsed.Seconds()
		} else {
			unservedWork *= decayFactor(elapsed, unservedHalfLife)
		}
		kept[key] = unservedWork
	}
	p.unservedWork = kept
}

// nextDemand returns the index of the most urgent unserved demand that is worth a
// move, or -1.
func (p *Planner) nextDemand(a *assignment, tried []bool) int {
	for i, d := range a.demands { // by priority
		if tried[i] || a.unserved(i) <= 0 {
			continue
		}
		unservedWork := p.unservedWork[demandKey{version: d.Version, priority: d.Priority}]
		if d.Priority == 0 || unservedWork >= p.cfg.MoveCost {
			return i
		}
	}
	return -1
}

// reserveLoad takes a token for one load from the limiter and reports whether it
// got one. A load for any but the most urgent rank must leave reservedLoads tokens.
func (p *Planner) reserveLoad(now time.Time, priority int) bool {
	if priority > 0 && p.loadLimiter.Limit() != rate.Inf && p.loadLimiter.TokensAt(now) < reservedLoads+1 {
		return false
	}
	return p.loadLimiter.AllowN(now, 1)
}

// bestOrder returns the order that serves the most of demand d, if any gains enough
// to pay back its cost. The order never takes more service from demand of the same
// or a more urgent rank than it adds.
func (p *Planner) bestOrder(a *assignment, d int) (Order, bool) {
	demand := a.demands[d]
	minGain := negligibleFraction * demand.Rate
	if demand.Priority > 0 {
		minGain += p.cfg.MoveCost / p.cfg.PaybackPeriod.Seconds()
	}
	before := a.servedByPriority()
	var best []float64
	var order Order
	for _, o := range a.candidates(demand) {
		after := a.withOrder(o).servedByPriority()
		if gain(before, after, demand.Priority) <= minGain {
			continue
		}
		if best == nil || slices.Compare(after, best) > 0 {
			best, order = after, o
		}
	}
	return order, best != nil
}

// gain returns the additional rate served at the priority, or zero if a more
// urgent rank loses.
func gain(before, after []float64, priority int) float64 {
	for i := range priority {
		if after[i] < before[i]-negligibleFraction*(1+before[i]) {
			return 0
		}
	}
	return after[priority] - before[priority]
}
