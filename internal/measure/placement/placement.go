// Package placement measures the placement of versions on engines in virtual
// time with fixed seeds: a price on moves against none, and both against a
// planner whose loads take no time and are not limited.
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

// seeds are fixed, so that every run prints the same figures. Each measure but
// the moves is the worst over all seeds.
var seeds = []uint64{3, 13, 31}

const (
	engines      = 12
	capacity     = 100.0
	engineMemory = 80.0
	versions     = 10
	ranks        = 3
	meanLoad     = 0.75
	step         = 5 * time.Second
	length       = time.Hour
	loadTime     = 30 * time.Second
	storePeriod  = 10 * time.Second // per load
	storeBurst   = 3
	shiftPeriod  = 40 * time.Minute // of the slow change of demand
	noise        = 0.2              // standard deviation of the fast change
	noiseMemory  = 0.8              // correlation from step to step

	movesTarget  = 0.5
	equalTarget  = 0.99
	servedTarget = 0.98
	urgentTarget = 0.99
)

// Run measures everything. The baseline is the greedy plan without a price.
func Run() []measure.Line { return run(seeds) }

func run(seeds []uint64) []measure.Line {
	moves := measure.Line{Name: "placement_moves", Baseline: 1, Target: movesTarget, Bound: measure.AtMost}
	equal := measure.Line{Name: "placement_served_vs_no_price", Baseline: 1, Value: 1, Target: equalTarget, Bound: measure.AtLeast}
	served := measure.Line{Name: "placement_served_demand", Baseline: 1, Value: 1, Target: servedTarget, Bound: measure.AtLeast}
	urgent := measure.Line{Name: "placement_urgent_served", Baseline: 1, Value: 1, Target: urgentTarget, Bound: measure.AtLeast}
	priced := placement.DefaultConfig(capacity)
	free := priced
	free.MoveCost, free.DemandHalfLife = 0, 0
	shippedMoves, simpleMoves := 0.0, 0.0
	for _, seed := range seeds {
		ideal := simulate(seed, free, false)
		simple := simulate(seed, free, true)
		shipped := simulate(seed, priced, true)
		shippedMoves += shipped.moves
		simpleMoves += simple.moves
		equal.Value = min(equal.Value, shipped.served/simple.served)
		served.Baseline = min(served.Baseline, simple.served/ideal.served)
		served.Value = min(served.Value, shipped.served/ideal.served)
		urgent.Baseline = min(urgent.Baseline, simple.urgent)
		urgent.Value = min(urgent.Value, shipped.urgent)
	}
	// An hour has only 20 to 30 moves, so they are summed over the seeds.
	moves.Value = shippedMoves / simpleMoves
	return []measure.Line{moves, equal, served, urgent}
}

type result struct {
	moves  float64
	served float64 // work
	urgent float64 // share of the urgent demand
}

// world is a fleet whose demand shifts slowly and changes fast.
type world struct {
	clock  *clockwork.FakeClock
	random *rand.Rand
	state  placement.State
	base   []float64
	phase  []float64
	jitter []float64
	ready  map[string]time.Time // end of the running order by engine
}

func newWorld(seed uint64) *world {
	w := &world{
		clock:  clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0)),
		random: rand.New(rand.NewPCG(seed, 8)),
		ready:  make(map[string]time.Time),
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

// advance moves the clock and the demand by one step and ends orders.
func (w *world) advance() {
	w.clock.Advance(step)
	now := w.clock.Now()
	angle := 2 * math.Pi * float64(now.UnixNano()%int64(shiftPeriod)) / float64(shiftPeriod)
	for i := range w.state.Demands {
		fresh := noise * math.Sqrt(1-noiseMemory*noiseMemory) * w.random.NormFloat64()
		w.jitter[i] = noiseMemory*w.jitter[i] + fresh
		shift := 1 + 0.7*math.Sin(angle+w.phase[i/ranks])
		w.state.Demands[i].Rate = w.base[i] * shift * max(0, 1+w.jitter[i])
	}
	for i := range w.state.Engines {
		e := &w.state.Engines[i]
		if e.Loading != "" && !now.Before(w.ready[e.ID]) {
			e.Loaded = append(e.Loaded, e.Loading)
			e.Loading = ""
		}
	}
}

func (w *world) carryOut(o placement.Order, takes time.Duration) {
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
		if takes == 0 {
			e.Loaded = append(e.Loaded, o.Load)
			continue
		}
		e.Loading = o.Load
		w.ready[e.ID] = w.clock.Now().Add(takes)
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

// simulate runs a planner; the first tenth of the time is for filling the
// engines and does not count. Without limits loads are instant.
func simulate(seed uint64, cfg placement.Config, limited bool) result {
	w := newWorld(seed)
	var store *rate.Limiter
	if limited {
		store = rate.NewLimiter(rate.Every(storePeriod), storeBurst)
	}
	p := placement.NewPlanner(w.clock, cfg, store)
	var r result
	wanted := 0.0
	got := 0.0
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		w.advance()
		moved := w.plan(p, limited)
		if elapsed < length/10 {
			continue
		}
		r.moves += float64(moved)
		for i, s := range placement.ServedRates(w.state) {
			r.served += s * step.Seconds()
			if w.state.Demands[i].Priority == 0 {
				wanted += w.state.Demands[i].Rate
				got += s
			}
		}
	}
	r.urgent = got / wanted
	return r
}

// plan carries out one plan, or without limits plans until nothing improves.
func (w *world) plan(p *placement.Planner, limited bool) int {
	if limited {
		orders := p.Plan(w.state)
		for _, o := range orders {
			w.carryOut(o, loadTime)
		}
		return len(orders)
	}
	moved := 0
	for range 20 {
		orders := p.Plan(w.state)
		for _, o := range orders {
			w.carryOut(o, 0)
		}
		moved += len(orders)
		if len(orders) == 0 {
			break
		}
	}
	return moved
}
