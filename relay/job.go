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
	// defaultTimeout bounds requests of routes without a timeout whose callers
	// do not say how long they wait.
	defaultTimeout = 60 * time.Second
	// maxRejections bounds the endpoints that may reject one request.
	maxRejections = 3
	// maxDialFailures bounds the endpoints that one request fails to reach.
	maxDialFailures = 4
	// shortRetry is when a request that met a passing fault may come back.
	shortRetryAfter = 100 * time.Millisecond
	// staleRetry is when a host that cannot confirm its configuration may be
	// asked again; callers usually reach another host.
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
	// priority is that of the team or else of the route; rank orders requests by
	// it and then by their routes.
	priority, rank int
	requiresKey    bool
	service        *route.Service
	pool           *pool
	// version is the only version that may serve the request, empty for any;
	// firstVersion is that of its first endpoint.
	version, firstVersion string
	deadline              time.Time
	hash                  limiter.Hash

	// model is the model that the next attempt runs, and rung its index in the
	// route's list.
	model      string
	modelIndex int
	// exclude are the endpoints that failed or rejected the request.
	exclude []string
	// reached counts the attempts that an endpoint has received, runs those that
	// may have run.
	delivered, possibleRuns, rejections, dialFailures int
	// started is set once the answer's header has been sent to the caller.
	headerSent bool
	// lastEvent is the last event that the caller has.
	lastEvent int64
	firstByte time.Duration
	// longestGap is the longest pause between two events of one endpoint.
	longestEventGap time.Duration
	// confidence is what the endpoint says of its answer, -1 if nothing.
	confidence int
	status     int
	steps      strings.Builder
}

// run serves the request and returns nil once an answer was passed on.
func (j *job) run(ctx context.Context) *ErrorResponse {
	if errResp := j.resolve(); errResp != nil {
		return errResp
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.hash = j.contentHash()
	if errResp := j.checkCrashes(); errResp != nil {
		return errResp
	}
	j.pool.budget.Request()
	for {
		if errResp := j.attempt(ctx); errResp != nil || j.status != 0 {
			return errResp
		}
	}
}

// resolve finds the route, the team and the service.
func (j *job) resolve() *ErrorResponse {
	table, ok := j.relay.Config.Table()
	if !ok {
		return &ErrorResponse{Status: http.StatusServiceUnavailable, Reason: "no_configuration", RetryAfter: shortRetryAfter}
	}
	j.table = table
	j.route, ok = table.Match(j.req.Host, j.req.Path)
	if !ok {
		return &ErrorResponse{Status: http.StatusNotFound, Reason: "no_route", Detail: j.req.Host + j.req.Path}
	}
	j.priority = j.route.Priority
	if errResp := j.authenticate(); errResp != nil {
		return errResp
	}
	j.rank = j.priority*routePriorityLevels + min(j.route.Priority, routePriorityLevels-1)
	point := sessionPoint(j.req.session())
	name := j.route.PickService(point)
	j.service, ok = table.Service(name)
	if !ok {
		return &ErrorResponse{Status: http.StatusServiceUnavailable, Reason: "no_service", Detail: name, RetryAfter: shortRetryAfter}
	}
	j.pool = j.relay.pool(name)
	j.version = j.relay.Versions.Pick(name, point)
	j.setDeadline()
	j.model = j.req.Model
	if len(j.route.Models) > 0 {
		j.model = j.route.Models[0]
	}
	return nil
}

// routeRanks is the number of route priorities that are told apart within one
// priority of teams.
const routePriorityLevels = 3

// sessionPoint spreads sessions evenly over [0, 1).
func sessionPoint(session string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(session)>>(64-bits)) / (1 << bits)
}

// authenticate checks the caller's key. Keys are refused while the host cannot
// confirm that they are still valid.
func (j *job) authenticate() *ErrorResponse {
	if j.route.Anonymous || !j.table.NeedsKeys() {
		return nil
	}
	j.requiresKey = true
	if errResp := j.checkStaleness(); errResp != nil {
		return errResp
	}
	team, ok := j.table.TeamForKey(j.req.Key)
	if !ok {
		return &ErrorResponse{Status: http.StatusUnauthorized, Reason: "unknown_key"}
	}
	j.team = team.Name
	if team.Priority != nil {
		j.priority = *team.Priority
	}
	return nil
}

// checkAge refuses a request with a key if the configuration may be too old.
func (j *job) checkStaleness() *ErrorResponse {
	age, ok := j.relay.Config.Age()
	if ok && age <= j.relay.Settings().MaxStaleness {
		return nil
	}
	return &ErrorResponse{
		Status: http.StatusServiceUnavailable, Reason: "stale_configuration",
		Detail: "confirmed " + age.Round(time.Millisecond).String() + " ago", RetryAfter: staleRetryAfter,
	}
}

func (j *job) setDeadline() {
	wait := defaultTimeout
	if j.route.Timeout > 0 {
		wait = j.route.Timeout
	}
	if j.req.Timeout > 0 {
		wait = min(wait, j.req.Timeout)
	}
	j.deadline = j.arrived.Add(wait)
}

// left returns the time until the request's deadline.
func (j *job) remaining() time.Duration {
	if j.deadline.IsZero() {
		return 0
	}
	return j.deadline.Sub(j.relay.Clock.Now())
}

// recheck repeats, right before a send, the checks whose answer may have
// changed while the request waited.
func (j *job) recheck() *ErrorResponse {
	if !j.requiresKey {
		return nil
	}
	if errResp := j.checkStaleness(); errResp != nil {
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

// giveUp turns the end of all attempts into the final answer. It promises that
// the request has not run only if no endpoint can have run it.
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

// mayRepeat decides whether a further attempt may be made.
func (j *job) checkRetry(ctx context.Context, reason string) *ErrorResponse {
	switch {
	case ctx.Err() != nil:
		return j.giveUp(cancelReason(ctx), reason, shortRetryAfter)
	case j.possibleRuns > 0 && !j.route.Retryable():
		return j.giveUp(reason, "not repeatable", 0)
	case j.possibleRuns >= max(1, j.route.MaxAttempts):
		return j.giveUp(reason, "attempts used up", 0)
	case j.rejections >= maxRejections, j.dialFailures >= maxDialFailures:
		return j.giveUp(reason, "endpoints used up", shortRetryAfter)
	case j.delivered == 0:
		return nil // nothing has arrived, so nothing is repeated
	case j.checkCrashes() != nil:
		return j.giveUp("crashes_endpoints", reason, crashRetryAfter)
	}
	if !j.pool.takeRetry() {
		return j.giveUp(reason, "retry budget used up", shortRetryAfter)
	}
	return nil
}

func cancelReason(ctx context.Context) string {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return "deadline"
	}
	return "caller_left"
}

// note adds a step to the line that is logged at the end.
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

// finish sends a refusal and logs and counts the end of the request.
func (j *job) finish(ctx context.Context, errResp *ErrorResponse) {
	outcome := "answered"
	status := j.status
	var detail string
	if errResp != nil {
		outcome, status, detail = errResp.Reason, errResp.Status, errResp.Detail
	}
	gone := ctx.Err() != nil
	if gone && errResp != nil {
		outcome = "caller_left"
	}
	took := j.relay.Clock.Since(j.arrived)
	j.log(outcome, status, detail, took)
	m := j.relay.metrics
	team, priority := j.team, strconv.Itoa(j.priority)
	m.requests.WithLabelValues(team, priority, outcome).Inc()
	if errResp == nil {
		m.firstByte.WithLabelValues(team, priority).Observe(j.firstByte.Seconds())
		m.duration.WithLabelValues(team, priority).Observe(took.Seconds())
	}
	if errResp == nil {
		return
	}
	if j.headerSent || gone {
		// The header is out or nobody reads: only a cut connection tells that the
		// answer is not complete.
		panic(http.ErrAbortHandler)
	}
	errResp.Write(j.w)
}

// log writes one line for the request: what decided and how it ended.
func (j *job) log(outcome string, status int, detail string, took time.Duration) {
	age, _ := j.relay.Config.Age()
	name, version := "", int64(0)
	if j.route != nil {
		name = j.route.Name
	}
	if j.table != nil {
		version = j.table.Version()
	}
	j.relay.Logger.Info("request", "request", j.req.ID, "route", name, "team", j.team, "priority", j.priority,
		"outcome", outcome, "status", status, "detail", detail, "steps", j.steps.String(), "runs", j.possibleRuns,
		"tokens", j.req.PromptTokens, "first_ms", j.firstByte.Milliseconds(), "gap_ms", j.longestEventGap.Milliseconds(), "took_ms", took.Milliseconds(),
		"left_ms", j.remaining().Milliseconds(), "config", version, "config_age_ms", age.Milliseconds())
}

// failed leaves an endpoint out of the further choice for this request.
func (j *job) excludeEndpoint(sl *slot, outcome limiter.Outcome) {
	j.exclude = append(j.exclude, sl.endpoint.ID)
	sl.release(outcome)
}
