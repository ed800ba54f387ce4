package relay

import (
	"cmp"
	"context"
	"io"
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

// maxAnswerBytes bounds the body of a plain answer, which is held until it is whole.
const maxBodyBytes = 16 << 20

// attempt makes one attempt. It returns a refusal, or nil with j.status set if
// the answer was passed on, or nil without if another attempt may follow.
func (j *job) attempt(ctx context.Context) *ErrorResponse {
	if ctx.Err() != nil {
		return j.giveUp(cancelReason(ctx), "before an attempt", shortRetryAfter)
	}
	if errResp := j.recheck(); errResp != nil {
		return j.recheckFailed(errResp)
	}
	sl, err := j.choose()
	if err != nil {
		j.addStep("none")
		return j.giveUp("no_endpoint", err.Error(), shortRetryAfter)
	}
	defer sl.release(limiter.OutcomeIgnored)
	j.addChoiceStep(sl)
	if errResp := j.checkExpectedStart(sl); errResp != nil {
		return errResp
	}
	answer, err := j.relay.Client.Do(ctx, sl.endpoint.Address, j.upstreamRequest(sl))
	if err != nil {
		return j.handleSendError(ctx, sl, err)
	}
	defer answer.Close()
	return j.handleAnswer(ctx, sl, answer)
}

// choose picks an endpoint of the request's version. A request that may run on
// any version stays on that of its first endpoint: a roll-out may begin while it
// runs, and its session is then taken for one of the old version.
func (j *job) choose() (*slot, error) {
	anyAllowed := j.version == "" || len(j.exclude) == 0
	sl, err := j.pool.choose(j, cmp.Or(j.version, j.firstVersion))
	if err != nil && anyAllowed {
		sl, err = j.pool.choose(j, anyVersion)
	}
	if err == nil && j.firstVersion == "" {
		j.firstVersion = sl.endpoint.Version
	}
	return sl, err
}

// checkForecast refuses a request at once that cannot begin in its time even at
// the best engine. It has not run, and its caller may find room later.
func (j *job) checkExpectedStart(sl *slot) *ErrorResponse {
	excess := sl.choice.TimeToFirstEvent - j.remaining()
	if sl.work == nil || j.possibleRuns > 0 || excess <= 0 {
		return nil
	}
	return &ErrorResponse{
		Status: http.StatusServiceUnavailable, Reason: "no_room_in_time", RetryAfter: max(excess, shortRetryAfter),
		Detail: "expected to begin after " + sl.choice.TimeToFirstEvent.Round(time.Millisecond).String(),
	}
}

// noteChoice notes what decided the choice of an engine.
func (j *job) addChoiceStep(sl *slot) {
	if sl.work == nil {
		return
	}
	c := sl.choice
	j.addStep(string(c.Reason), "uncached="+strconv.Itoa(c.UncachedTokens), "backlog_ms="+strconv.FormatInt(c.Backlog.Milliseconds(), 10),
		"expected_ms="+strconv.FormatInt(c.TimeToFirstEvent.Milliseconds(), 10))
}

// afterRecheck keeps a refusal's promise: once a run is possible, only 502 is true.
func (j *job) recheckFailed(errResp *ErrorResponse) *ErrorResponse {
	if j.possibleRuns > 0 {
		return &ErrorResponse{Status: http.StatusBadGateway, Reason: errResp.Reason, Detail: errResp.Detail}
	}
	return errResp
}

// upstreamRequest builds what the endpoint receives.
func (j *job) upstreamRequest(sl *slot) *upstream.Request {
	header := maps.Clone(j.req.Header)
	a := Attempt{
		Endpoint: sl.endpoint.ID, Remaining: j.remaining(), Team: j.team, Urgency: -1, LastEvent: j.lastEvent,
	}
	if j.service.Engine != nil {
		a.Model = j.model
		a.Urgency = min(j.rank, balance.PriorityLevels-1)
	}
	j.relay.Codec.Encode(header, a)
	return &upstream.Request{
		Method: j.req.Method, Target: j.req.Target, Host: j.req.Host, Header: header, Body: j.req.Body,
		Answers: func(h http.Header) bool {
			id := j.relay.Codec.Decode(h).ID
			return id == "" || id == j.req.ID
		},
	}
}

// sendFailed handles an attempt that brought no answer.
func (j *job) handleSendError(ctx context.Context, sl *slot, err error) *ErrorResponse {
	var failed *upstream.Error
	sent := !errors.As(err, &failed) || failed.Sent
	j.addStep(sl.endpoint.ID, j.model, "failed")
	if ctx.Err() != nil {
		if sent {
			j.possibleRuns++
		}
		j.count("cancelled")
		return j.giveUp(cancelReason(ctx), err.Error(), shortRetryAfter)
	}
	j.relay.Logger.Warn("attempt failed", "request", j.req.ID, "endpoint", sl.endpoint.ID, "address", sl.endpoint.Address, "sent", sent, "error", err)
	if !sent {
		j.dialFailures++
		j.count("unreachable")
		sl.markUnreachable(ctx)
		j.excludeEndpoint(sl, limiter.OutcomeError)
		return j.checkRetry(ctx, "endpoint_unreachable")
	}
	j.delivered++
	j.possibleRuns++
	j.count("lost")
	j.checkForCrash(ctx, sl)
	j.observe(sl, true, 0)
	j.excludeEndpoint(sl, limiter.OutcomeError)
	return j.checkRetry(ctx, "answer_lost")
}

// answered handles the header of an answer.
func (j *job) handleAnswer(ctx context.Context, sl *slot, answer *upstream.Answer) *ErrorResponse {
	reply := j.relay.Codec.Decode(answer.Header)
	sl.observeLoad(reply.Load)
	j.delivered++
	if reply.NotRun || answer.Status == http.StatusMisdirectedRequest {
		return j.handleRejection(ctx, sl, answer)
	}
	j.possibleRuns++
	if !reply.Signed || answer.Header.Get("Content-Encoding") != "" {
		return j.handleBrokenAnswer(ctx, sl, "unsigned_answer", strconv.Itoa(answer.Status))
	}
	if answer.Status >= http.StatusInternalServerError {
		return j.handleServerError(ctx, sl, answer)
	}
	if j.isStream() && answer.Status == http.StatusOK {
		return j.forwardStream(ctx, sl, answer, reply)
	}
	return j.forwardBody(ctx, sl, answer, limiter.OutcomeOK)
}

// rejected handles an endpoint that did not run the request.
func (j *job) handleRejection(ctx context.Context, sl *slot, answer *upstream.Answer) *ErrorResponse {
	drain(answer)
	j.rejections++
	j.addStep(sl.endpoint.ID, j.model, "rejected", strconv.Itoa(answer.Status))
	j.count("rejected")
	outcome := limiter.OutcomeOverload
	if answer.Status == http.StatusMisdirectedRequest {
		outcome = limiter.OutcomeError // another endpoint has the address
		sl.markUnreachable(ctx)
	}
	j.excludeEndpoint(sl, outcome)
	return j.checkRetry(ctx, "endpoint_full")
}

// drain reads a short body so that the connection can be used again.
func drain(answer *upstream.Answer) {
	const maxDrainBytes = 64 << 10
	// A failed read only costs the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxDrainBytes))
}

// broken handles an answer that cannot be passed on.
func (j *job) handleBrokenAnswer(ctx context.Context, sl *slot, reason, detail string) *ErrorResponse {
	j.addStep(sl.endpoint.ID, j.model, reason)
	j.count(reason)
	j.relay.Logger.Warn("answer broken", "request", j.req.ID, "endpoint", sl.endpoint.ID, "reason", reason, "detail", detail)
	if ctx.Err() != nil {
		return j.giveUp(cancelReason(ctx), reason, shortRetryAfter)
	}
	j.observe(sl, true, 0)
	j.excludeEndpoint(sl, limiter.OutcomeError)
	return j.checkRetry(ctx, reason)
}

// serverError repeats a failure of the endpoint's own where that is allowed,
// and passes it on otherwise.
func (j *job) handleServerError(ctx context.Context, sl *slot, answer *upstream.Answer) *ErrorResponse {
	j.addStep(sl.endpoint.ID, j.model, "status", strconv.Itoa(answer.Status))
	j.count("server_error")
	j.observe(sl, true, 0)
	if !j.headerSent && j.route.Retryable() && j.checkRetry(ctx, "server_error") == nil {
		drain(answer)
		j.excludeEndpoint(sl, limiter.OutcomeError)
		return nil
	}
	if j.headerSent {
		return j.giveUp("server_error", strconv.Itoa(answer.Status), 0)
	}
	return j.forwardBody(ctx, sl, answer, limiter.OutcomeError)
}

// whole reads the whole body and passes the answer on.
func (j *job) forwardBody(ctx context.Context, sl *slot, answer *upstream.Answer, outcome limiter.Outcome) *ErrorResponse {
	body, err := io.ReadAll(io.LimitReader(answer, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return j.handleBrokenAnswer(ctx, sl, "answer_cut", "after "+strconv.Itoa(len(body))+" bytes")
	}
	took := j.relay.Clock.Since(sl.started)
	j.addStep(sl.endpoint.ID, j.model, strconv.Itoa(answer.Status))
	if outcome == limiter.OutcomeOK {
		j.observe(sl, false, took)
		j.count("ok")
		j.relay.Crashes.RecordSuccess(j.hash)
	}
	sl.recordFirstByte()
	sl.release(outcome)
	answer.Close()
	j.firstByte = j.relay.Clock.Since(j.arrived)
	j.status = answer.Status
	copyHeader(j.w.Header(), answer.Header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(answer.Status)
	if j.req.Method != http.MethodHead {
		// A caller that is gone needs no answer.
		_, _ = j.w.Write(body)
	}
	return nil
}

func (j *job) count(outcome string) {
	j.relay.metrics.attempts.WithLabelValues(j.pool.service, outcome).Inc()
}

// observe records how an attempt at a version ended.
func (j *job) observe(sl *slot, bad bool, took time.Duration) {
	o := rollout.Observation{Bad: bad, Latency: took, ExpectedLatency: sl.choice.TimeToFirstEvent}
	j.relay.Versions.Observe(j.pool.service, sl.endpoint.Version, o)
}

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// copyHeader copies the headers of an answer that concern the caller.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range connectionHeaders {
		to.Del(name)
	}
	if _, ok := to["Date"]; !ok {
		to["Date"] = nil // the answer had none
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // net/http would guess one
	}
}

// StripConnectionHeaders removes what concerns only the caller's connection,
// including the headers that it names.
func StripConnectionHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range splitList(list) {
			h.Del(name)
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}
