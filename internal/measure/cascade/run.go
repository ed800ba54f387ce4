// Package cascade measures the cascade's choice of plans in virtual time. It
// compares the choice with an oracle that has the true pass rates and with
// always using the best version. Costs and qualities are exact expectations of
// the chosen plans, so the results have no sampling noise from the answers.
package cascade

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/cascade"
	"github.com/corianderlever/corianderlever/internal/measure"
)

// requests is the number of requests in one run.
const requests = 20000

var seeds = []uint64{11, 22, 33, 44, 55, 66}

// record is the plan chosen for one request and its latency in seconds.
type record struct {
	kind    int
	value   value
	latency float64
	// rated is the number of ratings that had arrived before the request.
	rated int
}

// event is a rating that reaches the chooser at the time at.
type event struct {
	at     time.Time
	rating cascade.Rating
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is one run of a chooser against the simulated deployment.
type simulation struct {
	clock   *clockwork.FakeClock
	rnd     *rand.Rand
	chooser *cascade.Chooser
	pending events
	// rated is the number of ratings that have arrived.
	rated int
	// targets are the quality targets by kind.
	targets []float64
	records []record
}

func newSimulation(seed uint64, cfg cascade.Config, targets []float64) *simulation {
	for _, k := range kindsBeforeShift {
		cfg.Kinds = append(cfg.Kinds, k.name)
	}
	cfg.RatingsPerSecond = ratingsPerSecond
	clock := clockwork.NewFakeClockAt(time.Unix(0, 0))
	return &simulation{
		clock:   clock,
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		chooser: cascade.New(cfg, clock, rand.New(rand.NewPCG(seed, 2))),
		targets: targets,
	}
}

// run simulates count requests with the true pass rates of kinds.
func (s *simulation) run(kinds []kind, count int) {
	for range count {
		s.clock.Advance(seconds(s.rnd.ExpFloat64() / requestsPerSecond))
		for len(s.pending) > 0 && !s.pending[0].at.After(s.clock.Now()) {
			s.chooser.ObserveRating(heap.Pop(&s.pending).(event).rating)
			s.rated++
		}
		s.request(kinds)
	}
}

func (s *simulation) request(kinds []kind) {
	u, i := s.rnd.Float64(), 0
	for i < len(kinds)-1 && u >= kinds[i].weight {
		u -= kinds[i].weight
		i++
	}
	k := kinds[i]
	plan, err := s.chooser.Plan(cascade.Request{
		Kind: k.name, QualityTarget: s.targets[i], TimeLeft: k.deadline, Candidates: candidates(),
	})
	if err != nil {
		panic(err)
	}
	var steps []int
	for _, step := range plan.Steps {
		steps = append(steps, engineIndex(step.Version))
	}
	latency := s.execute(k, plan, steps)
	s.records = append(s.records, record{kind: i, value: k.evaluate(steps), latency: latency, rated: s.rated})
}

// execute simulates the steps of one plan and returns its latency in seconds.
func (s *simulation) execute(k kind, plan cascade.Plan, steps []int) float64 {
	passed := k.draw(s.rnd)
	elapsed := 0.0
	for i, step := range plan.Steps {
		answer := engines[steps[i]].latency.draw(s.rnd)
		elapsed += answer
		s.chooser.ObserveLatency(step.Version, seconds(answer))
		good := passed[steps[i]]
		rating := cascade.Rating{Version: step.Version, Kind: k.name, Escalated: i > 0, Passed: good}
		if step.RatingMode == cascade.RatingSample && s.rnd.Float64() >= sampleMissing {
			s.deliver(elapsed+5+10*s.rnd.Float64(), rating)
		}
		if step.RatingMode != cascade.RatingGate {
			return elapsed
		}
		outcome := cascade.OutcomeFailed
		if good {
			outcome = cascade.OutcomePassed
		}
		wait := ratingLatency.draw(s.rnd)
		if s.rnd.Float64() < gateMissing {
			outcome, wait = cascade.OutcomeMissing, step.RatingTimeout.Seconds()
		} else {
			s.deliver(elapsed+wait, rating)
		}
		s.chooser.ObserveGate(seconds(wait), outcome != cascade.OutcomeMissing)
		elapsed += wait
		if !plan.Escalate(i, outcome, time.Hour) {
			return elapsed
		}
	}
	return elapsed
}

// deliver schedules a rating to reach the chooser in the given number of seconds.
func (s *simulation) deliver(after float64, rating cascade.Rating) {
	heap.Push(&s.pending, event{s.clock.Now().Add(seconds(after)), rating})
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// totals holds request counts and summed quality by kind, and the total cost and
// number of requests.
type totals struct {
	count, quality []float64
	cost, n        float64
}

func sum(records []record) totals {
	t := totals{count: make([]float64, len(kindsBeforeShift)), quality: make([]float64, len(kindsBeforeShift))}
	for _, r := range records {
		t.count[r.kind]++
		t.quality[r.kind] += r.value.quality
		t.cost += r.value.cost
		t.n++
	}
	return t
}

// achieved returns the mean quality over all requests.
func (t totals) achieved() float64 {
	total := 0.0
	for _, q := range t.quality {
		total += q
	}
	return total / t.n
}

// ratio returns the cost relative to the oracle's cost. For each kind the oracle
// must reach the achieved quality or the target, whichever is higher.
func (t totals) ratio(kinds []kind, targets []float64) float64 {
	weights, required := make([]float64, len(kinds)), make([]float64, len(kinds))
	for i := range kinds {
		weights[i] = t.count[i] / t.n
		required[i] = targets[i]
		if t.count[i] > 0 {
			required[i] = max(required[i], t.quality[i]/t.count[i])
		}
	}
	return t.cost / t.n / oracleCost(kinds, weights, required, float64(ratingsPerSecond)/requestsPerSecond)
}

// uniform returns the same target for every kind.
func uniform(target float64) []float64 {
	targets := make([]float64, len(kindsBeforeShift))
	for i := range targets {
		targets[i] = target
	}
	return targets
}

// Run returns all measures of the package cascade.
func Run() []measure.Line {
	n := len(seeds)
	ratio, bestVersionRatio, quality := make([]float64, n), make([]float64, n), make([]float64, n)
	p95Ratio, vsBest := make([]float64, n), make([]float64, n)
	forEachSeed(func(i int, seed uint64) {
		s := newSimulation(seed, cascade.Config{}, uniform(qualityTarget))
		s.run(kindsBeforeShift, requests)
		t := sum(s.records)
		ratio[i] = t.ratio(kindsBeforeShift, s.targets)
		bestVersionRatio[i] = ratio[i] * engines[len(engines)-1].cost / (t.cost / t.n)
		quality[i] = t.achieved()
		p95Ratio[i] = worstP95Ratio(s.records)
		vsBest[i] = costVsBestVersion(seed)
	})
	one, oneBaseline := recoveries(kindsOneVersion)
	two, twoBaseline := recoveries(kindsTwoVersions)
	return []measure.Line{
		{Name: "cascade_cost_vs_oracle", Baseline: measure.Mean(bestVersionRatio), Value: worst(ratio), Target: 1.10},
		{Name: "cascade_cost_vs_best_model", Baseline: 1, Value: worst(vsBest), Target: 0.7},
		{Name: "cascade_quality", Baseline: bestVersionQuality(), Value: measure.Quantile(quality, 0), Target: qualityTarget, Bound: measure.AtLeast},
		{Name: "cascade_p95_within_deadline", Baseline: bestVersionP95Ratio(), Value: worst(p95Ratio), Target: 1},
		{Name: "cascade_shift_recovery", Baseline: oneBaseline, Value: one, Target: 500},
		{Name: "cascade_shift_recovery_two_versions", Baseline: twoBaseline, Value: two, Target: 500},
	}
}
