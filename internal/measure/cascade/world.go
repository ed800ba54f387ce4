package cascade

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/corianderlever/corianderlever/cascade"
)

// Parameters of the simulated deployment.
const (
	requestsPerSecond = 20
	ratingsPerSecond  = 20
	// gateMissing is the share of gate ratings that do not arrive in time.
	gateMissing = 0.03
	// sampleMissing is the share of sample ratings that never arrive.
	sampleMissing = 0.3
	// sharedDifficulty is the share of requests on which the versions pass or
	// fail together, so escalations pass less often than first attempts.
	sharedDifficulty = 0.3
	qualityTarget    = 0.9
)

// kind is one kind of request. rates holds the true pass rate of each version.
type kind struct {
	name     string
	weight   float64
	deadline time.Duration
	rates    []float64
}

// engine is one simulated version.
type engine struct {
	name    string
	cost    float64
	prior   float64
	latency logNormal
}

// logNormal is a log-normal latency distribution. median is in seconds.
type logNormal struct{ median, sigma float64 }

func (l logNormal) mean() float64 { return l.median * math.Exp(l.sigma*l.sigma/2) }

func (l logNormal) p95() float64 { return l.median * math.Exp(1.6449*l.sigma) }

func (l logNormal) draw(rnd *rand.Rand) float64 {
	return l.median * math.Exp(l.sigma*rnd.NormFloat64())
}

var (
	ratingLatency = logNormal{0.2, 0.4}
	engines       = []engine{
		{"small", 1, 0.6, logNormal{0.4, 0.4}},
		{"medium", 4, 0.8, logNormal{0.9, 0.4}},
		{"large", 15, 0.95, logNormal{1.6, 0.4}},
	}
)

// kindsBeforeShift are the true pass rates before any shift.
var kindsBeforeShift = []kind{
	{"assessment", 0.3, 10 * time.Second, []float64{0.45, 0.75, 0.95}},
	{"quotation", 0.3, 8 * time.Second, []float64{0.85, 0.88, 0.96}},
	{"query", 0.3, 6 * time.Second, []float64{0.75, 0.92, 0.97}},
	{"urgent", 0.1, 3500 * time.Millisecond, []float64{0.6, 0.85, 0.94}},
}

// kindsOneVersion are the pass rates after a shift of the small version: better
// for assessments, worse for quotations.
var kindsOneVersion = []kind{
	{"assessment", 0.3, 10 * time.Second, []float64{0.80, 0.75, 0.95}},
	{"quotation", 0.3, 8 * time.Second, []float64{0.40, 0.88, 0.96}},
	kindsBeforeShift[2],
	kindsBeforeShift[3],
}

// kindsTwoVersions also makes the medium version worse for queries, where it is
// mostly the last step of a plan and therefore receives few ratings.
var kindsTwoVersions = []kind{
	kindsOneVersion[0],
	kindsOneVersion[1],
	{"query", 0.3, 6 * time.Second, []float64{0.75, 0.70, 0.97}},
	kindsBeforeShift[3],
}

// joint returns the probability that exactly the versions in steps with a set
// bit in mask pass.
func (k kind) joint(steps []int, mask int) float64 {
	independent, low, high := 1.0, 0.0, 1.0
	for i, v := range steps {
		p := k.rates[v]
		if mask&(1<<i) != 0 {
			independent *= p
			high = min(high, p)
		} else {
			independent *= 1 - p
			low = max(low, p)
		}
	}
	return sharedDifficulty*max(0, high-low) + (1-sharedDifficulty)*independent
}

// value holds the true expected quality, cost and number of ratings of a plan.
type value struct{ quality, cost, ratings float64 }

// evaluate computes the exact expectation of a plan over all outcomes.
func (k kind) evaluate(steps []int) value {
	var total value
	for mask := range 1 << len(steps) {
		probability := k.joint(steps, mask)
		reach := probability
		for i, v := range steps {
			passed := mask&(1<<i) != 0
			total.cost += reach * engines[v].cost
			if i == len(steps)-1 {
				if passed {
					total.quality += reach
				}
				break
			}
			total.ratings += reach
			if passed {
				total.quality += reach * (1 - gateMissing)
				reach *= gateMissing
			}
		}
	}
	return total
}

// draw returns for each version whether it would pass one request.
func (k kind) draw(rnd *rand.Rand) []bool {
	passed := make([]bool, len(k.rates))
	sharedOutcome, sharedDraw := rnd.Float64() < sharedDifficulty, rnd.Float64()
	for v, p := range k.rates {
		u := rnd.Float64()
		if sharedOutcome {
			u = sharedDraw
		}
		passed[v] = u < p
	}
	return passed
}

func candidates() []cascade.Candidate {
	list := make([]cascade.Candidate, len(engines))
	for i, e := range engines {
		list[i] = cascade.Candidate{
			Version: e.name, Cost: e.cost, PriorPassRate: e.prior,
			Latency: time.Duration(e.latency.mean() * float64(time.Second)),
		}
	}
	return list
}

func engineIndex(name string) int {
	for i, e := range engines {
		if e.name == name {
			return i
		}
	}
	return -1
}
