package relay

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/rollout"
	"github.com/corianderlever/corianderlever/upstream"
)

// maxBodyBytes bounds the body of an answer that is not a stream. Such a body is
// buffered completely before any of it is sent to the caller.
const maxBodyBytes = 16 << 20

// maxUnstatedBytes is the size from which an answer that states no length, and for which the
// host has no more room, counts as one without end.
const maxUnstatedBytes = 1 << 20

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
	if errResp := j.checkExpectedStart(sl); errResp != nil {
		return errResp
	}
	if wait := j.relay.Permits.Acquire(ctx, sl.endpoint.ID); wait > 0 {
		return j.handleDenial(sl, wait)
	}
	if ctx.Err() != nil {
		return j.giveUp(endReason(ctx), "before an attempt was sent", shortRetryAfter)
	}
	if a := j.relay.Versions.Admit(j.pool.service, sl.endpoint.Version, j.point); !a.Admitted {
		return j.handleExposureLimit(ctx, sl, a)
	}
	sl.run = j.relay.Parts.Start(endpointStart(sl.endpoint), j.parts)
	defer j.endRun(sl)
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer j.watch(sl, cancel)()
	answer, err := j.send(sendCtx, sl)
	if err != nil {
		return j.handleSendError(ctx, sl, err)
	}
	defer answer.Close()
	return j.handleAnswer(ctx, sl, answer)
}

// watch keeps track of the attempt for the checks of the paths to its service, until the
// returned function is called.
func (j *job) watch(sl *slot, cancel context.CancelFunc) (unwatch func()) {
	sl.received, sl.request = j.relay.Clock.Now(), j.req.ID
	if j.route.Retryable() {
		sl.cancel = cancel
	}
	return j.pool.paths.track(sl)
}

// send sends the request to the endpoint of the attempt and waits for the header of its
// answer.
func (j *job) send(ctx context.Context, sl *slot) (*upstream.Response, error) {
	defer j.pool.paths.watchSilence(sl)()
	answer, err := j.relay.Client.Do(ctx, sl.endpoint.Address, j.upstreamRequest(sl))
	if err != nil {
		return nil, err
	}
	j.pool.paths.received(sl)
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

// awaitExposure waits until the version of a request may get more requests again. It returns
// false for a request that has not run, which its caller can send again, for one of another
// host, which waits itself, and if the wait would last longer than the request may.
func (j *job) awaitExposure(ctx context.Context, wait time.Duration) bool {
	if j.possibleRuns == 0 || j.from != "" || wait <= 0 || wait >= j.remaining() {
		return false
	}
	j.addStep("waited_ms=" + strconv.FormatInt(wait.Milliseconds(), 10))
	select {
	case <-j.relay.Clock.After(max(wait, minExposureWait)):
	case <-ctx.Done(): // the next attempt reports it
	}
	return true
}

// checkExpectedStart rejects a request immediately if even the best engine is not
// expected to start it before its deadline. The request has not run, so the caller
// may retry it later.
func (j *job) checkExpectedStart(sl *slot) *ErrorResponse {
	excess := sl.choice.TimeToFirstEvent - j.remaining()
	if sl.inFlight == nil || j.possibleRuns > 0 || excess <= 0 {
		return nil
	}
	return &ErrorResponse{
		Status: http.StatusServiceUnavailable, Reason: "no_room_in_time", RetryAfter: max(excess, shortRetryAfter),
		Detail: "expected first event after " + sl.choice.TimeToFirstEvent.Round(time.Millisecond).String(),
	}
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

// handleAnswer reads the header of an answer and decides how to handle its body.
func (j *job) handleAnswer(ctx context.Context, sl *slot, answer *upstream.Response) *ErrorResponse {
	reply := j.relay.Codec.Decode(answer.Header)
	sl.observeLoad(reply.Load)
	j.endpoint = sl.endpoint.ID
	j.observeAnswer(sl.endpoint, sl.started, answer, reply)
	j.delivered++
	if reply.NotRun || answer.Status == http.StatusMisdirectedRequest {
		sl.run.Discard()
		return j.handleRejection(ctx, sl, answer)
	}
	sl.run.Answered()
	j.possibleRuns++
	if !reply.Signed || answer.Header.Get("Content-Encoding") != "" {
		return j.handleBrokenAnswer(ctx, sl, "unsigned_answer", strconv.Itoa(answer.Status))
	}
	if answer.Status >= http.StatusInternalServerError {
		sl.run.Discard()
		return j.handleServerError(ctx, sl, answer)
	}
	if j.isStream() && answer.Status == http.StatusOK {
		return j.forwardStream(ctx, sl, answer, reply)
	}
	if j.headerSent { // the caller is in the middle of another endpoint's stream
		return j.handleBrokenAnswer(ctx, sl, "stream_not_resumed", strconv.Itoa(answer.Status))
	}
	return j.forwardBody(ctx, sl, answer, limiter.OutcomeOK)
}

// observeAnswer records what an endpoint says in its answers about the requests that it
// takes: its rate limit, that it is leaving, or that it wants none for some time.
func (j *job) observeAnswer(e fleet.Endpoint, sent time.Time, answer *upstream.Response, reply Reply) {
	if answer.Status == http.StatusMisdirectedRequest {
		return // an answer of another endpoint
	}
	// An answer that names no limit because it is only a rejection says nothing.
	if reply.Signed || reply.RateLimit > 0 {
		j.relay.Permits.Observe(e.ID, sent, reply.RateLimit)
	}
	if j.pool.shares.Observe(sent, reply.Brittle) {
		j.relay.Logger.Info("endpoints brittle", "service", j.pool.service, "endpoint", e.ID, "brittle", reply.Brittle)
	}
	retryAfter := time.Duration(0)
	if answer.Status == http.StatusServiceUnavailable {
		retryAfter = reply.RetryAfter
	}
	if !reply.Leaving && retryAfter == 0 {
		return
	}
	j.relay.Logger.Info("endpoint takes no requests", "request", j.req.ID, "endpoint", e.ID,
		"leaving", reply.Leaving, "retry_after_ms", retryAfter.Milliseconds())
	j.relay.holds.observe(e, reply.Leaving, retryAfter, j.relay.Clock.Now())
}

// handleRejection handles an answer that states that the endpoint did not run the
// request.
func (j *job) handleRejection(ctx context.Context, sl *slot, answer *upstream.Response) *ErrorResponse {
	discardRest(answer)
	j.rejections++
	j.addStep(sl.endpoint.ID, j.model, "rejected", strconv.Itoa(answer.Status))
	j.count("rejected")
	outcome := limiter.OutcomeOverload
	if answer.Status == http.StatusMisdirectedRequest {
		outcome = limiter.OutcomeError // the address now belongs to another endpoint
		sl.markUnreachable(ctx)
	}
	j.excludeEndpoint(sl, outcome)
	return j.checkRetry(ctx, "endpoint_full")
}

// discardRest reads the rest of a short body so that the connection can be reused.
func discardRest(answer *upstream.Response) {
	const maxDrainBytes = 64 << 10
	// If the read fails, the connection is not reused; nothing else is lost.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxDrainBytes))
}

// handleBrokenAnswer handles an answer that is incomplete or invalid and cannot be
// sent to the caller.
func (j *job) handleBrokenAnswer(ctx context.Context, sl *slot, reason, detail string) *ErrorResponse {
	j.addStep(sl.endpoint.ID, j.model, reason)
	if ctx.Err() != nil {
		j.count("cancelled")
		return j.giveUp(endReason(ctx), detail, shortRetryAfter)
	}
	j.count(reason)
	j.relay.Logger.Warn("answer incomplete or invalid", "request", j.req.ID, "endpoint", sl.endpoint.ID, "reason", reason, "detail", detail)
	if !sl.investigated {
		j.observe(sl, true, 0)
	}
	j.excludeEndpoint(sl, limiter.OutcomeError)
	return j.checkRetry(ctx, reason)
}

// handleServerError handles a 5xx answer of the endpoint itself. It retries the
// request where that is allowed, and sends the answer to the caller otherwise.
func (j *job) handleServerError(ctx context.Context, sl *slot, answer *upstream.Response) *ErrorResponse {
	j.addStep(sl.endpoint.ID, j.model, "status", strconv.Itoa(answer.Status))
	j.count("server_error")
	j.observe(sl, true, 0)
	if !j.headerSent && j.route.Retryable() && j.checkRetry(ctx, "server_error") == nil {
		discardRest(answer)
		j.excludeEndpoint(sl, limiter.OutcomeError)
		return nil
	}
	if j.headerSent {
		return j.giveUp("server_error", strconv.Itoa(answer.Status), 0)
	}
	return j.forwardBody(ctx, sl, answer, limiter.OutcomeError)
}

// forwardBody reads the whole body and then sends the answer to the caller.
func (j *job) forwardBody(ctx context.Context, sl *slot, answer *upstream.Response, outcome limiter.Outcome) *ErrorResponse {
	buffer, err := j.relay.Buffers.Read(answer, maxBodyBytes, answer.ContentLength)
	if err != nil {
		if outgrown := answer.ContentLength < 0 && answer.BytesRead() > maxUnstatedBytes; outgrown && errors.Is(err, limiter.ErrBufferFull) {
			err = errors.Mark(err, upstream.ErrEndless)
		}
		j.checkEndless(sl, err)
		return j.handleBrokenAnswer(ctx, sl, "answer_cut", err.Error())
	}
	defer buffer.Release()
	body := buffer.Data
	took := j.relay.Clock.Since(sl.started)
	j.addStep(sl.endpoint.ID, j.model, strconv.Itoa(answer.Status))
	if outcome == limiter.OutcomeOK {
		j.observe(sl, false, took)
		j.count("ok")
		j.recordComplete(sl, answer)
	}
	sl.recordFirstByte()
	sl.release(outcome)
	answer.Close()
	j.writeAnswer(answer, body)
	return nil
}

// checkEndless makes this host avoid an endpoint for a while whose answer failed because it
// went on without end. Reading such answers costs processor time that other requests need.
func (j *job) checkEndless(sl *slot, err error) {
	if !errors.IsAny(err, upstream.ErrEndless, limiter.ErrTooLong) {
		return
	}
	if pause := j.relay.holds.avoid(sl.endpoint, j.relay.Clock.Now()); pause > 0 {
		j.relay.Logger.Warn("endpoint sends without end", "request", j.req.ID, "endpoint", sl.endpoint.ID, "avoided_ms", pause.Milliseconds(), "error", err)
	}
}

// writeAnswer sends a complete answer to the caller.
func (j *job) writeAnswer(answer *upstream.Response, body []byte) {
	j.firstByte = j.relay.Clock.Since(j.arrived)
	j.status = answer.Status
	copyHeader(j.w.Header(), answer.Header)
	j.markAnswer(outcomeAnswered, "")
	j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(answer.Status)
	if j.req.Method != http.MethodHead {
		// A write error means that the caller has disconnected.
		_, _ = j.w.Write(body)
	}
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

// connectionHeaders are the hop-by-hop headers, which are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// copyHeader copies the headers of an answer except the hop-by-hop ones.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range connectionHeaders {
		to.Del(name)
	}
	if _, ok := to["Date"]; !ok {
		to["Date"] = nil // keeps net/http from adding one
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // keeps net/http from guessing one
	}
}

// StripConnectionHeaders removes the hop-by-hop headers of the caller's connection,
// including those that its Connection header lists.
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
