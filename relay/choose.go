package relay

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/upstream"
)

// maxOwnDialFailures is the number of endpoints that refuse connections after which a request
// is forwarded.
const maxOwnDialFailures = 2

// reasonUnreachable is the reason of an error response if this host reaches no endpoint of
// the service.
const reasonUnreachable = "service_unreachable"

// mustForward reports whether the request has to be served by another host, because this
// one cannot connect to the endpoints of its service.
func (j *job) mustForward() bool {
	return j.unreachable || j.dialFailures >= maxOwnDialFailures || j.pool.paths.reach.Lost()
}

// chooseIdle picks an endpoint with an open connection after new ones were refused. It returns
// false if there is none or the open connections are silent, too.
func (j *job) chooseIdle() (*slot, bool) {
	if !j.pool.paths.answeredWithin(silentTime) {
		return nil, false
	}
	exclude := j.exclude
	defer func() { j.exclude = exclude }()
	for _, e := range j.relay.Fleet.Service(j.pool.service) {
		if !j.relay.Client.HasIdle(e.Address) {
			j.exclude = append(slices.Clip(j.exclude), e.ID)
		}
	}
	sl, err := j.choose()
	return sl, err == nil
}

// chooseReachable picks an endpoint for the request, or lets another host serve it. It
// returns no endpoint if the request has been handled.
func (j *job) chooseReachable(ctx context.Context) (*slot, *ErrorResponse) {
	if !j.mustForward() {
		return j.chooseOwn()
	}
	if !j.unreachable {
		if sl, ok := j.chooseIdle(); ok {
			return sl, nil
		}
	}
	if forwarded, errResp := j.forward(ctx); forwarded {
		return nil, errResp
	}
	if j.pool.paths.reach.Lost() {
		return j.chooseUntried()
	}
	return j.chooseOwn()
}

// chooseUntried picks an endpoint that has not refused a connection lately. If all have, the
// request is rejected at once.
func (j *job) chooseUntried() (*slot, *ErrorResponse) {
	exclude := j.exclude
	defer func() { j.exclude = exclude }()
	j.exclude = slices.AppendSeq(slices.Clone(exclude), maps.Keys(j.pool.paths.reach.Avoided()))
	sl, err := j.choose()
	if err != nil {
		j.addStep("none")
		return nil, j.giveUp(reasonUnreachable, "no host reaches an endpoint", lostCheckInterval)
	}
	return sl, nil
}

// chooseOwn picks an endpoint for the request.
func (j *job) chooseOwn() (*slot, *ErrorResponse) {
	sl, err := j.choose()
	if err == nil {
		return sl, nil
	}
	j.addStep("none")
	if j.pool.allEvacuated.Load() {
		return nil, j.giveUp(reasonEvacuated, "all endpoints are in evacuated domains", evacuatedRetryAfter)
	}
	if wait := j.coldWait(); wait > 0 {
		return nil, j.giveUp("endpoints_limited", "all endpoints are cold or at their limits", wait)
	}
	if j.pool.shares.Active() {
		return nil, j.giveUp(reasonFull, "this host's share of the endpoints is in use", shortRetryAfter)
	}
	if wait := j.pool.shortestDenial(); wait > 0 {
		return nil, j.giveUp("endpoints_limited", err.Error(), wait)
	}
	return nil, j.giveUp("no_endpoint", err.Error(), shortRetryAfter)
}

// noteDialFailure records that the job could not connect to an endpoint. After one that did
// not even refuse, it does not try a further one.
func (j *job) noteDialFailure(sl *slot, err error) {
	j.dialFailures++
	j.unreachable = j.unreachable || !upstream.Refused(err)
	j.checkFailedDial(sl, err)
	j.unreached = append(j.unreached, sl.endpoint.ID)
	j.excludeEndpoint(sl, limiter.OutcomeError)
}

// choose picks an endpoint of the request's version. A request that may run on
// any version prefers the version of its first endpoint: a roll-out may begin
// while the request is in flight, and its session then counts as one of the old
// version. If the preferred version has no endpoint, choose falls back to any
// version, except for a request with a version that has already excluded an endpoint,
// or whose endpoints may only have reached their rate limits.
func (j *job) choose() (*slot, error) {
	j.followRollout()
	anyVersionAllowed := j.version == "" || len(j.exclude) == 0 && j.pool.shortestDenial() == 0
	sl, err := j.pool.choose(j, cmp.Or(j.version, j.firstVersion))
	if err != nil && anyVersionAllowed {
		sl, err = j.pool.choose(j, anyVersion)
	}
	if err == nil && j.firstVersion == "" {
		j.firstVersion = sl.endpoint.Version
	}
	return sl, err
}

// followRollout moves the request to another version if a roll-out has meanwhile ended against
// its own one, whose endpoints stop.
func (j *job) followRollout() {
	if next, ok := j.relay.Versions.Successor(j.pool.service, cmp.Or(j.version, j.firstVersion)); ok {
		j.addStep("follows", next)
		j.version, j.firstVersion = next, ""
	}
}
