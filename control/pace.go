package control

import (
	"time"

	"github.com/corianderlever/corianderlever/rollout"
)

const (
	// slowFactor is how many times longer than usual a slow answer takes.
	slowFactor = 3
	// slowFloor is the time below which no answer is slow, and the allowance
	// beside the expected time for what the expectation leaves out.
	slowFloor = 150 * time.Millisecond
	// paceGain is the weight of one answer in the usual pace.
	paceGain = 0.02
	// paceSamples is the number of answers from which the usual pace is known.
	paceSamples = 20
)

// pace tells answers that take several times as long as usual, relative to what
// was expected of them. It follows the mean of the answers of the versions that
// are not on trial.
type pace struct {
	mean    float64
	samples int
}

func newPace() *pace { return &pace{} }

// relative returns the time of an answer in units of what was expected.
func relative(o rollout.Observation) float64 {
	return o.Latency.Seconds() / (o.ExpectedLatency + slowFloor).Seconds()
}

func (p *pace) observe(o rollout.Observation) {
	p.samples++
	gain := max(paceGain, 1/float64(p.samples))
	p.mean += gain * (relative(o) - p.mean)
}

// slow reports whether an answer took several times as long as usual.
func (p *pace) slow(o rollout.Observation) bool {
	return p.samples >= paceSamples && o.Latency > slowFloor && relative(o) > slowFactor*p.mean
}
