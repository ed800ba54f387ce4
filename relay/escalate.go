package relay

import (
	"strconv"
	"time"

	"github.com/corianderlever/corianderlever/cascade"
	"github.com/corianderlever/corianderlever/limiter"
)

// maxWaitFraction is the fraction of its route's target latency that a request may
// wait before prefill. A backlog of this length counts as a pressure of 1.
const maxWaitFraction = 0.25

// pressure returns the backlog of the engines relative to the longest acceptable wait,
// maxWaitFraction of the route's target latency. It is 0 for a route without a target.
func (j *job) pressure() float64 {
	if j.route.TargetLatency <= 0 {
		return 0
	}
	backlog := j.pool.engines.MeanBacklog(j.version, j.enginePriority)
	return backlog.Seconds() / (maxWaitFraction * j.route.TargetLatency.Seconds())
}

// escalate switches to a larger model if the smaller one reports low confidence
// in its answer and the engines have room. It reports whether the current answer,
// none of which has been sent to the caller, is dropped.
func (j *job) escalate(sl *slot) bool {
	if j.headerSent || j.headerSentBefore || j.modelIndex >= len(j.route.Models)-1 || j.possibleRuns >= j.route.MaxAttempts {
		return false
	}
	policy := cascade.EscalationPolicy{Models: len(j.route.Models)}
	state := cascade.EscalationInput{Model: j.modelIndex, Confidence: j.confidence, Pressure: j.pressure(), TimeLeft: j.remaining()}
	for _, model := range j.route.Models {
		state.ExpectedTimes = append(state.ExpectedTimes, j.answerTime(model))
	}
	next, escalate := policy.Next(state)
	if !escalate || !j.pool.takeRetry() {
		return false
	}
	j.addStep(sl.endpoint.ID, j.model, "confidence", strconv.Itoa(j.confidence), "pressure", strconv.FormatFloat(state.Pressure, 'f', 2, 64), "escalated")
	j.count("escalated")
	sl.recordFirstByte()
	sl.release(limiter.OutcomeOK)
	j.modelIndex, j.model = next, j.route.Models[next]
	return true
}

// answerTime returns the expected time until a model has finished the answer,
// including the wait for an engine.
func (j *job) answerTime(model string) time.Duration {
	e := j.pool.engines
	return e.MeanBacklog(j.version, j.enginePriority) + e.PrefillTime(model, j.req.unsharedTokens()) + time.Duration(j.expectedEvents())*e.EventGap(model)
}

// expectedEvents returns the expected number of events of the answer.
func (j *job) expectedEvents() int {
	return j.expectedTokens() / max(1, j.service.Engine.TokensPerEvent)
}

// expectedTokens returns the expected length of the answer in tokens.
func (j *job) expectedTokens() int {
	if j.req.OutputHint > 0 {
		return j.req.OutputHint
	}
	return j.req.MaxOutputTokens / 2
}
