package control

import (
	"time"
)

const (
	// slowFactor is how many times longer than usual a slow answer takes.
	slowFactor = 3
	// slowFloor is the time below which no answer is slow.
	slowFloor = 150 * time.Millisecond
	// paceGain is the weight of one answer in the usual time.
	paceGain = 0.02
	// paceSamples is the number of answers from which the usual time is known.
	paceSamples = 20
)

// pace tells answers that take several times as long as usual. It follows the
// mean of the answers of the versions that are not on trial.
type pace struct {
	mean    float64 // seconds
	samples int
}

func newPace() *pace { return &pace{} }

func (p *pace) observe(took time.Duration) {
	p.samples++
	gain := max(paceGain, 1/float64(p.samples))
	p.mean += gain * (took.Seconds() - p.mean)
}

// slow reports whether an answer took several times as long as usual.
func (p *pace) slow(took time.Duration) bool {
	return p.samples >= paceSamples && took > slowFloor && took.Seconds() > slowFactor*p.mean
}
