package relay

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/upstream"
)

// Forwarded is a request that another host serves in place of the one that received it.
type Forwarded struct {
	Request *Request `json:"request"`
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration `json:"time_left"`
	// Exclude lists the endpoints that failed or rejected the request.
	Exclude []string `json:"exclude,omitempty"`
	// Unreached lists the endpoints to which a host could not connect for the request. They
	// may have failed, or only that host may not reach them.
	Unreached []string `json:"unreached,omitempty"`
	// Delivered counts the endpoints that have received the request, Runs those that may
	// have run it.
	Delivered int `json:"delivered,omitempty"`
	Runs      int `json:"runs,omitempty"`
	// ModelIndex is the index of the next model in the list of the route.
	ModelIndex int `json:"model_index,omitempty"`
	// Version is the version of the first endpoint that was chosen; empty for none.
	Version string `json:"version,omitempty"`
	// LastEvent is the id of the last event that the caller has received, also from earlier
	// attempts; negative for none.
	LastEvent int64 `json:"last_event"`
	// HeaderSent is set if the caller has received the header of an answer.
	HeaderSent bool `json:"header_sent,omitempty"`
	// Team and Priority are those of the key with which the request was accepted. They hold
	// for an answer that has begun, also if the key has been revoked since.
	Team     string `json:"team,omitempty"`
	Priority int    `json:"priority,omitempty"`
	// Lease is the name of the lease under which the host may work on the request; empty for
	// none.
	Lease string `json:"lease,omitempty"`
}

// Forwarder reaches the hosts that may serve requests in place of this one.
type Forwarder interface {
	// Choose returns a host that may reach the endpoints of a service, other than those
	// given; false if there is none.
	Choose(service string, exclude []string) (host string, ok bool)
	// Forward sends a request to a host and returns the host's answer, or an
	// *upstream.Error.
	Forward(ctx context.Context, host string, f Forwarded, body []byte) (*upstream.Response, error)
	// Refused records that a host could not serve a request of a service.
	Refused(host, service string)
	// Lease returns a lease under which a host may work on a request.
	Lease(host, request string) RunLease
}

// RunLease allows a host to work on a request that is forwarded to it.
type RunLease interface {
	// ID returns the name of the lease.
	ID() string
	// Close ends the lease without waiting for the host.
	Close()
	// Revoke ends the lease and waits until the host works on the request no more. It returns
	// the cause of ctx if that ends before.
	Revoke(ctx context.Context) error
}

// Headers of a host's answer to a forwarded request, in addition to those of the answer
// to the caller.
const (
	// headerOutcome is outcomeAnswered, or the reason of the host's own error response.
	headerOutcome = "Forward-Outcome"
	headerDetail  = "Forward-Detail"
	// headerDelivered and headerRuns are the numbers of endpoints that have received the
	// request from the host, and that may have run it.
	headerDelivered = "Forward-Delivered"
	headerRuns      = "Forward-Runs"
	// headerEndpoint is the id of the endpoint that has answered.
	headerEndpoint = "Forward-Endpoint"
	// headerUnreached, in an error response, is the id of an endpoint to which the host could
	// not connect; one line for each.
	headerUnreached = "Forward-Unreached"
	// outcomeAnswered means that the answer comes from an endpoint.
	outcomeAnswered = "answered"
)

const (
	// maxForwards is the number of hosts to which one request is sent at most.
	maxForwards = 3
	// maxExposureForwards is that number while the host may not send the request to the only
	// version that is left.
	maxExposureForwards = 2
	// maxForwardedDialFailures is the number of unreachable endpoints after which a host
	// gives a forwarded request back.
	maxForwardedDialFailures = 2
)

// forward lets another host serve the request. It returns false if no host can.
func (j *job) forward(ctx context.Context) (forwarded bool, errResp *ErrorResponse) {
	if j.from != "" || j.relay.Forwarder == nil || j.forwards >= maxForwards {
		return false, nil
	}
	host, ok := j.relay.Forwarder.Choose(j.pool.service, j.excludeHosts)
	if !ok {
		return false, nil
	}
	j.forwards++
	f := &forwarding{host: host, sent: j.relay.Clock.Now()}
	if j.isStream() {
		f.lease = j.relay.Forwarder.Lease(host, j.req.ID)
		defer f.lease.Close()
	}
	j.addSendStep()
	answer, err := j.relay.Forwarder.Forward(ctx, host, Forwarded{
		Request: j.req, TimeLeft: j.remaining(), Exclude: j.failedEndpoints(), Unreached: slices.Concat(j.avoid, j.unreached), Delivered: j.delivered, Runs: j.possibleRuns,
		ModelIndex: j.modelIndex, Version: j.firstVersion, LastEvent: j.lastEvent, HeaderSent: j.headerSent,
		Team: j.team, Priority: j.priority, Lease: f.leaseID(),
	}, j.req.Body)
	if err != nil {
		return true, j.handleForwardError(ctx, f, err)
	}
	defer answer.Close()
	return true, j.handleForwardedAnswer(ctx, f, answer)
}

// forwarding is a request under way at another host.
type forwarding struct {
	host string
	sent time.Time
	// lease allows the host to work on a stream; nil for other requests, which are not sent
	// again or may run at several endpoints at once.
	lease RunLease
}

func (f *forwarding) leaseID() string {
	if f.lease == nil {
		return ""
	}
	return f.lease.ID()
}

// checkForwardRetry returns nil if another attempt may be made after a host was lost that may
// still work on the request, once it does not.
func (j *job) checkForwardRetry(ctx context.Context, f *forwarding, reason string) *ErrorResponse {
	errResp := j.checkRetry(ctx, reason)
	if errResp != nil || f.lease == nil {
		return errResp
	}
	started := j.relay.Clock.Now()
	if err := f.lease.Revoke(ctx); err != nil {
		return j.giveUp(endReason(ctx), reason, shortRetryAfter)
	}
	waited := j.relay.Clock.Since(started)
	j.addStep("lease_ended_ms=" + strconv.FormatInt(waited.Milliseconds(), 10))
	j.relay.metrics.leaseWait.WithLabelValues(j.pool.service).Observe(waited.Seconds())
	return nil
}

// failedEndpoints returns the endpoints that failed or rejected the request itself.
func (j *job) failedEndpoints() []string {
	return slices.DeleteFunc(slices.Clone(j.exclude), func(id string) bool { return slices.Contains(j.unreached, id) })
}

// handleForwardError handles a host that has not answered.
func (j *job) handleForwardError(ctx context.Context, f *forwarding, err error) *ErrorResponse {
	var failed *upstream.Error
	sent := !errors.As(err, &failed) || failed.MaybeSent
	j.addStep("host", f.host, "failed")
	j.countForward("failed")
	if sent {
		j.delivered++
		j.possibleRuns++
	}
	if ctx.Err() != nil {
		return j.giveUp(endReason(ctx), err.Error(), shortRetryAfter)
	}
	j.relay.Logger.Warn("request not forwarded", "request", j.req.ID, "host", f.host, "sent", sent, "error", err)
	j.excludeHost(f.host)
	return j.checkForwardRetry(ctx, f, "answer_lost")
}

func (j *job) excludeHost(host string) {
	j.excludeHosts = append(j.excludeHosts, host)
	j.relay.Forwarder.Refused(host, j.pool.service)
}

func (j *job) countForward(outcome string) {
	j.relay.metrics.forwards.WithLabelValues(j.pool.service, outcome).Inc()
}

// forwardResult is what a host says of a forwarded request in the header of its answer.
type forwardResult struct {
	outcome, detail string
	endpoint        string
	unreached       []string
	delivered, runs int
}

// errForwardHeader reports a host's answer without the headers of a forwarded request.
var errForwardHeader = errors.New("relay: malformed answer of a host")

// takeForwardResult removes the result from the header of a host's answer.
func takeForwardResult(h http.Header) (forwardResult, error) {
	res := forwardResult{outcome: h.Get(headerOutcome), detail: h.Get(headerDetail), endpoint: h.Get(headerEndpoint)}
	res.unreached = h.Values(headerUnreached)
	var err, runsErr error
	res.delivered, err = strconv.Atoi(h.Get(headerDelivered))
	res.runs, runsErr = strconv.Atoi(h.Get(headerRuns))
	for _, name := range []string{headerOutcome, headerDetail, headerEndpoint, headerUnreached, headerDelivered, headerRuns} {
		h.Del(name)
	}
	if err != nil || runsErr != nil || res.outcome == "" || res.runs < 0 || res.delivered < 0 || res.outcome == outcomeAnswered && res.runs == 0 {
		return res, errForwardHeader
	}
	return res, nil
}

// handleForwardedAnswer passes the answer of a host on to the caller.
func (j *job) handleForwardedAnswer(ctx context.Context, f *forwarding, answer *upstream.Response) *ErrorResponse {
	res, err := takeForwardResult(answer.Header)
	if err != nil {
		return j.handleForwardError(ctx, f, err)
	}
	j.possibleRuns += res.runs
	j.delivered += res.delivered
	j.addStep("host", f.host, res.outcome, strconv.Itoa(answer.Status))
	j.countForward(res.outcome)
	if res.outcome != outcomeAnswered {
		return j.handleForwardRefusal(ctx, f.host, answer, res)
	}
	reply := j.relay.Codec.Decode(answer.Header)
	if e, ok := j.relay.Fleet.Endpoint(res.endpoint); ok {
		j.observeAnswer(e, f.sent, answer, reply)
	}
	if !reply.Signed || reply.ID != "" && reply.ID != j.req.ID || answer.Header.Get("Content-Encoding") != "" {
		return j.handleLostForward(ctx, f, "unsigned_answer", strconv.Itoa(answer.Status))
	}
	if !j.route.Retryable() && promisesNotRun(answer.Status) {
		return j.handleLostForward(ctx, f, "unstated_rejection", strconv.Itoa(answer.Status)) // of a host of an earlier release
	}
	if j.isStream() && answer.Status == http.StatusOK {
		j.confidence = reply.Confidence
		return j.forwardHostStream(ctx, f, answer)
	}
	if j.headerSent {
		return j.handleLostForward(ctx, f, "stream_not_resumed", strconv.Itoa(answer.Status))
	}
	buffer, err := j.relay.Buffers.Read(answer, maxBodyBytes, answer.ContentLength)
	if err != nil {
		return j.handleLostForward(ctx, f, "answer_cut", err.Error())
	}
	defer buffer.Release()
	j.writeAnswer(answer, buffer.Data)
	return nil
}

// handleForwardRefusal handles the error response of a host. If the host has not run the
// request and another one may be able to, that one is tried next. The status does not tell: a
// request that has run before may not be answered with 503.
func (j *job) handleForwardRefusal(ctx context.Context, host string, answer *upstream.Response, res forwardResult) *ErrorResponse {
	j.avoid = append(j.avoid, res.unreached...)
	notRun := res.runs == 0 && (j.possibleRuns > 0 || answer.Status == http.StatusServiceUnavailable)
	if notRun && res.outcome == reasonExposure {
		j.excludeHosts = append(j.excludeHosts, host)
		return nil // says nothing of the host's links
	}
	if notRun && slices.Contains(reasonsOfHost, res.outcome) {
		j.excludeHost(host)
		return nil
	}
	if notRun && j.headerSent && res.outcome != reasonCrashes {
		j.excludeHosts = append(j.excludeHosts, host) // its endpoints may be full for the moment
		return nil
	}
	if res.outcome == ReasonStopping {
		j.excludeHost(host)
		return j.checkRetry(ctx, res.outcome)
	}
	reason, detail := res.outcome, "host "+host+": "+res.detail
	var retryAfter time.Duration
	if s, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(s * float64(time.Second))
	}
	if j.possibleRuns > 0 {
		return j.giveUp(reason, detail, retryAfter)
	}
	return &ErrorResponse{Status: answer.Status, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// reasonsOfHost are the reasons of error responses that lie with the host that gives them.
var reasonsOfHost = []string{
	reasonUnreachable, ReasonStopping, ReasonBuffersFull, ReasonMalformed, reasonFull, ReasonNoLease, "endpoint_unreachable", "no_configuration", "no_service", "outdated_configuration",
	"stale_configuration",
}

// reasonFull is the reason of an error response if this host uses its whole share of the
// endpoints.
const reasonFull = "endpoints_full"

// reasonExposure is the reason of an error response if this host has used up its part of the
// exposure of a version that is the only one left.
const reasonExposure = "rollout_exposure"

// Reasons for which a host rejects a forwarded request before it looks at it.
const (
	// ReasonStopping is that of a host that is stopping.
	ReasonStopping = "stopping"
	// ReasonBuffersFull is that of a host whose buffers are full.
	ReasonBuffersFull = "buffers_full"
	// ReasonNoLease is that of a host that gets no lease on the request.
	ReasonNoLease = "no_lease"
	// ReasonMalformed is that of a host that cannot decode the request.
	ReasonMalformed = "malformed_forward"
)

// handleLostForward handles an answer of a host that is incomplete or cannot be used.
func (j *job) handleLostForward(ctx context.Context, f *forwarding, reason, detail string) *ErrorResponse {
	j.addStep("host", f.host, reason)
	j.relay.Logger.Warn("answer incomplete or invalid", "request", j.req.ID, "host", f.host, "reason", reason, "detail", detail)
	if ctx.Err() != nil {
		return j.giveUp(endReason(ctx), reason, shortRetryAfter)
	}
	if j.headerSent && !j.route.Resumable {
		return j.giveUp(reason, detail, 0)
	}
	j.excludeHost(f.host)
	return j.checkForwardRetry(ctx, f, reason)
}

// forwardHostStream passes the events of a stream that another host forwards on to the
// caller.
func (j *job) forwardHostStream(ctx context.Context, f *forwarding, answer *upstream.Response) *ErrorResponse {
	events := newEventReader(answer, j.relay.Buffers)
	defer events.close()
	for n := 0; ; n++ {
		ev, err := j.nextEvent(events, answer, n)
		if errors.Is(err, errStreamEnd) {
			j.sendHeader(answer)
			j.status = answer.Status
			return nil
		}
		if err != nil {
			return j.handleLostForward(ctx, f, "stream_cut", "after "+strconv.Itoa(n)+" events: "+err.Error())
		}
		if errResp := j.sendEvent(answer, ev); errResp != nil {
			return errResp
		}
	}
}
