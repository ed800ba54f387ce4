// Package rollout finds versions that have turned bad and decides the steps of
// roll-outs. It does no I/O and is safe for concurrent use.
//
// # Test
//
// Every version and kind of request (a class) has a reference pass rate r. For
// each of several falls d the detector keeps a Shiryaev-Roberts statistic
//
//	M = (M + n) * L
//
// for every batch of n rated answers, where L is the likelihood ratio of the
// pass rate r-d against r. While the true rate is at least r, E[L] <= 1 for any
// rule that decided which answers were rated, so M minus the number of rated
// answers is a supermartingale, and so is the weighted sum S of the falls'
// statistics. The statistic restarts itself with every answer, so a fall is
// found whenever it happens, and after a verdict or a recovery it starts at
// zero again.
//
// # Threshold
//
// By Doob's inequality S reaches the threshold b within n rated answers of a
// good class with a probability of at most n/b, counted from any restart. All
// classes of a version share its limit of RatingsPerHour rated answers over all
// hosts, so a good version has at most RatingsPerHour/b false alarms an hour.
// With b = FalseAlarmHours * RatingsPerHour that is one in FalseAlarmHours
// version-hours, whatever the number of classes and restarts. The hosts compute
// S from the same pooled answers, so they are not independent tests; the
// different order in which they see the answers is not accounted for.
package rollout

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports a summary, declaration or roll-out out of range.
var ErrInvalid = errors.New("rollout: invalid input")

// Config sets up a Detector. Zero fields take the defaults.
type Config struct {
	// Host names this host in summaries.
	Host string
	// Incarnation distinguishes restarts of the host; it only rises.
	Incarnation int64
	// FalseAlarmHours is the number of good version-hours per false alarm
	// (default 10,000).
	FalseAlarmHours float64
	// RatingsPerHour bounds the rated answers of one version in an hour, over
	// all hosts (default 7,200). The caller enforces it.
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

// fall is one alternative of the mixture.
type fall struct{ size, weight float64 }

// falls are the alternatives. Most weight is on the large fall, where a few
// answers count; a small fall has 4,000 answers to be found in.
var falls = [...]fall{{0.4, 0.7}, {0.15, 0.2}, {0.05, 0.1}}

// lowestRate keeps likelihood ratios finite for references near the ends.
const lowestRate = 0.01

func clampRate(p float64) float64 { return min(1-lowestRate, max(lowestRate, p)) }

// factors are the likelihood ratios of one answer.
type factors struct{ pass, fail float64 }

func ratio(alternative, null float64) factors {
	alternative, null = clampRate(alternative), clampRate(null)
	return factors{pass: alternative / null, fail: (1 - alternative) / (1 - null)}
}

// maxEvidence keeps the statistics finite.
const maxEvidence = 1e100

// advance applies a batch of answers to one Shiryaev-Roberts statistic.
func advance(m float64, f factors, pass, fail uint64) float64 {
	if pass+fail == 1 {
		if pass == 1 {
			return (m + 1) * f.pass
		}
		return min(maxEvidence, (m+1)*f.fail)
	}
	log := float64(pass)*math.Log(f.pass) + float64(fail)*math.Log(f.fail)
	return min(maxEvidence, (m+float64(pass+fail))*math.Exp(min(log, 200)))
}

// statistic is the mixture test of one class.
type statistic struct {
	reference float64
	ratios    [len(falls)]factors
	m         [len(falls)]float64
}

// setReference changes the null for the answers to come.
func (s *statistic) setReference(r float64) {
	s.reference = r
	for i, f := range falls {
		s.ratios[i] = ratio(r-f.size, r)
	}
}

func (s *statistic) observe(pass, fail uint64) {
	for i := range s.m {
		s.m[i] = advance(s.m[i], s.ratios[i], pass, fail)
	}
}

func (s *statistic) evidence() float64 {
	sum := 0.0
	for i, f := range falls {
		sum += f.weight * s.m[i]
	}
	return sum
}

// likeliest returns the index of the fall with the most evidence.
func (s *statistic) likeliest() int {
	best := 0
	for i, f := range falls {
		if f.weight*s.m[i] > falls[best].weight*s.m[best] {
			best = i
		}
	}
	return best
}

func (s *statistic) reset() { s.m = [len(falls)]float64{} }

// Verdict is a change of a class between good and suspect.
type Verdict struct {
	// Version and Kind identify the class.
	Version string `json:"version"`
	Kind    string `json:"kind"`
	// Suspect tells whether the class is suspect now.
	Suspect bool `json:"suspect"`
	// Epoch counts the changes of the class; a higher one replaces a lower.
	// Odd epochs are suspect.
	Epoch int64 `json:"epoch"`
	// Reference is the pass rate the class was tested against.
	Reference float64 `json:"reference"`
	// Drop is the size of the fall with the most evidence.
	Drop float64 `json:"fall"`
	// Rated is the number of rated answers seen when the verdict fell here.
	Rated uint64 `json:"rated"`
	// At is this host's time of the verdict.
	At time.Time `json:"at"`
}
