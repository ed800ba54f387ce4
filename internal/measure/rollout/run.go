// Package rollout measures the detection of bad versions in virtual time.
//
// Exposure counts every request of the class sent to the version from the fall
// until the last host knows the verdict, rated or not, including those in
// flight. The trickle that continues by design afterwards is not in it.
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
	// smallTrials and smallAnswers are the stated terms for a fall of 0.05.
	smallTrials  = 100
	smallAnswers = 4000
	smallFall    = 0.05
	// falseAlarmWorkers simulate falseAlarmHours good version-hours each, at
	// the full rating limit, learning of the reference included.
	falseAlarmWorkers = 20
	falseAlarmHours   = 1500
)

// exposures returns the requests exposed and the share of good requests moved
// elsewhere before the fall, for each trial.
func exposures(hosts int, share float64, learn string) (exposed []float64, limited float64) {
	results := make([]trial, trials)
	var wg sync.WaitGroup
	for worker := range falseAlarmWorkers {
		wg.Go(func() {
			for i := worker; i < trials; i += falseAlarmWorkers {
				t := newTrial(uint64(1000+i), hosts, share, learn)
				t.run(goodRate, warmUpSeconds)
				results[i].limited, results[i].served = t.limited, t.served
				t.exposed = 0
				t.run(badRate, warmUpSeconds+horizonSeconds)
				results[i].exposed = t.exposed
			}
		})
	}
	wg.Wait()
	moved, served := 0, 0
	for _, r := range results {
		exposed = append(exposed, float64(r.exposed))
		moved += r.limited
		served += r.served
	}
	return exposed, float64(moved) / float64(served)
}

// smallFallFound returns the share of trials in which a fall of 0.05 is found
// within smallAnswers rated answers.
func smallFallFound() float64 {
	found := make([]bool, smallTrials)
	var wg sync.WaitGroup
	for i := range smallTrials {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(i), 5))
			d := newDetector()
			feed(d, rnd, learnedAnswers, goodRate)
			feed(d, rnd, smallAnswers, goodRate-smallFall)
			found[i] = d.State(version, kind).Suspect || len(d.Verdicts()) > 0
		})
	}
	wg.Wait()
	count := 0.0
	for _, f := range found {
		if f {
			count++
		}
	}
	return count / smallTrials
}

func newDetector() *rollout.Detector {
	d := rollout.NewDetector(rollout.Config{Host: "a", RatingsPerHour: ratingsPerHour}, clockwork.NewFakeClockAt(time.Unix(0, 0)))
	if err := d.Declare(version, goodRate, ""); err != nil {
		panic(err)
	}
	return d
}

func feed(d *rollout.Detector, rnd *rand.Rand, n int, rate float64) {
	for range n {
		d.Observe(version, kind, rnd.Float64() < rate)
	}
}

// falseAlarms returns the verdicts on a good version per 10,000 version-hours.
func falseAlarms() float64 {
	alarms := make([]int64, falseAlarmWorkers)
	var wg sync.WaitGroup
	for i := range falseAlarmWorkers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(i), 6))
			d := newDetector()
			feed(d, rnd, falseAlarmHours*ratingsPerHour, goodRate)
			for _, v := range d.Verdicts() {
				// Odd epochs are alarms, even ones recoveries.
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

// Run measures the package rollout.
func Run() []measure.Line {
	const limit = 60
	unprotected := float64(requestsPerSecond * horizonSeconds)
	single, _ := exposures(1, 1, version)
	pooled, _ := exposures(7, 1, version)
	halted, _ := exposures(7, 0.5, predecessor)
	return []measure.Line{
		{Name: "badversion_exposure_0.9_to_0.5", Baseline: unprotected, Value: measure.Mean(single), Target: limit},
		{Name: "badversion_exposure_0.9_to_0.5_p95", Baseline: unprotected, Value: measure.Quantile(single, 0.95), Target: limit},
		{Name: "badversion_small_fall_detected", Baseline: 0, Value: smallFallFound(), Target: 0.95, Bound: measure.AtLeast},
		{Name: "badversion_false_alarms", Baseline: 0, Value: falseAlarms(), Target: 1},
		{Name: "badversion_exposure_7_hosts", Baseline: unprotected, Value: measure.Mean(pooled), Target: limit},
		{Name: "badversion_during_halted_rollout", Baseline: unprotected / 2, Value: measure.Mean(halted), Target: limit},
	}
}
