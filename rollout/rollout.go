// Package rollout detects versions whose pass rate has dropped and decides the
// steps of roll-outs. It does no I/O and is safe for concurrent use.
//
// # Test
//
// Every combination of version and kind of request (a class) has a reference
// pass rate r. For each of several drops d the detector keeps a Shiryaev-Roberts
// statistic, which every batch of n rated answers updates by
//
//	M = (M + n) * L
//
// where L is the likelihood ratio of the pass rate r-d against r. While the true
// rate is at least r, E[L] <= 1 for any rule by which answers were selected for
// rating. M minus the number of rated answers is therefore a supermartingale,
// and so is the same difference for the weighted sum S of the statistics of all
// drops. The term n treats every answer as a possible start of the drop, so a
// drop is detected whenever it occurs. After a verdict the statistics start at
// zero again.
//
// # Threshold
//
// By Doob's inequality S reaches the threshold b within n rated answers of a
// good class with a probability of at most n/b, counted from any reset. All
// classes of a version share its limit of RatingsPerHour rated answers over all
// hosts, so a good version has at most RatingsPerHour/b false alarms per hour.
// With b = FalseAlarmHours * RatingsPerHour this is one per FalseAlarmHours
// version-hours, for any number of classes and resets. The hosts compute S
// from the same pooled answers, so their tests are not independent. The bound
// does not account for the different order in which they receive the answers.
package rollout

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports that a summary, declaration or roll-out specification is
// out of range.
var ErrInvalid = errors.New("rollout: invalid input")

// Config configures a Detector. Zero values select the defaults.
type Config struct {
	// Host is the name of this host in summaries.
	Host string
	// Incarnation distinguishes restarts of the host. It must increase with
	// each restart.
	Incarnation int64
	// FalseAlarmHours is the number of hours that a good version runs per false
	// alarm (default 10,000).
	FalseAlarmHours float64
	// RatingsPerHour is the maximum number of rated answers of one version per
	// hour, over all hosts (default 7,200). The caller enforces it.
	RatingsPerHour float64
	// SuspectShare is the share of its requests that a suspect version keeps
	// (default 0.01).
	SuspectShare float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.FalseAlarmHours, 10000)
	setDefault(&c.RatingsPerHour, 7200)
	setDefault(&c.SuspectShare, 0.01)
	return c
}

func setDefault(field *float64, value float64) {
	if *field == 0 {
		*field = value
	}
}

// Threshold returns the evidence at which a version becomes suspect.
func (c Config) Threshold() float64 {
	c = c.withDefaults()
	return c.FalseAlarmHours * c.RatingsPerHour
}

// drop is one alternative hypothesis of the mixture test: a drop of the pass
// rate by size.
type drop struct{ size, weight float64 }

// drops are the alternative hypotheses. Most weight is on the large drop, which
// must be detected within few answers. A small drop may take 4,000 answers.
var drops = [...]drop{{0.4, 0.7}, {0.15, 0.2}, {0.05, 0.1}}

// minRate keeps likelihood ratios finite for reference rates near 0 and 1.
const minRate = 0.01

func clampRate(rate float64) float64 { return min(1-minRate, max(minRate, rate)) }

// likelihoodRatios are the factors by which one passed or failed answer changes
// the likelihood of an alternative against the null hypothesis.
type likelihoodRatios struct{ pass, fail float64 }

func newLikelihoodRatios(alternative, null float64) likelihoodRatios {
	alternative, null = clampRate(alternative), clampRate(null)
	return likelihoodRatios{pass: alternative / null, fail: (1 - alternative) / (1 - null)}
}

// maxEvidence keeps the statistics finite.
const maxEvidence = 1e100

// updateStatistic applies a batch of answers to one Shiryaev-Roberts statistic.
func updateStatistic(m float64, lr likelihoodRatios, pass, fail uint64) float64 {
	if pass+fail == 1 {
		if pass == 1 {
			return (m + 1) * lr.pass
		}
		return min(maxEvidence, (m+1)*lr.fail)
	}
	log := float64(pass)*math.Log(lr.pass) + float64(fail)*math.Log(lr.fail)
	return min(maxEvidence, (m+float64(pass+fail))*math.Exp(min(log, 200)))
}

// mixtureTest is the mixture test of one class.
type mixtureTest struct {
	reference float64
	ratios    [len(drops)]likelihoodRatios
	m         [len(drops)]float64
}

// setReference changes the null hypothesis for subsequent answers.
func (t *mixtureTest) setReference(r float64) {
	t.reference = r
	for i, d := range drops {
		t.ratios[i] = newLikelihoodRatios(r-d.size, r)
	}
}

func (t *mixtureTest) observe(pass, fail uint64) {
	for i := range t.m {
		t.m[i] = updateStatistic(t.m[i], t.ratios[i], pass, fail)
	}
}

func (t *mixtureTest) evidence() float64 {
	sum := 0.0
	for i, d := range drops {
		sum += d.weight * t.m[i]
	}
	return sum
}

// mostLikely returns the index of the drop with the most evidence.
func (t *mixtureTest) mostLikely() int {
	best := 0
	for i, d := range drops {
		if d.weight*t.m[i] > drops[best].weight*t.m[best] {
			best = i
		}
	}
	return best
}

func (t *mixtureTest) reset() { t.m = [len(drops)]float64{} }

// Verdict is the latest change of a class between good and suspect.
type Verdict struct {
	// Version and Kind identify the class.
	Version string `json:"version"`
	Kind    string `json:"kind"`
	// Suspect reports whether the class is currently suspect.
	Suspect bool `json:"suspect"`
	// Epoch counts the changes of the class. A verdict with a higher epoch
	// replaces one with a lower epoch. In odd epochs the class is suspect.
	Epoch int64 `json:"epoch"`
	// Reference is the pass rate against which the class was tested.
	Reference float64 `json:"reference"`
	// Drop is the size of the pass-rate drop with the most evidence.
	Drop float64 `json:"fall"`
	// Rated is the number of rated answers of all hosts that this host had
	// counted at the verdict.
	Rated uint64 `json:"rated"`
	// At is when this host recorded the verdict, by its own clock.
	At time.Time `json:"at"`
}
