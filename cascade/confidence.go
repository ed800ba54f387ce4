package cascade

import "time"

// EscalationPolicy decides, from the confidence that a model reports for its
// answer, whether to keep the answer or to escalate to a larger model. It needs no
// rating service: the confidence is in the header of the answer, which arrives
// before any of the answer has been passed on.
type EscalationPolicy struct {
	// Models is the number of models, which are indexed from the smallest to the
	// largest.
	Models int
}

// EscalationInput holds the inputs of the decision about one answer.
type EscalationInput struct {
	// Model is the index of the model that answered.
	Model int
	// Confidence is the confidence reported for the answer, 0 to 100; negative if
	// the model reported none.
	Confidence int
	// Pressure is the load of the engines: 0 when idle, 1 when requests wait for
	// as long as their latency target allows.
	Pressure float64
	// TimeLeft is the time until the deadline. ExpectedTimes holds the expected
	// time to a complete answer of each model, from the smallest to the largest.
	TimeLeft      time.Duration
	ExpectedTimes []time.Duration
}

const (
	// thresholdIdle is the escalation threshold at pressure 0, and thresholdLoaded
	// the threshold at pressure 1. A reported confidence is off by about ten points. When
	// the answer is more likely poor than good, a larger model is worth its time
	// unless it displaces other requests.
	thresholdIdle, thresholdLoaded = 52, 40
	// thresholdOverloaded is the escalation threshold at pressure 2, when the
	// engines have twice the work that they can do.
	thresholdOverloaded = 25
	// maxPressure is the pressure from which on no answer is escalated: a larger model
	// would take the time in which the engines could begin two other requests.
	maxPressure = 4
	// timeLeftFactor is the largest ratio of expected time to time left for an
	// escalation. It is above 1 because the expected times are imprecise: only
	// models that have no chance to finish in time are ruled out.
	timeLeftFactor = 2
)

// Threshold returns the escalation threshold at a pressure: answers with at least
// this confidence are kept.
func (p EscalationPolicy) Threshold(pressure float64) float64 {
	switch {
	case pressure <= 0:
		return thresholdIdle
	case pressure <= 1:
		return thresholdIdle - pressure*(thresholdIdle-thresholdLoaded)
	case pressure <= 2:
		return thresholdLoaded - (pressure-1)*(thresholdLoaded-thresholdOverloaded)
	case pressure <= maxPressure:
		return thresholdOverloaded * (maxPressure - pressure) / (maxPressure - 2)
	}
	return 0
}

// Next returns the model to escalate to, or false to keep the answer. It chooses
// the largest model whose expected time is at most timeLeftFactor times the time
// left, since a poor answer is better than one cut off at the deadline.
func (p EscalationPolicy) Next(in EscalationInput) (model int, escalate bool) {
	if in.Confidence < 0 || float64(in.Confidence) >= p.Threshold(in.Pressure) {
		return in.Model, false
	}
	for next := p.Models - 1; next > in.Model; next-- {
		if next < len(in.ExpectedTimes) && in.ExpectedTimes[next] <= in.TimeLeft*timeLeftFactor {
			return next, true
		}
	}
	return in.Model, false
}
