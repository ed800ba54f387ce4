// Package gate measures the admission of opaque requests in virtual time, with a small model
// of model engines. The baseline admits all requests.
package gate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/admission"
)

// Sizes of the simulated fleet.
const (
	engineCount = 28
	step        = 20 * time.Millisecond
	// An engine generates events with calmGap up to calmRunning requests. With more, they
	// share its rate.
	calmGap     = 66 * time.Millisecond
	calmRunning = 4
	slots       = 16
	// targetGap is the gap that callers bear.
	targetGap   = 3 * calmGap
	meanPrefill = 150 * time.Millisecond
	meanEvents  = 40
	deadline    = 20 * time.Second
	// newsDelay is the age of the load that hosts see.
	newsDelay = time.Second
	// estimateError is the deviation of the logarithm of the expected number of events.
	estimateError = 0.3
	warmUp        = 20 * time.Second
	runTime       = 220 * time.Second
	// retryShare is the part of the time left up to which callers wait for a retry.
	retryShare = 1.0 / 3
	ranks      = 3
	teams      = 6
)

// capacity is the number of requests a second that the engines carry.
var capacity = engineCount * calmRunning / calmGap.Seconds() / meanEvents

// rankParts are the parts of the demand of each rank.
var rankParts = [ranks]float64{0.2, 0.4, 0.4}

// scenario is a load on the fleet.
type scenario struct {
	hosts int
	// demand returns the demand of a team as a multiple of the capacity, beside that of the
	// other teams.
	demand func(team int, at time.Duration) float64
	// repeatAtOnce is the number of times that callers repeat at once whatever they are told.
	repeatAtOnce int
	// lost returns the part of the engines that are gone.
	lost func(at time.Duration) float64
}

// call is one request of a caller.
type call struct {
	team, rank int
	key        uint64
	arrived    time.Duration
	left       int     // retries that the caller has left
	work       float64 // events of the answer
	events     float64 // those that are not generated yet
	expected   int
	prefill    time.Duration
	firstEvent time.Duration // since arrival; zero before it
	attempts   int
	expired    bool // an attempt ended at the deadline
	served     bool
}

// due is a call that a caller repeats.
type due struct {
	at time.Duration
	c  *call
}

// engine is a model engine. It prefills the most urgent call first, one at a time.
type engine struct {
	gone             bool
	queued, decoding []*call
	news             []engineNews
}

// engineNews is what hosts hear of an engine.
type engineNews struct {
	running int
	backlog [ranks]time.Duration
}

func (e *engine) running() int { return len(e.queued) + len(e.decoding) }

func gapOf(running int) time.Duration {
	return time.Duration(float64(calmGap) * max(1, float64(running)/calmRunning))
}

// world is one run.
type world struct {
	scenario
	rng     *rand.Rand
	clock   *clockwork.FakeClock
	now     time.Duration
	gates   []*admission.Gate // nil: all calls are admitted
	engines []*engine
	repeats []due
	calls   []*call
	loads   []float64
}

func run(s scenario, seed uint64, gated bool) outcome {
	w := &world{scenario: s, rng: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock()}
	for range engineCount {
		w.engines = append(w.engines, &engine{})
	}
	for h := range s.hosts {
		if gated {
			w.gates = append(w.gates, admission.NewGate(w.clock, rand.New(rand.NewPCG(seed, uint64(h)+2))))
		}
	}
	for w.now = 0; w.now < runTime; w.now += step {
		w.step()
		w.clock.Advance(step)
	}
	return w.outcome()
}

func (w *world) step() {
	w.loseEngines()
	for _, e := range w.engines {
		w.work(e)
	}
	w.publish()
	again := w.repeats
	w.repeats = nil
	for _, d := range again {
		if d.at <= w.now {
			w.arrive(d.c)
		} else {
			w.repeats = append(w.repeats, d)
		}
	}
	for team := range teams {
		for rank, part := range rankParts {
			for range w.poisson(w.demand(team, w.now) * part * capacity * step.Seconds()) {
				w.arrive(w.newCall(team, rank))
			}
		}
	}
}

func (w *world) newCall(team, rank int) *call {
	c := &call{team: team, rank: rank, key: uint64(len(w.calls) + 1), arrived: w.now, left: 1 + w.repeatAtOnce}
	c.work = meanEvents * (0.4 + 1.2*w.rng.Float64())
	c.events = c.work
	c.expected = int(c.work * math.Exp(estimateError*w.rng.NormFloat64()))
	c.prefill = time.Duration(float64(meanPrefill) * (0.2 + 1.6*w.rng.Float64()))
	w.calls = append(w.calls, c)
	return c
}

func (w *world) poisson(mean float64) int {
	n := 0
	for p := w.rng.Float64(); p > math.Exp(-mean); p *= w.rng.Float64() {
		n++
	}
	return n
}

// arrive has a random host decide on a call and send it to an engine.
func (w *world) arrive(c *call) {
	left := deadline - (w.now - c.arrived)
	if left <= 0 {
		return
	}
	e, first, completion := w.choose(c)
	host, load := w.rng.IntN(w.hosts), w.loads[0]*math.Exp(0.05*w.rng.NormFloat64())
	if w.gates != nil {
		d := w.gates[host].Admit(admission.GateRequest{
			Team: fmt.Sprint(c.team), Rank: c.rank * 3, Key: c.key, Left: left, FirstEvent: first, Completion: completion,
			LengthStated: true, Load: load,
		})
		if !d.Admitted() {
			w.repeat(c, left, d.RetryAfter)
			return
		}
	}
	c.attempts++
	e.queued = append(e.queued, c)
}

// repeat has the caller of a rejected call decide whether it repeats the call.
func (w *world) repeat(c *call, left, wait time.Duration) {
	if c.left == 0 {
		return
	}
	c.left--
	if w.repeatAtOnce > 0 {
		wait = step
	}
	if wait.Seconds() <= retryShare*left.Seconds() {
		w.repeats = append(w.repeats, due{w.now + wait, c})
	}
}

// choose returns the engine of the least expected time among some, by the news of it.
func (w *world) choose(c *call) (best *engine, first, completion time.Duration) {
	const choices = 4
	for range choices {
		e := w.engines[w.rng.IntN(len(w.engines))]
		if e.gone {
			continue
		}
		n := e.news[0]
		wait := c.prefill
		for _, b := range n.backlog[:c.rank+1] {
			wait += b
		}
		all := wait + time.Duration(c.expected)*gapOf(n.running+1)
		if best == nil || all < completion {
			best, first, completion = e, wait, all
		}
	}
	if best == nil {
		return w.choose(c)
	}
	return best, first, completion
}

// publish tells the hosts the state of the engines newsDelay later.
func (w *world) publish() {
	sum, alive := 0.0, 0.0
	for _, e := range w.engines {
		n := engineNews{running: e.running()}
		for _, c := range e.queued {
			n.backlog[c.rank] += c.prefill
		}
		e.news = append(e.news, n)
		if len(e.news) > int(newsDelay/step) {
			e.news = e.news[1:]
		}
		if !e.gone {
			sum += gapOf(e.running()).Seconds()
			alive++
		}
	}
	w.loads = append(w.loads, sum/alive/targetGap.Seconds())
	if len(w.loads) > int(newsDelay/step) {
		w.loads = w.loads[1:]
	}
}

// work runs an engine for one step.
func (w *world) work(e *engine) {
	late := func(c *call) bool {
		c.expired = w.now-c.arrived > deadline
		return c.expired
	}
	e.queued = slices.DeleteFunc(e.queued, late)
	e.decoding = slices.DeleteFunc(e.decoding, late)
	done := step.Seconds() / gapOf(len(e.decoding)).Seconds()
	e.decoding = slices.DeleteFunc(e.decoding, func(c *call) bool {
		c.events -= done
		c.served = c.events <= 0
		return c.served
	})
	slices.SortStableFunc(e.queued, func(a, b *call) int { return a.rank - b.rank })
	for budget := step; budget > 0 && len(e.queued) > 0 && len(e.decoding) < slots; {
		c := e.queued[0]
		used := min(budget, c.prefill)
		c.prefill -= used
		budget -= used
		if c.prefill > 0 {
			break
		}
		if c.firstEvent == 0 {
			c.firstEvent = w.now + step - c.arrived
		}
		e.queued, e.decoding = e.queued[1:], append(e.decoding, c)
	}
}

// loseEngines takes engines out of use or back, and moves their calls to others.
func (w *world) loseEngines() {
	lost := 0
	if w.lost != nil {
		lost = int(w.lost(w.now) * engineCount)
	}
	for i, e := range w.engines {
		e.gone = i < lost
	}
	for _, e := range w.engines {
		if !e.gone || e.running() == 0 {
			continue
		}
		calls := append(e.queued, e.decoding...)
		e.queued, e.decoding = nil, nil
		for _, c := range calls {
			c.prefill = max(c.prefill, meanPrefill)
			c.attempts++
			to, _, _ := w.choose(c)
			to.queued = append(to.queued, c)
		}
	}
}
