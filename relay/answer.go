package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/upstream"
)

// maxBodyBytes bounds the body of an answer that is not a stream. Such a body is
// buffered completely before any of it is sent to the caller.
const maxBodyBytes = 16 << 20

// maxUnstatedBytes is the size from which an answer that states no length, and for which the
// host has no more room, counts as one without end.
const maxUnstatedBytes = 1 << 20

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
	if !j.route.Retryable() && promisesNotRun(answer.Status) {
		sl.run.Discard()
		return j.handleBrokenAnswer(ctx, sl, "unstated_rejection", strconv.Itoa(answer.Status))
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

// promisesNotRun reports whether a caller takes a status as the promise that its request has not
// run and never will. An endpoint may use such a status without making that promise.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
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
	if answer.EndsWithConnection() {
		return // its connection is not reused, and its end may wait for the upload
	}
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
	j.pool.paths.received(sl.endpoint.ID)
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
