package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/internal/drain"
	"github.com/corianderlever/corianderlever/internal/runlease"
)

// Reasons of error responses to requests whose contexts have ended.
const (
	reasonCallerLeft = "caller_left"
	reasonDeadline   = "deadline"
	// reasonLeaseEnded is that of another host's request on which this one has lost its lease.
	reasonLeaseEnded = "lease_ended"
	// ReasonHostStopping is that of a request which was cut at the end of a stop.
	ReasonHostStopping = "host_stopping"
)

// endReason returns the reason for which the context of a request has ended.
func endReason(ctx context.Context) string {
	switch {
	case context.Cause(ctx) == context.DeadlineExceeded:
		return reasonDeadline
	case drain.Stopping(ctx):
		return ReasonHostStopping
	case errors.Is(context.Cause(ctx), runlease.ErrEnded):
		return reasonLeaseEnded
	}
	return reasonCallerLeft
}

// finish logs and counts the end of the request and sends the error response, if
// there is one. It aborts the connection by a panic if that is no longer possible.
func (j *job) finish(ctx context.Context, errResp *ErrorResponse) {
	outcome, status, detail, retryAfter := outcomeAnswered, j.status, "", time.Duration(0)
	if errResp != nil {
		outcome, status, detail, retryAfter = errResp.Reason, errResp.Status, errResp.Detail, errResp.RetryAfter
	}
	callerGone := ctx.Err() != nil && !drain.Stopping(ctx)
	if errResp != nil && (callerGone || outcome == reasonCallerLeft) {
		outcome = endReason(ctx)
	}
	if outcome == reasonCallerLeft {
		detail = j.explainCallerLeft(ctx, detail)
	}
	took := j.relay.Clock.Since(j.arrived)
	j.log(outcome, status, detail, took, retryAfter)
	j.observeDuration(outcome, took)
	if j.from == "" {
		j.countRequest(outcome, errResp == nil, took)
	} else if j.pool != nil {
		j.relay.metrics.served.WithLabelValues(j.pool.service, outcome).Inc()
	}
	if errResp == nil {
		return
	}
	if j.headerSent || callerGone {
		// The header has been sent or the caller has disconnected, so only an
		// aborted connection can signal that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	j.markAnswer(errResp.Reason, errResp.Detail)
	errResp.Write(j.w)
}

// explainCallerLeft adds to a detail what the connection of the caller has reported, because
// the context of a request ends in the same way whether the caller has closed the connection
// or this host can't read it any more.
func (j *job) explainCallerLeft(ctx context.Context, detail string) string {
	if err := drain.ReadError(ctx); err != nil {
		return detail + "; connection: " + err.Error()
	}
	return detail
}

// observeDuration records how long a request has lasted that was served to its end or to
// its deadline.
func (j *job) observeDuration(outcome string, took time.Duration) {
	served := outcome == outcomeAnswered && j.status < http.StatusBadRequest
	if j.route != nil && (served || outcome == reasonDeadline) {
		j.relay.durations.observe(keyOf(j.route.Name, j.req), took)
	}
}

// countRequest counts the end of a request of a caller.
func (j *job) countRequest(outcome string, answered bool, took time.Duration) {
	m := j.relay.metrics
	team, priority := j.team, strconv.Itoa(j.priority)
	m.requests.WithLabelValues(team, priority, outcome).Inc()
	if answered {
		m.firstByte.WithLabelValues(team, priority).Observe(j.firstByte.Seconds())
		m.duration.WithLabelValues(team, priority).Observe(took.Seconds())
	}
}

// log writes the request's log line with its decisions and its outcome.
func (j *job) log(outcome string, status int, detail string, took, retryAfter time.Duration) {
	age, _ := j.relay.Config.Age()
	routeName, configVersion := "", int64(0)
	if j.route != nil {
		routeName = j.route.Name
	}
	if j.table != nil {
		configVersion = j.table.Version()
	}
	j.relay.Logger.Info("request", "request", j.req.ID, "from", j.from, "route", routeName, "team", j.team, "priority", j.priority,
		"outcome", outcome, "status", status, "detail", detail, "steps", j.steps.String(), "runs", j.possibleRuns,
		"tokens", j.req.PromptTokens, "first_ms", j.firstByte.Milliseconds(), "gap_ms", j.longestEventGap.Milliseconds(), "took_ms", took.Milliseconds(),
		"left_ms", j.remaining().Milliseconds(), "load", strconv.FormatFloat(j.serviceLoad, 'f', 2, 64), "retry_after_ms", retryAfter.Milliseconds(), "config", configVersion, "config_age_ms", age.Milliseconds())
}
