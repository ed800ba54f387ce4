package control

import (
	"time"

	"github.com/corianderlever/corianderlever/rollout"
)

const (
	// slowFactor is the multiple of the usual time above which an answer is slow.
	slowFactor = 3
	// minSlowTime is the time up to which no answer is slow. It is also added to
	// the expected time, for delays that the estimate leaves out.
	minSlowTime = 150 * time.Millisecond
	// baselineGain is the weight of one answer in the moving average.
	baselineGain = 0.02
	// minBaselineSamples is the number of answers before any answer is called slow.
	minBaselineSamples = 20
)

// latencyBaseline detects answers that take several times as long as usual. It
// keeps an exponentially weighted moving average of the time relative to the
// expected time, over the versions that are not the target of a roll-out.
type latencyBaseline struct {
	mean    float64
	samples int
}

func newLatencyBaseline() *latencyBaseline { return &latencyBaseline{} }

// relativeLatency returns the time of an answer as a multiple of the expected time.
func relativeLatency(o rollout.Observation) float64 {
	return o.Latency.Seconds() / (o.ExpectedLatency + minSlowTime).Seconds()
}

func (b *latencyBaseline) observe(o rollout.Observation) {
	b.samples++
	gain := max(baselineGain, 1/float64(b.samples))
	b.mean += gain * (relativeLatency(o) - b.mean)
}

// slow reports whether an answer took more than slowFactor times the usual time.
func (b *latencyBaseline) slow(o rollout.Observation) bool {
	return b.samples >= minBaselineSamples && o.Latency > minSlowTime && relativeLatency(o) > slowFactor*b.mean
}
