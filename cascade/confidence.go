package cascade

import "time"

// EscalationPolicy decides, from a model's own opinion of its answer, whether to keep the
// answer or to ask a larger model. It needs no rating service: the opinion comes
// with the answer's header, before any of it has been passed on.
type EscalationPolicy struct {
	// Models is the number of models, from the smallest to the largest.
	Models int
}

// EscalationInput is what the decision about one answer depends on.
type EscalationInput struct {
	// Model is the index of the model that answered.
	Model int
	// Confidence is its opinion of the answer, 0 to 100; negative if not given.
	Confidence int
	// Pressure is the load of the engines: 0 when idle, 1 when waiting takes as
	// long as the callers can bear.
	Pressure float64
	// TimeLeft is the time until the caller gives up, and ExpectedTimes the time that each
	// model is expected to take, from the smallest to the largest.
	TimeLeft      time.Duration
	ExpectedTimes []time.Duration
}

const (
	// keepIdle is the confidence from which an answer is kept on idle engines,
	// keepLoaded the one at full pressure. Opinions scatter by about ten points
	// around the truth; below even odds a larger model is worth its time unless
	// it takes the place of other requests.
	keepIdle, keepLoaded = 52, 40
	// keepOverloaded is the confidence from which an answer is kept when the
	// engines have twice the work that they can do.
	keepOverloaded = 25
	// keepAll is the pressure from which every answer is kept: a larger model then
	// takes the time in which the engines could begin with two other requests.
	keepAll = 4
	// overtime is how many times the time left a model may be expected to need:
	// expectations are wide, and only hopeless attempts are not made.
	overtime = 2
)

// Threshold returns the confidence from which an answer is kept at a pressure.
func (l EscalationPolicy) Threshold(pressure float64) float64 {
	switch {
	case pressure <= 0:
		return keepIdle
	case pressure <= 1:
		return keepIdle - pressure*(keepIdle-keepLoaded)
	case pressure <= 2:
		return keepLoaded - (pressure-1)*(keepLoaded-keepOverloaded)
	case pressure <= keepAll:
		return keepOverloaded * (keepAll - pressure) / (keepAll - 2)
	}
	return 0
}

// Next returns the model to ask instead, or false to keep the answer. It is the
// largest that is expected to finish in time: a poor answer is better than one
// that is cut.
func (l EscalationPolicy) Next(s EscalationInput) (model int, escalate bool) {
	if s.Confidence < 0 || float64(s.Confidence) >= l.Threshold(s.Pressure) {
		return s.Model, false
	}
	for next := l.Models - 1; next > s.Model; next-- {
		if next < len(s.ExpectedTimes) && s.ExpectedTimes[next] <= s.TimeLeft*overtime {
			return next, true
		}
	}
	return s.Model, false
}
