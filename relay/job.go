package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/route"
)

const (
	// defaultTimeout applies if neither the route nor the caller sets a timeout.
	defaultTimeout = 60 * time.Second
	// maxRejections is the number of rejections by endpoints after which a
	// request fails.
	maxRejections = 3
	// maxDialFailures is the number of unreachable endpoints after which a
	// request fails.
	maxDialFailures = 4
	// shortRetryAfter is the Retry-After after a transient fault.
	shortRetryAfter = 100 * time.Millisecond
	// staleRetryAfter is the Retry-After of a host whose configuration is stale.
	// It is short because a retry usually reaches another host.
	staleRetryAfter = 50 * time.Millisecond
)

// job is the state of one request while it is served.
type job struct {
	relay   *Relay
	req     *Request
	w       http.ResponseWriter
	arrived time.Time

	table *route.Table
	route *route.Route
	team  string
	// priority is the team's priority, or the route's if the team has none.
	// enginePriority orders requests at the engines by priority and then by the
	// priority of their routes.
	priority, enginePriority int
	// requiresKey is set if the route accepts only requests with a valid key.
	requiresKey bool
	service     *route.Service
	pool        *pool
	// point is the session's position in [0, 1), by which roll-outs choose its version.
	point float64
	// version is the version chosen for the session; empty for any. firstVersion is
	// the version of the first endpoint that was chosen.
	version, firstVersion string
	deadline              time.Time
	// hash identifies the content of the request, parts the parts of its prompt that
	// it may share with other requests.
	hash  limiter.Hash
	parts []limiter.Hash

	// model is the model that the next attempt runs; modelIndex is its index in the
	// route's list.
	model      string
	modelIndex int
	// exclude lists the endpoints that failed or rejected the request, unreached those of
	// them to which this host could not connect. Other hosts may reach these.
	exclude, unreached []string
	// avoid lists the endpoints to which other hosts could not connect for this request. They
	// are tried if there are no others.
	avoid []string
	// delivered counts the attempts that an endpoint has received. possibleRuns
	// counts the attempts that may have run.
	delivered, possibleRuns, rejections, dialFailures int
	// unreachable is set if an endpoint did not answer to a connection attempt at all.
	unreachable bool
	// from is the host that has forwarded the request to this one; empty if it comes from
	// a caller. deliveredBefore, runsBefore and headerSentBefore are delivered,
	// possibleRuns and headerSent of that time.
	from                        string
	deliveredBefore, runsBefore int
	headerSentBefore            bool
	// acceptedTeam and acceptedPriority are what the other host has found for the key; the
	// team is empty if it did not say.
	acceptedTeam     string
	acceptedPriority int
	// forwards counts the hosts to which the request was sent; excludeHosts lists those
	// that could not serve it.
	forwards     int
	excludeHosts []string
	// gateAsked is set once the request has asked the gate of its service for admission.
	gateAsked bool
	// serviceLoad is the load of the service that the gate was told last; 0 before.
	serviceLoad float64
	// denials counts the endpoints that had reached their rate limits, and those whose
	// version may not get the request.
	denials int
	// coldDenied lists the cold endpoints that bore no more requests.
	coldDenied []string
	// endpoint is the id of the endpoint that has last answered.
	endpoint string
	// headerSent is set once the answer's header has been sent to the caller.
	headerSent bool
	// lastEvent is the id of the last event sent to the caller; negative for none.
	lastEvent int64
	// firstByte is the time from arrival to the answer's header.
	firstByte time.Duration
	// longestEventGap is the longest time between two events of one endpoint.
	longestEventGap time.Duration
	// confidence is the model's confidence in its answer, 0 to 100; -1 if the
	// endpoint did not report it.
	confidence int
	// status is the status of the answer that was sent to the caller; 0 before.
	status int
	// steps holds the decisions and results that are logged with the request.
	steps strings.Builder
}

// run serves the request and returns nil once an answer has been sent to the
// caller.
func (j *job) run(ctx context.Context) *ErrorResponse {
	j.awaitConfiguration(ctx)
	if errResp := j.resolve(); errResp != nil {
		return errResp
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.hash, j.parts = j.contentHash(), j.sharedParts()
	if j.from == "" {
		j.pool.budget.RecordRequest()
	}
	for {
		if errResp := j.attempt(ctx); errResp != nil || j.status != 0 {
			return errResp
		}
	}
}

// resolve determines the route, team, service, version and deadline of the
// request.
func (j *job) resolve() *ErrorResponse {
	table, ok := j.relay.Config.Table()
	if !ok {
		return &ErrorResponse{Status: http.StatusServiceUnavailable, Reason: "no_configuration", RetryAfter: shortRetryAfter}
	}
	j.table = table
	j.route, ok = table.Match(j.req.Host, j.req.Path)
	if !ok {
		return j.deny(http.StatusNotFound, "no_route", j.req.Host+j.req.Path)
	}
	j.priority = j.route.Priority
	if errResp := j.authenticate(); errResp != nil {
		return errResp
	}
	j.enginePriority = j.priority*routePriorityLevels + min(j.route.Priority, routePriorityLevels-1)
	j.point = sessionPoint(j.req.sessionKey())
	name := j.route.PickService(j.point)
	j.service, ok = table.Service(name)
	if !ok {
		return &ErrorResponse{Status: http.StatusServiceUnavailable, Reason: "no_service", Detail: name, RetryAfter: shortRetryAfter}
	}
	j.pool = j.relay.pool(name)
	j.version = j.relay.Versions.Pick(name, j.point)
	j.setDeadline()
	j.model = j.req.Model
	if len(j.route.Models) > 0 {
		j.modelIndex = min(j.modelIndex, len(j.route.Models)-1)
		j.model = j.route.Models[j.modelIndex]
	}
	return nil
}

// routePriorityLevels is the number of distinct route priorities within one team
// priority.
const routePriorityLevels = 3

// sessionPoint hashes a session evenly into [0, 1).
func sessionPoint(session string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(session)>>(64-bits)) / (1 << bits)
}

// deny returns the response to a request that the routing table does not allow. If
// the table is outdated, the newest one may allow the request, so the caller is
// told to retry.
func (j *job) deny(status int, reason, detail string) *ErrorResponse {
	if j.relay.Config.Outdated() {
		return &ErrorResponse{
			Status: http.StatusServiceUnavailable, Reason: "outdated_configuration", Detail: reason + " " + detail, RetryAfter: staleRetryAfter,
		}
	}
	return &ErrorResponse{Status: status, Reason: reason, Detail: detail}
}

// authenticate checks the caller's key, unless the route needs none. While the
// configuration is too old, every key is rejected, because it may have been revoked.
func (j *job) authenticate() *ErrorResponse {
	if j.route.Anonymous || !j.table.NeedsKeys() {
		return nil
	}
	j.requiresKey = true
	if errResp := j.checkKeyAge(); errResp != nil {
		return errResp
	}
	team, ok := j.table.TeamForKey(j.req.Key)
	if !ok && j.headerSentBefore && j.acceptedTeam != "" {
		j.team, j.priority = j.acceptedTeam, j.acceptedPriority
		return nil
	}
	if !ok {
		return j.deny(http.StatusUnauthorized, "unknown_key", "")
	}
	j.team = team.Name
	if team.Priority != nil {
		j.priority = *team.Priority
	}
	return nil
}

// checkKeyAge rejects a request if the configuration was last confirmed to be current
// longer ago than keys may be accepted.
func (j *job) checkKeyAge() *ErrorResponse {
	limit := j.relay.Settings().MaxKeyAge
	if limit == 0 {
		return nil
	}
	age, ok := j.relay.Config.Age()
	if ok && age <= limit {
		return nil
	}
	return &ErrorResponse{
		Status: http.StatusServiceUnavailable, Reason: "stale_configuration",
		Detail: "confirmed " + age.Round(time.Millisecond).String() + " ago", RetryAfter: staleRetryAfter,
	}
}

func (j *job) setDeadline() { j.deadline = j.arrived.Add(timeout(j.route, j.req)) }

// remaining returns the time until the request's deadline; 0 before it is set.
func (j *job) remaining() time.Duration {
	if j.deadline.IsZero() {
		return 0
	}
	return j.deadline.Sub(j.relay.Clock.Now())
}

// recheck repeats the checks of age and key right before a send, because their result may
// have changed while the request waited. An answer that has begun goes on: its request was
// accepted, and a change of the configuration cuts no answer in the middle.
func (j *job) recheck() *ErrorResponse {
	if !j.requiresKey || j.headerSent || j.headerSentBefore {
		return nil
	}
	if errResp := j.checkKeyAge(); errResp != nil {
		return errResp
	}
	table, _ := j.relay.Config.Table()
	if table == j.table {
		return nil
	}
	if _, ok := table.TeamForKey(j.req.Key); !ok {
		return &ErrorResponse{Status: http.StatusUnauthorized, Reason: "key_revoked"}
	}
	return nil
}

// giveUp returns the error response for a request that is not attempted again. Its
// status promises that the request has not run only if no endpoint can have run it.
func (j *job) giveUp(reason, detail string, retryAfter time.Duration) *ErrorResponse {
	if j.possibleRuns == 0 {
		return &ErrorResponse{Status: http.StatusServiceUnavailable, Reason: reason, Detail: detail, RetryAfter: retryAfter}
	}
	status := http.StatusBadGateway
	if j.remaining() <= 0 {
		status = http.StatusGatewayTimeout
	}
	return &ErrorResponse{Status: status, Reason: reason, Detail: detail}
}

// checkRetry returns nil if another attempt may be made, and the final error
// response otherwise. A retry is charged to the retry budget unless no attempt
// has reached an endpoint yet.
func (j *job) checkRetry(ctx context.Context, reason string) *ErrorResponse {
	switch {
	case ctx.Err() != nil:
		return j.giveUp(endReason(ctx), reason, shortRetryAfter)
	case j.possibleRuns > 0 && !j.route.Retryable():
		return j.giveUp(reason, "may have run and must not be retried", 0)
	case j.possibleRuns >= max(1, j.route.MaxAttempts):
		return j.giveUp(reason, "maximum number of attempts reached", 0)
	case j.rejections >= maxRejections, j.dialFailures >= j.maxDialFailures():
		return j.giveUp(reason, "too many endpoints unreachable or full", shortRetryAfter)
	case j.delivered == 0:
		return nil // no endpoint has received the request, so this is not a retry
	case j.checkCrashGuard() != nil:
		return j.giveUp(reasonCrashes, reason, crashRetryAfter)
	}
	if !j.pool.takeRetry() && !j.borrowsRetry(ctx) {
		return j.giveUp(reason, "retry budget exhausted", shortRetryAfter)
	}
	return nil
}

// borrowsRetry reports whether another host has lent a retry. Only answers in progress are worth
// that: another request can be refused, and its caller comes back.
func (j *job) borrowsRetry(ctx context.Context) bool {
	return (j.headerSent || j.headerSentBefore) && j.pool.borrowRetry(ctx)
}

// maxDialFailures is the number of unreachable endpoints after which the request fails.
func (j *job) maxDialFailures() int {
	if j.from != "" {
		return maxForwardedDialFailures
	}
	return maxDialFailures
}

// addStep appends a step to the steps that are logged when the request ends.
func (j *job) addStep(parts ...string) {
	if j.steps.Len() > 0 {
		j.steps.WriteByte(' ')
	}
	for i, p := range parts {
		if i > 0 {
			j.steps.WriteByte(':')
		}
		j.steps.WriteString(p)
	}
}

// addSendStep adds the time at which a request is sent again after it may have run, so that logs
// tell whether the run before had ended.
func (j *job) addSendStep() {
	if j.possibleRuns > 0 {
		j.addStep("sent_again_ms=" + strconv.FormatInt(j.relay.Clock.Since(j.arrived).Milliseconds(), 10))
	}
}

// excludeEndpoint releases the slot and excludes its endpoint from further attempts
// of this request.
func (j *job) excludeEndpoint(sl *slot, outcome limiter.Outcome) {
	j.exclude = append(j.exclude, sl.endpoint.ID)
	sl.release(outcome)
}
