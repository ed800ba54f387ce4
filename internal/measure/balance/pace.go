package balance

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/internal/measure"
	"github.com/corianderlever/corianderlever/internal/measure/vtime"
)

const (
	paceEngines = 32
	paceLength  = 120 * time.Second
	paceWarmUp  = 40 * time.Second
	loadWindow  = 10 * time.Second

	oracleTarget = 1.25
)

// condition is one way in which engines or reports deviate from the ideal.
type condition struct {
	name string
	// spread draws the slowness of the engines from 0.7 to 1.7.
	spread bool
	// slowDowns makes each engine slowFactor times slower for 0.5 s to 4 s, on average twice a
	// minute.
	slowDowns bool
	// early makes each fourth engine slow down long before its slots are full.
	early bool
	// delay is the age of the sums of load and pace when hosts get them.
	delay time.Duration
	// few compares seven hosts that tell each other by heartbeats, instead of sixty.
	few bool
}

const usualDelay = 400 * time.Millisecond

var conditions = []condition{
	{name: "alike", delay: usualDelay},
	{name: "spread", spread: true, delay: usualDelay},
	{name: "slow_downs", slowDowns: true, delay: usualDelay},
	{name: "early", early: true, delay: usualDelay},
	{name: "stale", spread: true, delay: 2 * time.Second},
	{name: "few_hosts", spread: true, delay: usualDelay, few: true},
}

// runPace returns the measures of the choice of engines of different speed. The baseline is
// the choice without measured paces and without the wait for a slot.
func runPace(seeds []uint64, conditions []condition) []measure.Line {
	var lines []measure.Line
	for _, c := range conditions {
		var first, pause, uneven pair
		for _, seed := range seeds {
			oracle := simulatePace(seed, c, pacedOracle)
			baseline := simulatePace(seed, c, pacedChoosers(false))
			value := simulatePace(seed, c, pacedChoosers(true))
			first = first.max(baseline.first/oracle.first, value.first/oracle.first)
			pause = pause.max(baseline.pause/oracle.pause, value.pause/oracle.pause)
			uneven = uneven.max(baseline.uneven, value.uneven)
		}
		lines = append(lines,
			line("pace_"+c.name+"_first_event_p95_vs_oracle", first, oracleTarget, measure.AtMost),
			line("pace_"+c.name+"_longest_pause_p95_vs_oracle", pause, oracleTarget, measure.AtMost),
			line("pace_"+c.name+"_windows_with_over_and_idle", uneven, 0, measure.AtMost))
	}
	return lines
}

// paceResult holds the figures of one simulation after the warm-up.
type paceResult struct {
	first, pause float64 // 95th percentiles, s
	// uneven is the part of the windows of loadWindow in which an engine had on average more
	// than 1.5 times the streams that it handles while another had less than half.
	uneven float64
	// prefilled is the mean number of tokens read for a request.
	prefilled float64
}

// paceWorld is one simulated fleet of batching engines.
type paceWorld struct {
	condition condition
	sim       *vtime.Sim
	engines   []*batchEngine
	hosts     []*balance.EngineChooser
}

// paceChooser sends a request that arrived at host to the engine that it returns, and sets the
// functions of the request.
type paceChooser func(host int, s *stream, id string) int

func simulatePace(seed uint64, c condition, method func(*paceWorld) paceChooser) paceResult {
	w := &paceWorld{condition: c, sim: vtime.New()}
	random := rand.New(rand.NewPCG(seed, 8))
	zipf := rand.NewZipf(random, 1.1, 8, sharedParts-1)
	rate := 0.0
	for i := range paceEngines {
		slowness := 1.0
		if c.spread {
			slowness = 0.7 + random.Float64()
		}
		e := newBatchEngine(w.sim, slowness, c.early && i%4 == 0)
		w.engines = append(w.engines, e)
		n := e.handles()
		prefill := time.Duration(slowness * float64(streamOwn*tokenTime))
		rate += targetLoad * n / (streamEvents * (e.stepTime(int(n)).Seconds() + n*prefill.Seconds()/streamEvents))
		if c.slowDowns {
			w.slowDown(e, rand.New(rand.NewPCG(seed, 100+uint64(i))))
		}
	}
	choose := method(w)
	var firsts, pauses, prefilled []float64
	var arrive func()
	n := 0
	arrive = func() {
		s := drawStream(random, zipf, w.sim.Now())
		n++
		s.onEvent, s.onEnd = func() {}, func() {}
		e := w.engines[choose(random.IntN(w.hostCount()), s, strconv.Itoa(n))]
		end := s.onEnd
		s.onEnd = func() {
			end()
			if s.arrived.Sub(vtime.Start) >= paceWarmUp {
				firsts, pauses = append(firsts, s.firstWait.Seconds()), append(pauses, s.longest.Seconds())
			}
		}
		prefilled = append(prefilled, float64(e.uncachedOf(s)))
		e.submit(s)
		w.sim.After(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	uneven := w.watchLoad()
	w.sim.Run(paceLength)
	return paceResult{first: measure.Quantile(firsts, 0.95), pause: measure.Quantile(pauses, 0.95), uneven: uneven(), prefilled: measure.Mean(prefilled)}
}

func (w *paceWorld) hostCount() int {
	if w.condition.few {
		return 7
	}
	return 60
}

// slowDown makes an engine slow from time to time.
func (w *paceWorld) slowDown(e *batchEngine, random *rand.Rand) {
	w.sim.After(time.Duration(random.ExpFloat64()*float64(30*time.Second)), func() {
		e.slowTill = w.sim.Now().Add(500*time.Millisecond + time.Duration(random.Float64()*3.5*float64(time.Second)))
		w.slowDown(e, random)
	})
}

// watchLoad samples the load of the engines. The returned function gives paceResult.uneven.
func (w *paceWorld) watchLoad() func() float64 {
	const period = 100 * time.Millisecond
	sums := make([]float64, paceEngines)
	samples, windows, uneven := 0.0, 0.0, 0.0
	w.sim.Every(period, func() {
		if w.sim.Elapsed() < paceWarmUp {
			return
		}
		for i, e := range w.engines {
			sums[i] += float64(e.load())
		}
		if samples++; samples < float64(loadWindow/period) {
			return
		}
		over, idle := false, false
		for i, e := range w.engines {
			part := sums[i] / samples / e.handles()
			over, idle = over || part > 1.5, idle || part < 0.5
		}
		if windows++; over && idle {
			uneven++
		}
		samples = 0
		clear(sums)
	})
	return func() float64 { return uneven / windows }
}

func blockID(n uint64) string { return strconv.FormatUint(n, 10) }
