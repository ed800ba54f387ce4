package placement_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/placement"
)

var epoch = time.Unix(1_700_000_000, 0)

func drawState(t *rapid.T) placement.State {
	s := placement.State{Memory: map[string]float64{}}
	versions := []string{"a", "b", "c", "d", "e"}
	for _, v := range versions {
		s.Memory[v] = float64(rapid.IntRange(1, 10).Draw(t, "size"))
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "engines") {
		e := placement.Engine{ID: "e" + strconv.Itoa(i), Memory: float64(rapid.IntRange(1, 16).Draw(t, "memory")), Capacity: 10}
		used := 0.0
		for _, v := range rapid.Permutation(versions).Draw(t, "loaded") {
			if used+s.Memory[v] <= e.Memory {
				used += s.Memory[v]
				e.Loaded = append(e.Loaded, v)
			}
		}
		s.Engines = append(s.Engines, e)
	}
	for _, v := range versions {
		for priority := range 3 {
			amount := float64(rapid.IntRange(0, 20).Draw(t, "rate"))
			s.Demands = append(s.Demands, placement.Demand{Version: v, Priority: priority, Rate: amount})
		}
	}
	return s
}

// applyOrders carries out orders and checks that each is valid: one order per
// engine, none for a loading or leaving engine, and within the memory.
func applyOrders(t *rapid.T, s placement.State, orders []placement.Order) {
	ordered := map[string]bool{}
	for _, o := range orders {
		if ordered[o.Engine] {
			t.Fatalf("engine %s got two orders in one plan", o.Engine)
		}
		ordered[o.Engine] = true
		i := slices.IndexFunc(s.Engines, func(e placement.Engine) bool { return e.ID == o.Engine })
		e := &s.Engines[i]
		if e.Loading != "" || e.Leaving {
			t.Fatalf("engine %s got an order while it is loading or leaving", e.ID)
		}
		e.Loaded = slices.DeleteFunc(slices.Clone(e.Loaded), func(v string) bool { return slices.Contains(o.Unload, v) })
		e.Loaded = append(e.Loaded, o.Load)
		used := 0.0
		for _, v := range e.Loaded {
			used += s.Memory[v]
		}
		if used > e.Memory {
			t.Fatalf("loaded versions %v need %v GB, engine has %v GB", e.Loaded, used, e.Memory)
		}
	}
}

// TestPlanServesUrgentDemandFirst guards against orders that exceed an engine's
// memory, two orders for one engine in a plan, endless orders under constant
// demand, and urgent demand that stays unserved although an engine that could
// load its version does only less urgent work.
func TestPlanServesUrgentDemandFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClockAt(epoch)
		cfg := placement.DefaultConfig(10)
		cfg.Headroom = 0
		cfg.MoveCost = rapid.SampledFrom([]float64{0, 50}).Draw(t, "moveCost")
		p := placement.NewPlanner(clock, cfg, nil)
		s := drawState(t)
		leaving := rapid.IntRange(0, len(s.Engines)-1).Draw(t, "leaving")
		s.Engines[leaving].Leaving = rapid.Bool().Draw(t, "leaves")
		for round := 0; ; round++ {
			clock.Advance(5 * time.Second)
			before := urgentServed(s)
			orders := p.Plan(s)
			applyOrders(t, s, orders)
			if urgentServed(s) < before-1e-3 {
				t.Fatalf("served urgent demand fell from %v to %v after orders %+v", before, urgentServed(s), orders)
			}
			if len(orders) == 0 && round > 20 {
				break
			}
			if round > 200 {
				t.Fatal("Plan still returns orders after 200 rounds of constant demand")
			}
		}
		served := placement.ServedRates(s)
		for i, d := range s.Demands {
			if d.Priority > 0 || served[i] >= d.Rate-1e-3 {
				continue
			}
			for _, e := range s.Engines {
				if !e.Leaving && e.Memory >= s.Memory[d.Version] && !doesUrgentWork(s, e) {
					t.Fatalf("demand %+v is served at %v while engine %+v does only less urgent work", d, served[i], e)
				}
			}
		}
	})
}

// doesUrgentWork reports whether removing the engine reduces the urgent demand
// that is served.
func doesUrgentWork(s placement.State, e placement.Engine) bool {
	without := s
	without.Engines = slices.DeleteFunc(slices.Clone(s.Engines), func(o placement.Engine) bool { return o.ID == e.ID })
	return urgentServed(without) < urgentServed(s)-1e-3
}

func urgentServed(s placement.State) float64 {
	sum := 0.0
	for i, rate := range placement.ServedRates(s) {
		if s.Demands[i].Priority == 0 {
			sum += rate
		}
	}
	return sum
}

// TestServedRatesPreferUrgentDemandWithinCapacity guards against an assignment
// that serves less urgent demand at the expense of urgent demand, more than a
// demand, or more than the capacity of the engines.
func TestServedRatesPreferUrgentDemandWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawState(t)
		total := 0.0
		for i, rate := range placement.ServedRates(s) {
			total += rate
			if rate > s.Demands[i].Rate+1e-3 {
				t.Fatalf("served %v, more than the demand %+v", rate, s.Demands[i])
			}
		}
		if total > 10*float64(len(s.Engines))+1e-3 {
			t.Fatalf("served %v in total, more than the capacity of %d engines", total, len(s.Engines))
		}
		urgent := s
		urgent.Demands = slices.DeleteFunc(slices.Clone(s.Demands), func(d placement.Demand) bool { return d.Priority > 0 })
		if got, alone := urgentServed(s), urgentServed(urgent); got < alone-1e-3 {
			t.Fatalf("urgent demand is served at %v, want %v as without other demand", got, alone)
		}
	})
}

// TestPlanRespectsWeightStoreRateLimit guards against more loads than the rate
// limit of the weight store allows, and against using the load reserved for
// urgent demand for other demand.
func TestPlanRespectsWeightStoreRateLimit(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	cfg := placement.DefaultConfig(10)
	cfg.MoveCost = 0
	p := placement.NewPlanner(clock, cfg, rate.NewLimiter(rate.Every(time.Minute), 3))
	s := placement.State{Memory: map[string]float64{"a": 1, "b": 1}}
	for i := range 20 {
		s.Engines = append(s.Engines, placement.Engine{ID: strconv.Itoa(i), Memory: 2, Capacity: 1})
	}
	s.Demands = []placement.Demand{{Version: "a", Priority: 1, Rate: 10}}
	if got := len(p.Plan(s)); got != 2 {
		t.Fatalf("got %d loads for less urgent demand, want 2 of the 3 allowed", got)
	}
	s.Demands = []placement.Demand{{Version: "b", Priority: 0, Rate: 10}}
	if got := len(p.Plan(s)); got != 1 {
		t.Fatalf("got %d loads for urgent demand, want the reserved one", got)
	}
	clock.Advance(2 * time.Minute)
	if got := len(p.Plan(s)); got != 2 {
		t.Fatalf("got %d loads after two minutes, want 2", got)
	}
}

// TestMoveCostPreventsMovesForShortPeaks guards against moves for short peaks of
// demand, whose unserved work stays below the cost of a move, against lasting
// demand that is never served because of that cost, and against urgent demand
// delayed by the cost or the moving average.
func TestMoveCostPreventsMovesForShortPeaks(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	p := placement.NewPlanner(clock, placement.DefaultConfig(10), nil)
	s := placement.State{
		Memory:  map[string]float64{"a": 1, "b": 1},
		Engines: []placement.Engine{{ID: "e", Memory: 1, Capacity: 10, Loaded: []string{"a"}}},
	}
	orders := 0
	for step := range 100 {
		clock.Advance(time.Second)
		s.Demands = []placement.Demand{{Version: "a", Priority: 1, Rate: 2}}
		if step%20 == 0 {
			s.Demands = []placement.Demand{{Version: "b", Priority: 1, Rate: 9}}
		}
		orders += len(p.Plan(s))
	}
	if orders != 0 {
		t.Fatalf("got %d orders for short peaks, want none", orders)
	}
	s.Demands = []placement.Demand{{Version: "b", Priority: 1, Rate: 9}}
	for range 120 { // DemandHalfLife in seconds
		clock.Advance(time.Second)
		orders += len(p.Plan(s))
	}
	if orders == 0 {
		t.Fatal("got no order for lasting demand")
	}
	s.Demands = []placement.Demand{{Version: "b", Priority: 0, Rate: 0}}
	p.Plan(s)
	s.Demands[0].Rate = 0.1
	clock.Advance(time.Second)
	if got := p.Plan(s); len(got) != 1 {
		t.Fatalf("got %d orders for new urgent demand, want 1", len(got))
	}
}

func BenchmarkPlan(b *testing.B) {
	clock := clockwork.NewFakeClockAt(epoch)
	s := placement.State{Memory: map[string]float64{}}
	for v := range 10 {
		name := strconv.Itoa(v)
		s.Memory[name] = 30
		for priority := range 3 {
			s.Demands = append(s.Demands, placement.Demand{Version: name, Priority: priority, Rate: 100 * float64(v)})
		}
	}
	for i := range 435 { // one failure domain at the size the router is designed for
		e := placement.Engine{ID: strconv.Itoa(i), Memory: 80, Capacity: 30, Loaded: []string{strconv.Itoa(i % 10)}}
		s.Engines = append(s.Engines, e)
	}
	b.ReportAllocs()
	for b.Loop() {
		p := placement.NewPlanner(clock, placement.DefaultConfig(30), rate.NewLimiter(1, 3))
		p.Plan(s)
	}
}
