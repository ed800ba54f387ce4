// Package balance measures the choice of endpoints in virtual time with fixed
// seeds. Several hosts choose from delayed load reports and lossy cache events.
// They are compared with a chooser that reads the current state of all engines,
// and with round robin.
package balance

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/internal/measure"
	"github.com/corianderlever/corianderlever/internal/measure/vtime"
)

// seeds are fixed so that every run prints the same results. Each measure is
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

// Run returns all measures of endpoint choice. The baseline is the power of two
// choices by load alone.
func Run() []measure.Line { return run(seeds) }

func run(seeds []uint64) []measure.Line {
	usual := compare(seeds, usualEngine)
	small := compare(seeds, smallEngine)
	lines := []measure.Line{
		line("first_token_p95_vs_perfect", usual.perfect, perfectTarget, measure.AtMost),
		line("first_token_p95_vs_round_robin", usual.roundRobin, roundRobinTarget, measure.AtMost),
		line("cache_hits_vs_perfect", usual.hits, hitsTarget, measure.AtLeast),
		line("first_token_p95_vs_perfect_small_engines", small.perfect, perfectTarget, measure.AtMost),
		line("first_token_p95_vs_round_robin_small_engines", small.roundRobin, roundRobinTarget, measure.AtMost),
		line("cache_hits_vs_perfect_small_engines", small.hits, hitsTarget, measure.AtLeast),
	}
	return append(lines, runPace(seeds, conditions)...)
}

// pair holds one figure for the power of two choices (baseline) and for the
// Picker (value).
type pair struct {
	baseline float64
	value    float64
}

func line(name string, p pair, target float64, bound measure.Bound) measure.Line {
	return measure.Line{Name: name, Baseline: p.baseline, Value: p.value, Target: target, Bound: bound}
}

// comparison holds the worst ratios over all seeds: the 95th percentile of the
// time to first token relative to the perfect chooser and to round robin, and
// the cache hits relative to the perfect chooser.
type comparison struct {
	perfect    pair
	roundRobin pair
	hits       pair
}

func compare(seeds []uint64, f shape) comparison {
	c := comparison{hits: pair{baseline: 1, value: 1}}
	for _, seed := range seeds {
		rate := calibrate(seed, f)
		perfect := simulate(seed, f, rate, length, perfectChooser)
		robin := simulate(seed, f, rate, length, roundRobin)
		baseline := simulate(seed, f, rate, length, twoChoices)
		shipped := simulate(seed, f, rate, length, pickers)
		c.perfect = c.perfect.max(baseline.p95/perfect.p95, shipped.p95/perfect.p95)
		c.roundRobin = c.roundRobin.max(baseline.p95/robin.p95, shipped.p95/robin.p95)
		c.hits.baseline = min(c.hits.baseline, baseline.hits/perfect.hits)
		c.hits.value = min(c.hits.value, shipped.hits/perfect.hits)
	}
	return c
}

// max returns the larger figure of each method.
func (p pair) max(baseline, value float64) pair {
	return pair{baseline: max(p.baseline, baseline), value: max(p.value, value)}
}

// calibrate returns the request rate per second at which the perfect chooser
// loads the engines to targetLoad, computed from the mean time that a job
// occupies a slot.
func calibrate(seed uint64, f shape) float64 {
	busySlots := targetLoad * engineCount * float64(f.slots)
	r := simulate(seed, f, busySlots/(1.1*f.decode.Seconds()), calibration, perfectChooser)
	return busySlots / r.slotTime
}

// result holds the figures of one simulation, taken after the warm-up.
type result struct {
	p95      float64 // time to first token, s
	hits     float64 // cached blocks per job
	slotTime float64 // mean time that a job occupies a slot, s
}

// chooser returns the index of the engine for a job that arrived at host.
type chooser func(host int, j *job) int

// world is one simulated fleet.
type world struct {
	shape   shape
	sim     *vtime.Sim
	random  *rand.Rand
	engines []*engine
	pickers []*balance.Picker
}

// simulate runs the fleet at the given request rate with engines chosen by
// method. Jobs that start during the warm-up are not counted.
func simulate(seed uint64, f shape, rate float64, length time.Duration, method func(*world) chooser) result {
	w := &world{shape: f, sim: vtime.New(), random: rand.New(rand.NewPCG(seed, 6))}
	jobs := newWorkload(seed, f.decode)
	var firstTokens, hits, slotTimes []float64
	observe := func(j *job, firstToken time.Duration, cached int) {
		if w.sim.Elapsed() < warmUp {
			return
		}
		firstTokens = append(firstTokens, firstToken.Seconds())
		hits = append(hits, float64(cached))
		prefill := time.Duration(len(j.blocks)-cached) * blockTime
		slotTimes = append(slotTimes, (prefill + j.decode).Seconds())
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
	return result{p95: measure.Quantile(firstTokens, 0.95), hits: measure.Mean(hits), slotTime: measure.Mean(slotTimes)}
}

func engineID(i int) string { return "engine-" + strconv.Itoa(i) }

func domainID(i int) string { return "domain-" + strconv.Itoa(i%domains) }
