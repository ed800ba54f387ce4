// Package cascade measures the choice of plans in virtual time against a
// chooser that knows the true pass rates and against always using the best
// version. Costs and qualities are exact expectations of the plans chosen, so
// the figures carry no sampling noise from the answers themselves.
package cascade

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/cascade"
	"github.com/corianderlever/corianderlever/internal/measure"
)

// requests is the length of one run.
const requests = 20000

var seeds = []uint64{11, 22, 33, 44, 55, 66}

// record is one request as it was planned.
type record struct {
	kind    int
	value   value
	latency float64
	// rated is the number of ratings that had arrived before the request.
	rated int
}

// event is a rating on its way back.
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

// simulation is one run of a chooser over the simulated deployment.
type simulation struct {
	clock   *clockwork.FakeClock
	rnd     *rand.Rand
	chooser *cascade.Chooser
	pending events
	rated   int
	// targets are the quality targets by kind.
	targets []float64
	records []record
}

func newSimulation(seed uint64, cfg cascade.Config, targets []float64) *simulation {
	for _, k := range kindsBefore {
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

// run plays count requests with the given true pass rates.
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

// execute draws the outcome of one plan and returns its latency in seconds.
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

func (s *simulation) deliver(after float64, rating cascade.Rating) {
	heap.Push(&s.pending, event{s.clock.Now().Add(seconds(after)), rating})
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// totals sums records by kind.
type totals struct {
	count, quality []float64
	cost, n        float64
}

func sum(records []record) totals {
	t := totals{count: make([]float64, len(kindsBefore)), quality: make([]float64, len(kindsBefore))}
	for _, r := range records {
		t.count[r.kind]++
		t.quality[r.kind] += r.value.quality
		t.cost += r.value.cost
		t.n++
	}
	return t
}

// achieved is the mean quality over all requests.
func (t totals) achieved() float64 {
	total := 0.0
	for _, q := range t.quality {
		total += q
	}
	return total / t.n
}

// ratio is the cost relative to the oracle's at the same quality of each kind,
// but at least the target.
func (t totals) ratio(kinds []kind, targets []float64) float64 {
	weights, at := make([]float64, len(kinds)), make([]float64, len(kinds))
	for i := range kinds {
		weights[i] = t.count[i] / t.n
		at[i] = targets[i]
		if t.count[i] > 0 {
			at[i] = max(at[i], t.quality[i]/t.count[i])
		}
	}
	return t.cost / t.n / oracleCost(kinds, weights, at, float64(ratingsPerSecond)/requestsPerSecond)
}

// uniform returns the same target for every kind.
func uniform(target float64) []float64 {
	targets := make([]float64, len(kindsBefore))
	for i := range targets {
		targets[i] = target
	}
	return targets
}

// Run measures the package cascade.
func Run() []measure.Line {
	n := len(seeds)
	ratio, always, quality := make([]float64, n), make([]float64, n), make([]float64, n)
	late, vsBest := make([]float64, n), make([]float64, n)
	forEachSeed(func(i int, seed uint64) {
		s := newSimulation(seed, cascade.Config{}, uniform(qualityTarget))
		s.run(kindsBefore, requests)
		t := sum(s.records)
		ratio[i] = t.ratio(kindsBefore, s.targets)
		always[i] = ratio[i] * engines[len(engines)-1].cost / (t.cost / t.n)
		quality[i] = t.achieved()
		late[i] = lateness(s.records)
		vsBest[i] = againstBest(seed)
	})
	one, onePlain := recoveries(kindsOneVersion)
	two, twoPlain := recoveries(kindsTwoVersions)
	return []measure.Line{
		{Name: "cascade_cost_vs_oracle", Baseline: measure.Mean(always), Value: worst(ratio), Target: 1.10},
		{Name: "cascade_cost_vs_best_model", Baseline: 1, Value: worst(vsBest), Target: 0.7},
		{Name: "cascade_quality", Baseline: bestRate(), Value: measure.Quantile(quality, 0), Target: qualityTarget, Bound: measure.AtLeast},
		{Name: "cascade_p95_within_deadline", Baseline: bestLateness(), Value: worst(late), Target: 1},
		{Name: "cascade_shift_recovery", Baseline: onePlain, Value: one, Target: 500},
		{Name: "cascade_shift_recovery_two_versions", Baseline: twoPlain, Value: two, Target: 500},
	}
}
