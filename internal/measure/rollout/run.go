// Package rollout measures the detection of bad versions in virtual time.
//
// Exposure is the number of requests of the class, rated or not and including
// those in flight, that are sent to the version from the drop of its pass rate
// until the last host has the verdict. The small share of traffic that the
// version keeps receiving by design after the verdict is not counted.
package rollout

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/measure"
	"github.com/corianderlever/corianderlever/rollout"
)

const (
	trials = 200
	// A drop of smallDrop must be detected within smallDropAnswers rated answers.
	smallDropTrials  = 100
	smallDropAnswers = 4000
	smallDrop        = 0.05
	// falseAlarmWorkers simulate falseAlarmHours hours of a good version each, at
	// the full rating limit. The hours include learning the reference pass rate.
	falseAlarmWorkers = 20
	falseAlarmHours   = 1500
)

// exposures returns the exposure of each trial, and the share of requests that
// were diverted to another version before the drop, over all trials.
func exposures(hosts int, share float64, learnedVersion string) (exposed []float64, divertedShare float64) {
	results := make([]trial, trials)
	var wg sync.WaitGroup
	for worker := range falseAlarmWorkers {
		wg.Go(func() {
			for i := worker; i < trials; i += falseAlarmWorkers {
				t := newTrial(uint64(1000+i), hosts, share, learnedVersion)
				t.run(goodRate, warmUpSeconds)
				results[i].diverted, results[i].served = t.diverted, t.served
				t.exposed = 0
				t.run(badRate, warmUpSeconds+horizonSeconds)
				results[i].exposed = t.exposed
			}
		})
	}
	wg.Wait()
	diverted, served := 0, 0
	for _, r := range results {
		exposed = append(exposed, float64(r.exposed))
		diverted += r.diverted
		served += r.served
	}
	return exposed, float64(diverted) / float64(served)
}

// smallDropDetected returns the share of trials in which a drop of smallDrop is
// detected within smallDropAnswers rated answers.
func smallDropDetected() float64 {
	detected := make([]bool, smallDropTrials)
	var wg sync.WaitGroup
	for i := range smallDropTrials {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(i), 5))
			d := newDetector()
			feed(d, rnd, learnedAnswers, goodRate)
			feed(d, rnd, smallDropAnswers, goodRate-smallDrop)
			detected[i] = d.State(version, kind).Suspect || len(d.Verdicts()) > 0
		})
	}
	wg.Wait()
	count := 0.0
	for _, f := range detected {
		if f {
			count++
		}
	}
	return count / smallDropTrials
}

func newDetector() *rollout.Detector {
	d := rollout.NewDetector(rollout.Config{Host: "a", RatingsPerHour: ratingsPerHour}, clockwork.NewFakeClockAt(time.Unix(0, 0)))
	if err := d.Declare(version, goodRate, ""); err != nil {
		panic(err)
	}
	return d
}

// feed gives the detector n ratings with the given pass rate.
func feed(d *rollout.Detector, rnd *rand.Rand, n int, rate float64) {
	for range n {
		d.Observe(version, kind, rnd.Float64() < rate)
	}
}

// falseAlarms returns the number of verdicts against a good version per 10,000
// version-hours.
func falseAlarms() float64 {
	alarms := make([]int64, falseAlarmWorkers)
	var wg sync.WaitGroup
	for i := range falseAlarmWorkers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(i), 6))
			d := newDetector()
			feed(d, rnd, falseAlarmHours*ratingsPerHour, goodRate)
			for _, v := range d.Verdicts() {
				// The epoch increments with each verdict: odd epochs are alarms,
				// even epochs are recoveries.
				alarms[i] += (v.Epoch + 1) / 2
			}
		})
	}
	wg.Wait()
	total := int64(0)
	for _, n := range alarms {
		total += n
	}
	return float64(total) * 10000 / (falseAlarmWorkers * falseAlarmHours)
}

// Run returns all measures of the package rollout. The baseline of the exposures
// is the number of requests up to the horizon without any detection.
func Run() []measure.Line {
	const limit = 60
	unprotected := float64(requestsPerSecond * horizonSeconds)
	oneHost, _ := exposures(1, 1, version)
	sevenHosts, _ := exposures(7, 1, version)
	haltedRollout, _ := exposures(7, 0.5, predecessor)
	return []measure.Line{
		{Name: "badversion_exposure_0.9_to_0.5", Baseline: unprotected, Value: measure.Mean(oneHost), Target: limit},
		{Name: "badversion_exposure_0.9_to_0.5_p95", Baseline: unprotected, Value: measure.Quantile(oneHost, 0.95), Target: limit},
		{Name: "badversion_small_fall_detected", Baseline: 0, Value: smallDropDetected(), Target: 0.95, Bound: measure.AtLeast},
		{Name: "badversion_false_alarms", Baseline: 0, Value: falseAlarms(), Target: 1},
		{Name: "badversion_exposure_7_hosts", Baseline: unprotected, Value: measure.Mean(sevenHosts), Target: limit},
		{Name: "badversion_during_halted_rollout", Baseline: unprotected / 2, Value: measure.Mean(haltedRollout), Target: limit},
	}
}
