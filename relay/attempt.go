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
const maxAnswerBytes = 16 << 20

// attempt makes one attempt. It returns a refusal, or nil with j.status set if
// the answer was passed on, or nil without if another attempt may follow.
func (j *job) attempt(ctx context.Context) *ErrorResponse {
	if ctx.Err() != nil {
		return j.giveUp(endReason(ctx), "before an attempt", shortRetry)
	}
	if refusal := j.recheck(); refusal != nil {
		return j.afterRecheck(refusal)
	}
	pl, err := j.choose()
	if err != nil {
		j.note("none")
		return j.giveUp("no_endpoint", err.Error(), shortRetry)
	}
	defer pl.end(limiter.OutcomeIgnored)
	j.noteChoice(pl)
	if refusal := j.checkForecast(pl); refusal != nil {
		return refusal
	}
	answer, err := j.relay.Client.Do(ctx, pl.endpoint.Address, j.upstreamRequest(pl))
	if err != nil {
		return j.sendFailed(ctx, pl, err)
	}
	defer answer.Close()
	return j.answered(ctx, pl, answer)
}

// choose picks an endpoint of the request's version. A request that may run on
// any version stays on that of its first endpoint: a roll-out may begin while it
// runs, and its session is then taken for one of the old version.
func (j *job) choose() (*place, error) {
	anyAllowed := j.version == "" || len(j.exclude) == 0
	pl, err := j.pool.choose(j, cmp.Or(j.version, j.firstVersion))
	if err != nil && anyAllowed {
		pl, err = j.pool.choose(j, anyVersion)
	}
	if err == nil && j.firstVersion == "" {
		j.firstVersion = pl.endpoint.Version
	}
	return pl, err
}

// checkForecast refuses a request at once that cannot begin in its time even at
// the best engine. It has not run, and its caller may find room later.
func (j *job) checkForecast(pl *place) *ErrorResponse {
	over := pl.choice.Expected - j.left()
	if pl.work == nil || j.runs > 0 || over <= 0 {
		return nil
	}
	return &ErrorResponse{
		Status: http.StatusServiceUnavailable, Reason: "no_room_in_time", RetryAfter: max(over, shortRetry),
		Detail: "expected to begin after " + pl.choice.Expected.Round(time.Millisecond).String(),
	}
}

// noteChoice notes what decided the choice of an engine.
func (j *job) noteChoice(pl *place) {
	if pl.work == nil {
		return
	}
	c := pl.choice
	j.note(string(c.Reason), "uncached="+strconv.Itoa(c.Uncached), "backlog_ms="+strconv.FormatInt(c.Backlog.Milliseconds(), 10),
		"expected_ms="+strconv.FormatInt(c.Expected.Milliseconds(), 10))
}

// afterRecheck keeps a refusal's promise: once a run is possible, only 502 is true.
func (j *job) afterRecheck(refusal *ErrorResponse) *ErrorResponse {
	if j.runs > 0 {
		return &ErrorResponse{Status: http.StatusBadGateway, Reason: refusal.Reason, Detail: refusal.Detail}
	}
	return refusal
}

// upstreamRequest builds what the endpoint receives.
func (j *job) upstreamRequest(pl *place) *upstream.Request {
	header := maps.Clone(j.req.Header)
	a := Attempt{
		Endpoint: pl.endpoint.ID, Remaining: j.left(), Team: j.team, Urgency: -1, LastEvent: j.lastEvent,
	}
	if j.service.Engine != nil {
		a.Model = j.model
		a.Urgency = min(j.rank, balance.UrgencyLevels-1)
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
func (j *job) sendFailed(ctx context.Context, pl *place, err error) *ErrorResponse {
	var failed *upstream.Error
	sent := !errors.As(err, &failed) || failed.Sent
	j.note(pl.endpoint.ID, j.model, "failed")
	if ctx.Err() != nil {
		if sent {
			j.runs++
		}
		j.count("cancelled")
		return j.giveUp(endReason(ctx), err.Error(), shortRetry)
	}
	j.relay.Logger.Warn("attempt failed", "request", j.req.ID, "endpoint", pl.endpoint.ID, "address", pl.endpoint.Address, "sent", sent, "error", err)
	if !sent {
		j.dialFailures++
		j.count("unreachable")
		pl.unreachable(ctx)
		j.failed(pl, limiter.OutcomeError)
		return j.mayRepeat(ctx, "endpoint_unreachable")
	}
	j.reached++
	j.runs++
	j.count("lost")
	j.suspectCrash(ctx, pl)
	j.observe(pl, true, 0)
	j.failed(pl, limiter.OutcomeError)
	return j.mayRepeat(ctx, "answer_lost")
}

// answered handles the header of an answer.
func (j *job) answered(ctx context.Context, pl *place, answer *upstream.Answer) *ErrorResponse {
	reply := j.relay.Codec.Decode(answer.Header)
	pl.report(reply.Load)
	j.reached++
	if reply.NotRun || answer.Status == http.StatusMisdirectedRequest {
		return j.rejected(ctx, pl, answer)
	}
	j.runs++
	if !reply.Signed || answer.Header.Get("Content-Encoding") != "" {
		return j.broken(ctx, pl, "unsigned_answer", strconv.Itoa(answer.Status))
	}
	if answer.Status >= http.StatusInternalServerError {
		return j.serverError(ctx, pl, answer)
	}
	if j.streams() && answer.Status == http.StatusOK {
		return j.stream(ctx, pl, answer, reply)
	}
	return j.whole(ctx, pl, answer, limiter.OutcomeOK)
}

// rejected handles an endpoint that did not run the request.
func (j *job) rejected(ctx context.Context, pl *place, answer *upstream.Answer) *ErrorResponse {
	drain(answer)
	j.rejections++
	j.note(pl.endpoint.ID, j.model, "rejected", strconv.Itoa(answer.Status))
	j.count("rejected")
	outcome := limiter.OutcomeOverload
	if answer.Status == http.StatusMisdirectedRequest {
		outcome = limiter.OutcomeError // another endpoint has the address
		pl.unreachable(ctx)
	}
	j.failed(pl, outcome)
	return j.mayRepeat(ctx, "endpoint_full")
}

// drain reads a short body so that the connection can be used again.
func drain(answer *upstream.Answer) {
	const maxDrainBytes = 64 << 10
	// A failed read only costs the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxDrainBytes))
}

// broken handles an answer that cannot be passed on.
func (j *job) broken(ctx context.Context, pl *place, reason, detail string) *ErrorResponse {
	j.note(pl.endpoint.ID, j.model, reason)
	j.count(reason)
	j.relay.Logger.Warn("answer broken", "request", j.req.ID, "endpoint", pl.endpoint.ID, "reason", reason, "detail", detail)
	if ctx.Err() != nil {
		return j.giveUp(endReason(ctx), reason, shortRetry)
	}
	j.observe(pl, true, 0)
	j.failed(pl, limiter.OutcomeError)
	return j.mayRepeat(ctx, reason)
}

// serverError repeats a failure of the endpoint's own where that is allowed,
// and passes it on otherwise.
func (j *job) serverError(ctx context.Context, pl *place, answer *upstream.Answer) *ErrorResponse {
	j.note(pl.endpoint.ID, j.model, "status", strconv.Itoa(answer.Status))
	j.count("server_error")
	j.observe(pl, true, 0)
	if !j.started && j.route.Repeatable() && j.mayRepeat(ctx, "server_error") == nil {
		drain(answer)
		j.failed(pl, limiter.OutcomeError)
		return nil
	}
	if j.started {
		return j.giveUp("server_error", strconv.Itoa(answer.Status), 0)
	}
	return j.whole(ctx, pl, answer, limiter.OutcomeError)
}

// whole reads the whole body and passes the answer on.
func (j *job) whole(ctx context.Context, pl *place, answer *upstream.Answer, outcome limiter.Outcome) *ErrorResponse {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return j.broken(ctx, pl, "answer_cut", "after "+strconv.Itoa(len(body))+" bytes")
	}
	took := j.relay.Clock.Since(pl.started)
	j.note(pl.endpoint.ID, j.model, strconv.Itoa(answer.Status))
	if outcome == limiter.OutcomeOK {
		j.observe(pl, false, took)
		j.count("ok")
		j.relay.Crashes.Succeeded(j.hash)
	}
	pl.begun()
	pl.end(outcome)
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
func (j *job) observe(pl *place, bad bool, took time.Duration) {
	o := rollout.Observation{Bad: bad, Took: took, Expected: pl.choice.Expected}
	j.relay.Versions.Observe(j.pool.service, pl.endpoint.Version, o)
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
