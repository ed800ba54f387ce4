package relay

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/rollout"
	"github.com/corianderlever/corianderlever/upstream"
)

// attempt makes one attempt at an endpoint. It returns an error response if the
// request has failed. It returns nil with j.status set once the answer has been
// sent to the caller, and nil without it if another attempt may follow.
func (j *job) attempt(ctx context.Context) *ErrorResponse {
	if ctx.Err() != nil {
		return j.giveUp(endReason(ctx), "before an attempt", shortRetryAfter)
	}
	if errResp := j.recheck(); errResp != nil {
		return j.recheckFailed(errResp)
	}
	if errResp := j.checkCrashGuard(); errResp != nil {
		return j.giveUp(errResp.Reason, errResp.Detail, errResp.RetryAfter)
	}
	sl, errResp := j.chooseReachable(ctx)
	if sl == nil {
		return errResp
	}
	defer sl.release(limiter.OutcomeIgnored)
	j.addChoiceStep(sl)
	if errResp := j.checkRoom(sl); errResp != nil {
		return errResp
	}
	wait := j.relay.Permits.Acquire(ctx, sl.endpoint.ID)
	j.countColdPermit(sl, wait == 0)
	if wait > 0 {
		return j.handleDenial(sl, wait)
	}
	if sl.evacuated() {
		j.addStep(sl.endpoint.ID, j.model, "evacuated")
		return nil // the next attempt chooses another endpoint
	}
	if ctx.Err() != nil {
		return j.giveUp(endReason(ctx), "before an attempt was sent", shortRetryAfter)
	}
	if a := j.relay.Versions.Admit(j.pool.service, sl.endpoint.Version, j.point); !a.Admitted {
		return j.handleExposureLimit(ctx, sl, a)
	}
	sl.run = j.relay.Parts.Start(endpointStart(sl.endpoint), j.parts)
	defer j.endRun(sl)
	defer j.pool.paths.track(sl.endpoint.ID)()
	answer, err := j.send(ctx, sl)
	if err != nil {
		return j.handleSendError(ctx, sl, err)
	}
	defer answer.Close()
	return j.handleAnswer(ctx, sl, answer)
}

// send sends the request to the endpoint of the attempt and waits for the header of its
// answer.
func (j *job) send(ctx context.Context, sl *slot) (*upstream.Response, error) {
	defer j.pool.paths.watchSilence(sl)()
	j.addSendStep()
	answer, err := j.relay.Client.Do(ctx, sl.endpoint.Address, j.upstreamRequest(sl))
	if err != nil {
		return nil, err
	}
	j.pool.paths.received(sl.endpoint.ID)
	if !answer.Reused() {
		j.pool.paths.opened(sl.endpoint.ID)
	}
	return answer, nil
}

// maxDenials is the number of endpoints at their rate limits after which a request is
// rejected.
const maxDenials = 4

// handleDenial handles an endpoint that has reached its rate limit: another endpoint
// serves the request, which has not been sent.
func (j *job) handleDenial(sl *slot, wait time.Duration) *ErrorResponse {
	if j.relay.Permits.Cold(sl.endpoint.ID) {
		return j.handleColdDenial(sl)
	}
	j.addStep(sl.endpoint.ID, j.model, "limited")
	j.count("limited")
	sl.release(limiter.OutcomeIgnored)
	j.denials++
	if j.denials >= maxDenials {
		return j.giveUp("endpoints_limited", "too many endpoints at their limits", max(wait, shortRetryAfter))
	}
	return nil
}

// handleExposureLimit handles an attempt at a version to which this host may not send more
// requests yet. The request has not been sent: another version serves it, or another host
// that has a part of the exposure left.
func (j *job) handleExposureLimit(ctx context.Context, sl *slot, a rollout.Admission) *ErrorResponse {
	j.addStep(sl.endpoint.ID, sl.endpoint.Version, "exposure")
	j.count("exposure")
	sl.release(limiter.OutcomeIgnored)
	j.denials++
	if a.Instead != "" && j.denials < maxDenials {
		j.version, j.firstVersion = a.Instead, ""
		return nil
	}
	if a.Instead == "" && j.forwards < maxExposureForwards {
		if forwarded, errResp := j.forward(ctx); forwarded {
			return errResp
		}
	}
	if j.awaitExposure(ctx, a.RetryAfter) {
		return nil
	}
	return j.giveUp(reasonExposure, "version "+sl.endpoint.Version+" may get no more requests yet", max(a.RetryAfter, shortRetryAfter))
}

// minExposureWait is the shortest time between two attempts that wait for the exposure.
const minExposureWait = 10 * time.Millisecond

// awaitExposure waits until the version of a request may get more requests again, if its caller
// has received a part of the answer. It returns false for one of another host, which waits
// itself, and if the wait would last longer than the request may.
func (j *job) awaitExposure(ctx context.Context, wait time.Duration) bool {
	if !j.headerSent || j.from != "" || wait <= 0 || wait >= j.remaining() {
		return false
	}
	j.addStep("waited_ms=" + strconv.FormatInt(wait.Milliseconds(), 10))
	select {
	case <-j.relay.Clock.After(max(wait, minExposureWait)):
	case <-ctx.Done(): // the next attempt reports it
	}
	return true
}

// addChoiceStep adds the reason and the estimates behind the choice of an engine
// to the logged steps.
func (j *job) addChoiceStep(sl *slot) {
	if sl.inFlight == nil {
		return
	}
	c := sl.choice
	j.addStep(string(c.Reason), "uncached="+strconv.Itoa(c.UncachedTokens), "backlog_ms="+strconv.FormatInt(c.Backlog.Milliseconds(), 10),
		"expected_ms="+strconv.FormatInt(c.TimeToFirstEvent.Milliseconds(), 10))
}

// recheckFailed returns the error response for a failed recheck. Once an earlier
// attempt may have run, the status must be 502, because the other statuses promise
// that the request has not run.
func (j *job) recheckFailed(errResp *ErrorResponse) *ErrorResponse {
	if j.possibleRuns > 0 {
		return &ErrorResponse{Status: http.StatusBadGateway, Reason: errResp.Reason, Detail: errResp.Detail}
	}
	return errResp
}

// upstreamRequest builds the request that is sent to the endpoint.
func (j *job) upstreamRequest(sl *slot) *upstream.Request {
	header := maps.Clone(j.req.Header)
	a := Attempt{
		Endpoint: sl.endpoint.ID, Remaining: j.remaining(), Team: j.team, Priority: -1, LastEvent: j.lastEvent,
	}
	if j.service.Engine != nil {
		a.Model = j.model
		a.Priority = min(j.enginePriority, balance.PriorityLevels-1)
	}
	j.relay.Codec.Encode(header, a)
	return &upstream.Request{
		Method: j.req.Method, Target: j.req.Target, Host: j.req.Host, Header: header, Body: j.req.Body,
		Match: func(h http.Header) upstream.Match {
			switch j.relay.Codec.Decode(h).ID {
			case j.req.ID:
				return upstream.MatchOwn
			case "":
				return upstream.MatchUnknown
			}
			return upstream.MatchOther
		},
	}
}

// handleSendError handles an attempt that ended without an answer header.
func (j *job) handleSendError(ctx context.Context, sl *slot, err error) *ErrorResponse {
	var failed *upstream.Error
	sent := !errors.As(err, &failed) || failed.MaybeSent
	j.addStep(sl.endpoint.ID, j.model, "failed")
	if !sent {
		j.relay.Versions.Unsent(j.pool.service, sl.endpoint.Version)
	}
	if ctx.Err() != nil {
		if sent {
			j.possibleRuns++
		} else if j.relay.Clock.Since(sl.started) >= checkDialTimeout {
			j.pool.paths.failed(sl.endpoint.ID, err)
		}
		j.count("cancelled")
		return j.giveUp(endReason(ctx), err.Error(), shortRetryAfter)
	}
	j.relay.Logger.Warn("attempt failed", "request", j.req.ID, "endpoint", sl.endpoint.ID, "address", sl.endpoint.Address, "sent", sent, "error", err)
	if !sent {
		j.count("unreachable")
		sl.markUnreachable(ctx)
		sl.run.Discard()
		j.noteDialFailure(sl, err)
		return j.checkRetry(ctx, "endpoint_unreachable")
	}
	j.delivered++
	j.possibleRuns++
	j.count("lost")
	j.checkEndless(sl, err)
	j.investigateLoss(sl, true)
	j.excludeEndpoint(sl, limiter.OutcomeError)
	return j.checkRetry(ctx, "answer_lost")
}

func (j *job) count(outcome string) {
	j.relay.metrics.attempts.WithLabelValues(j.pool.service, outcome).Inc()
}

// observe records the outcome of an attempt for its version's roll-out.
func (j *job) observe(sl *slot, bad bool, took time.Duration) {
	j.observeOutcome(sl, rollout.Observation{Bad: bad, Latency: took})
}

func (j *job) observeOutcome(sl *slot, o rollout.Observation) {
	sl.observed = true
	j.relay.Versions.Observe(j.pool.service, sl.endpoint.Version, j.observation(sl, o))
}

// observation adds to an observation what was expected of the attempt.
func (j *job) observation(sl *slot, o rollout.Observation) rollout.Observation {
	o.ExpectedLatency, o.Model, o.Route = sl.choice.TimeToFirstEvent, j.model, j.route.Name
	return o
}
