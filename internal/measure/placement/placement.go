// Package placement measures the placement of versions on engines in virtual
// time with fixed seeds. It compares a planner with a price on moves with one
// without a price, and both with an ideal planner whose loads are instant and
// not rate limited.
package placement

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/corianderlever/corianderlever/internal/measure"
	"github.com/corianderlever/corianderlever/placement"
)

// seeds are fixed so that every run prints the same results. Each measure is the
// worst over all seeds, except for the moves, which are summed.
var seeds = []uint64{3, 13, 31}

const (
	engines          = 12
	capacity         = 100.0
	engineMemory     = 80.0
	versions         = 10
	ranks            = 3
	meanLoad         = 0.75
	step             = 5 * time.Second
	length           = time.Hour
	loadTime         = 30 * time.Second
	storePeriod      = 10 * time.Second // mean time per load that the rate limit allows
	storeBurst       = 3
	shiftPeriod      = 40 * time.Minute // period of the slow change of demand
	noise            = 0.2              // standard deviation of the fast change of demand
	noiseCorrelation = 0.8              // correlation of the fast change between steps

	movesTarget           = 0.5
	servedVsNoPriceTarget = 0.99
	servedTarget          = 0.98
	urgentTarget          = 0.99
)

// Run returns all measures of the package placement. The baseline is the greedy
// plan without a price on moves.
func Run() []measure.Line { return run(seeds) }

func run(seeds []uint64) []measure.Line {
	moves := measure.Line{Name: "placement_moves", Baseline: 1, Target: movesTarget, Bound: measure.AtMost}
	servedVsNoPrice := measure.Line{Name: "placement_served_vs_no_price", Baseline: 1, Value: 1, Target: servedVsNoPriceTarget, Bound: measure.AtLeast}
	served := measure.Line{Name: "placement_served_demand", Baseline: 1, Value: 1, Target: servedTarget, Bound: measure.AtLeast}
	urgent := measure.Line{Name: "placement_urgent_served", Baseline: 1, Value: 1, Target: urgentTarget, Bound: measure.AtLeast}
	priced := placement.DefaultConfig(capacity)
	noPrice := priced
	noPrice.MoveCost, noPrice.DemandHalfLife = 0, 0
	shippedMoves, baselineMoves := 0.0, 0.0
	for _, seed := range seeds {
		ideal := simulate(seed, noPrice, false)
		baseline := simulate(seed, noPrice, true)
		shipped := simulate(seed, priced, true)
		shippedMoves += shipped.moves
		baselineMoves += baseline.moves
		servedVsNoPrice.Value = min(servedVsNoPrice.Value, shipped.served/baseline.served)
		served.Baseline = min(served.Baseline, baseline.served/ideal.served)
		served.Value = min(served.Value, shipped.served/ideal.served)
		urgent.Baseline = min(urgent.Baseline, baseline.urgent)
		urgent.Value = min(urgent.Value, shipped.urgent)
	}
	// One hour has only 20 to 30 moves, so they are summed over the seeds.
	moves.Value = shippedMoves / baselineMoves
	return []measure.Line{moves, servedVsNoPrice, served, urgent}
}

type result struct {
	moves  float64
	served float64 // total work served
	urgent float64 // share of the urgent demand that was served
}

// world is a fleet whose demand has a slow periodic change and fast random noise.
type world struct {
	clock    *clockwork.FakeClock
	random   *rand.Rand
	state    placement.State
	base     []float64            // mean rate by demand
	phase    []float64            // phase of the slow change by version
	jitter   []float64            // current fast change by demand
	loadedAt map[string]time.Time // end of the current load by engine
}

func newWorld(seed uint64) *world {
	w := &world{
		clock:    clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0)),
		random:   rand.New(rand.NewPCG(seed, 8)),
		loadedAt: make(map[string]time.Time),
	}
	w.state.Memory = make(map[string]float64)
	total := 0.0
	for v := range versions {
		name := "version-" + strconv.Itoa(v)
		w.state.Memory[name] = float64(20 + w.random.IntN(26))
		w.phase = append(w.phase, 2*math.Pi*w.random.Float64())
		for priority := range ranks {
			w.base = append(w.base, 0.2+w.random.Float64())
			w.jitter = append(w.jitter, 0)
			total += w.base[len(w.base)-1]
			w.state.Demands = append(w.state.Demands, placement.Demand{Version: name, Priority: priority})
		}
	}
	for i := range w.base {
		w.base[i] *= meanLoad * engines * capacity / total
	}
	for i := range engines {
		w.state.Engines = append(w.state.Engines, placement.Engine{
			ID: "engine-" + strconv.Itoa(i), Memory: engineMemory, Capacity: capacity,
		})
	}
	return w
}

// advance moves the clock and the demand by one step and marks finished loads
// as loaded.
func (w *world) advance() {
	w.clock.Advance(step)
	now := w.clock.Now()
	angle := 2 * math.Pi * float64(now.UnixNano()%int64(shiftPeriod)) / float64(shiftPeriod)
	for i := range w.state.Demands {
		innovation := noise * math.Sqrt(1-noiseCorrelation*noiseCorrelation) * w.random.NormFloat64()
		w.jitter[i] = noiseCorrelation*w.jitter[i] + innovation
		shift := 1 + 0.7*math.Sin(angle+w.phase[i/ranks])
		w.state.Demands[i].Rate = w.base[i] * shift * max(0, 1+w.jitter[i])
	}
	for i := range w.state.Engines {
		e := &w.state.Engines[i]
		if e.Loading != "" && !now.Before(w.loadedAt[e.ID]) {
			e.Loaded = append(e.Loaded, e.Loading)
			e.Loading = ""
		}
	}
}

// apply carries out an order: it unloads versions and starts a load that ends
// after loadDuration. With a duration of zero the version is loaded at once.
func (w *world) apply(o placement.Order, loadDuration time.Duration) {
	for i := range w.state.Engines {
		e := &w.state.Engines[i]
		if e.ID != o.Engine {
			continue
		}
		var kept []string
		for _, v := range e.Loaded {
			if !contains(o.Unload, v) {
				kept = append(kept, v)
			}
		}
		e.Loaded = kept
		if loadDuration == 0 {
			e.Loaded = append(e.Loaded, o.Load)
			continue
		}
		e.Loading = o.Load
		w.loadedAt[e.ID] = w.clock.Now().Add(loadDuration)
	}
}

func contains(list []string, v string) bool {
	for _, o := range list {
		if o == v {
			return true
		}
	}
	return false
}

// simulate runs a planner with the given configuration. The first tenth of the
// run, in which the engines are filled, is not counted. If limited is false,
// loads are instant and not rate limited.
func simulate(seed uint64, cfg placement.Config, limited bool) result {
	w := newWorld(seed)
	var store *rate.Limiter
	if limited {
		store = rate.NewLimiter(rate.Every(storePeriod), storeBurst)
	}
	p := placement.NewPlanner(w.clock, cfg, store)
	var r result
	urgentDemand := 0.0
	urgentServed := 0.0
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		w.advance()
		orderCount := w.plan(p, limited)
		if elapsed < length/10 {
			continue
		}
		r.moves += float64(orderCount)
		for i, s := range placement.ServedRates(w.state) {
			r.served += s * step.Seconds()
			if w.state.Demands[i].Priority == 0 {
				urgentDemand += w.state.Demands[i].Rate
				urgentServed += s
			}
		}
	}
	r.urgent = urgentServed / urgentDemand
	return r
}

// plan applies one plan and returns the number of its orders. If limited is
// false, it plans again until there are no more orders, at most 20 times.
func (w *world) plan(p *placement.Planner, limited bool) int {
	if limited {
		orders := p.Plan(w.state)
		for _, o := range orders {
			w.apply(o, loadTime)
		}
		return len(orders)
	}
	orderCount := 0
	for range 20 {
		orders := p.Plan(w.state)
		for _, o := range orders {
			w.apply(o, 0)
		}
		orderCount += len(orders)
		if len(orders) == 0 {
			break
		}
	}
	return orderCount
}
