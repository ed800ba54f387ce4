// Package balance measures the choice of endpoints in virtual time with fixed
// seeds: several hosts with late reports and lossy cache events against a
// chooser with perfect knowledge of the present, and against round robin.
package balance

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/internal/measure"
	"github.com/corianderlever/corianderlever/internal/measure/vtime"
)

// seeds are fixed, so that every run prints the same figures. Each measure is
// the worst over all seeds.
var seeds = []uint64{5, 17, 29}

const (
	hosts        = 7
	targetLoad   = 0.8
	warmUp       = 60 * time.Second
	length       = 240 * time.Second
	calibration  = 120 * time.Second
	reportPeriod = 200 * time.Millisecond
	reportDelay  = 100 * time.Millisecond
	eventPeriod  = 250 * time.Millisecond
	eventDelay   = 300 * time.Millisecond
	eventLoss    = 0.01

	perfectTarget    = 1.15
	roundRobinTarget = 0.8
	hitsTarget       = 0.9
)

// Run measures everything. The baseline of the comparisons with the perfect
// chooser is the power of two choices by load alone.
func Run() []measure.Line { return run(seeds) }

func run(seeds []uint64) []measure.Line {
	usual := compare(seeds, usualEngine)
	small := compare(seeds, smallEngine)
	return []measure.Line{
		line("first_token_p95_vs_perfect", usual.perfect, perfectTarget, measure.AtMost),
		line("first_token_p95_vs_round_robin", usual.robin, roundRobinTarget, measure.AtMost),
		line("cache_hits_vs_perfect", usual.hits, hitsTarget, measure.AtLeast),
		line("first_token_p95_vs_perfect_small_engines", small.perfect, perfectTarget, measure.AtMost),
		line("first_token_p95_vs_round_robin_small_engines", small.robin, roundRobinTarget, measure.AtMost),
		line("cache_hits_vs_perfect_small_engines", small.hits, hitsTarget, measure.AtLeast),
	}
}

// pair is a figure of the power of two choices and of the Picker.
type pair struct {
	baseline float64
	value    float64
}

func line(name string, p pair, target float64, bound measure.Bound) measure.Line {
	return measure.Line{Name: name, Baseline: p.baseline, Value: p.value, Target: target, Bound: bound}
}

// comparison holds the worst ratios over all seeds.
type comparison struct {
	perfect pair
	robin   pair
	hits    pair
}

func compare(seeds []uint64, f shape) comparison {
	c := comparison{hits: pair{baseline: 1, value: 1}}
	for _, seed := range seeds {
		rate := calibrate(seed, f)
		best := simulate(seed, f, rate, length, perfectChooser)
		turn := simulate(seed, f, rate, length, roundRobin)
		simple := simulate(seed, f, rate, length, twoChoices)
		shipped := simulate(seed, f, rate, length, pickers)
		c.perfect = c.perfect.max(simple.p95/best.p95, shipped.p95/best.p95)
		c.robin = c.robin.max(simple.p95/turn.p95, shipped.p95/turn.p95)
		c.hits.baseline = min(c.hits.baseline, simple.hits/best.hits)
		c.hits.value = min(c.hits.value, shipped.hits/best.hits)
	}
	return c
}

func (p pair) max(baseline, value float64) pair {
	return pair{baseline: max(p.baseline, baseline), value: max(p.value, value)}
}

// calibrate returns the rate at which the perfect chooser loads the engines
// to targetLoad, from the mean time a job holds a place.
func calibrate(seed uint64, f shape) float64 {
	places := targetLoad * engineCount * float64(f.slots)
	r := simulate(seed, f, places/(1.1*f.decode.Seconds()), calibration, perfectChooser)
	return places / r.hold
}

type result struct {
	p95  float64 // s
	hits float64 // cached blocks per job
	hold float64 // s that a job holds a place
}

// chooser returns the engine for a job that a host received.
type chooser func(host int, j *job) int

// world is one simulated fleet.
type world struct {
	shape   shape
	sim     *vtime.Sim
	random  *rand.Rand
	engines []*engine
	pickers []*balance.Picker
}

func simulate(seed uint64, f shape, rate float64, length time.Duration, method func(*world) chooser) result {
	w := &world{shape: f, sim: vtime.New(), random: rand.New(rand.NewPCG(seed, 6))}
	jobs := newWorkload(seed, f.decode)
	var times, hits, hold []float64
	observe := func(j *job, firstToken time.Duration, cached int) {
		if w.sim.Elapsed() < warmUp {
			return
		}
		times = append(times, firstToken.Seconds())
		hits = append(hits, float64(cached))
		prefill := time.Duration(len(j.blocks)-cached) * blockTime
		hold = append(hold, (prefill + j.decode).Seconds())
	}
	for range engineCount {
		w.engines = append(w.engines, newEngine(w.sim, f.slots, observe))
	}
	choose := method(w)
	var arrive func()
	arrive = func() {
		j := jobs.draw(w.sim.Now())
		host := jobs.random.IntN(hosts)
		i := choose(host, j)
		j.far = i%domains != host%domains
		if j.done == nil {
			j.done = func() {}
		}
		w.engines[i].submit(j)
		w.sim.After(time.Duration(jobs.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	w.sim.Run(length)
	return result{p95: measure.Quantile(times, 0.95), hits: measure.Mean(hits), hold: measure.Mean(hold)}
}

func engineID(i int) string { return "engine-" + strconv.Itoa(i) }

func domainID(i int) string { return "domain-" + strconv.Itoa(i%domains) }
