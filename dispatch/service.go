package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/claim"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/internal/drain"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/session"
)

// Claims ensures that non-idempotent requests run at most once. *claim.Claimer
// implements it.
type Claims interface {
	Claim(ctx context.Context, key claim.Key) (claim.Result, error)
	Complete(ctx context.Context, key claim.Key, answer claim.Answer) error
	Abandon(ctx context.Context, key claim.Key) error
}

// ServiceRequest is one call to a plain service, which has no models.
type ServiceRequest struct {
	// ID is the caller's idempotency key, or a generated id.
	ID   string
	Team string
	Rank string
	// Key is the caller's idempotency key. Non-idempotent operations require it.
	Key       string
	Service   string
	Operation string
	Body      []byte
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is set if the answer was stored by an earlier run.
	Replayed bool
	reply    engine.Reply
}

// Release returns the part of the host's budget for buffered bytes that the body takes. It
// must be called once the body is no longer used.
func (a *ServiceAnswer) Release() {
	a.reply.Release()
	a.Body = nil
}

// call is the state of one service request while it is served.
type call struct {
	d      *Dispatcher
	req    ServiceRequest
	op     resource.Operation
	target target
	trace  *Trace
	bill   *bill
	// mayHaveRun is set once an endpoint may have received an attempt.
	mayHaveRun bool
}

// Service serves one call to a plain service.
func (d *Dispatcher) Service(ctx context.Context, req ServiceRequest) (ServiceAnswer, error) {
	arrived := d.Clock.Now()
	c := &call{d: d, req: req, trace: d.traces.start(req.ID)}
	answer, err := c.resolveAndServe(ctx)
	err = endedByStop(ctx, err, c.mayHaveRun)
	cost := 0.0
	if c.bill != nil {
		cost = c.bill.cost
	}
	d.finish(ctx, c.trace, outcome{
		id: req.ID, team: req.Team, rank: c.target.rankName, version: ServiceVersion(req.Service),
		cost: cost, took: d.Clock.Since(arrived), err: err,
	})
	return answer, err
}

func (c *call) resolveAndServe(ctx context.Context) (ServiceAnswer, error) {
	snap := c.d.Config.Current()
	if !c.d.Config.Fresh() {
		return ServiceAnswer{}, staleError()
	}
	if err := c.resolve(snap); err != nil {
		return ServiceAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.target.rank.Deadline.AsDuration())
	defer cancel()
	grant, err := c.d.admit(ctx, c.trace, c.req.Team, c.target, max(c.op.Cost, 1), 0)
	if err != nil {
		return ServiceAnswer{}, err
	}
	defer func() { grant.Release(max(c.op.Cost, 1)) }()
	if c.op.Idempotent {
		return c.runBilled(ctx)
	}
	return c.runClaimed(ctx)
}

func (c *call) resolve(snap *resource.Snapshot) error {
	svc := snap.Services[c.req.Service]
	if svc == nil {
		return apiError(http.StatusNotFound, api.CodeUnknownService, "unknown service %q", c.req.Service)
	}
	var ok bool
	if c.op, ok = svc.Operation(c.req.Operation); !ok {
		return apiError(http.StatusNotFound, api.CodeUnknownService, "unknown operation %q of service %q", c.req.Operation, c.req.Service)
	}
	if !slices.Contains(snap.Teams[c.req.Team].Services, c.req.Service) {
		return apiError(http.StatusForbidden, api.CodeForbidden, "team %q may not call service %q", c.req.Team, c.req.Service)
	}
	var err error
	c.target, err = resolveRank(snap, c.req.Team, c.req.Rank)
	return err
}

// runClaimed runs a non-idempotent operation if this request wins the claim of its
// key.
func (c *call) runClaimed(ctx context.Context) (ServiceAnswer, error) {
	key := claim.Key{Team: c.req.Team, Service: c.req.Service, Operation: c.req.Operation, IdempotencyKey: c.req.Key}
	result, err := c.claim(ctx, key)
	if err != nil {
		c.trace.add("claim", "%v", err)
		return ServiceAnswer{}, claimError(err)
	}
	if !result.Won {
		return c.replay(result)
	}
	c.trace.add("claim", "won")
	answer, err := c.runBilled(ctx)
	// The claim must be completed or abandoned even if the caller has disconnected.
	ctx = context.WithoutCancel(ctx)
	switch {
	case err == nil:
		stored := claim.Answer{
			Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body, Request: xxhash.Sum64(c.req.Body),
		}
		if err := c.d.Claims.Complete(ctx, key, stored); err != nil {
			c.d.Logger.WarnContext(ctx, "answer not stored for retries", "request", c.req.ID, "error", err)
		}
	case !c.mayHaveRun:
		if err := c.d.Claims.Abandon(ctx, key); err != nil {
			c.d.Logger.WarnContext(ctx, "claim not abandoned yet", "request", c.req.ID, "error", err)
		}
	}
	return answer, err
}

// claim claims the key. It waits for the result also if the host stops meanwhile, since a claim
// that is committed must be abandoned before the caller is told that nothing has run.
func (c *call) claim(ctx context.Context, key claim.Key) (claim.Result, error) {
	if err := ctx.Err(); err != nil {
		return claim.Result{}, errors.Join(claim.ErrNotClaimed, err)
	}
	waiting, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if !drain.Stopping(ctx) {
			cancel()
		}
	})
	defer stop()
	return c.d.Claims.Claim(waiting, key)
}

// replay answers a request whose key has been claimed before.
func (c *call) replay(result claim.Result) (ServiceAnswer, error) {
	if result.Answer == nil {
		c.trace.add("claim", "retry of a request at host %s whose answer is unknown", result.Host)
		out := apiError(http.StatusConflict, api.CodeAlreadyRun, "a request with this key has been started before; its answer is not known")
		out.Outcome = api.OutcomeUnknown
		return ServiceAnswer{}, out
	}
	if r := result.Answer.Request; r != 0 && r != xxhash.Sum64(c.req.Body) {
		c.trace.add("claim", "the key was used for another body")
		return ServiceAnswer{}, apiError(http.StatusUnprocessableEntity, api.CodeKeyReused,
			"the Idempotency-Key was used for a request with another body; nothing was run")
	}
	c.trace.add("claim", "retry of an answered request")
	return ServiceAnswer{
		Status: result.Answer.Status, ContentType: result.Answer.ContentType, Body: result.Answer.Body, Replayed: true,
	}, nil
}

// claimError returns the error for the caller for a failed claim.
func claimError(err error) error {
	switch {
	case errors.Is(err, claim.ErrBadKey):
		return apiError(http.StatusBadRequest, api.CodeBadIdempotencyKey, "this operation needs an Idempotency-Key that is a current UUIDv7")
	case errors.Is(err, claim.ErrTooOld):
		out := apiError(http.StatusConflict, api.CodeBadIdempotencyKey, "the Idempotency-Key is older than %v", claim.Retention)
		out.Outcome = api.OutcomeUnknown
		return out
	}
	return apiError(http.StatusServiceUnavailable, api.CodeNotClaimed, "the request could not be claimed: %v", err)
}

// runBilled runs the operation and bills it.
func (c *call) runBilled(ctx context.Context) (ServiceAnswer, error) {
	billID := ServiceRecordID(c.req.Team, c.req.ID, c.req.Service, c.req.Operation, c.req.Body)
	var err error
	if c.bill, err = c.d.openBill(ctx, billID, c.req.ID, c.req.Team, c.target.rankName); err != nil {
		return ServiceAnswer{}, err
	}
	c.bill.record.Model = c.req.Service
	reply, err := c.runAttempts(ctx)
	if err == nil {
		c.bill.cost = c.op.Cost
	}
	c.bill.close(ctx, c.mayHaveRun, err == nil)
	return ServiceAnswer{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body, reply: reply}, err
}

// runAttempts tries endpoints until one answers or no retry is allowed. After an
// attempt that may have run, only an idempotent operation is retried.
func (c *call) runAttempts(ctx context.Context) (engine.Reply, error) {
	c.d.Retries.RecordRequest()
	var tried []string
	for n := 1; ; n++ {
		reply, endpoint, err := c.attemptOnce(ctx, tried)
		if err == nil {
			return reply, nil
		}
		tried = append(tried, endpoint)
		var apiErr *api.Error
		retryable := c.op.Idempotent || !c.mayHaveRun
		if errors.As(err, &apiErr) || !retryable || ctx.Err() != nil || n >= maxAttempts {
			return engine.Reply{}, c.failure(err)
		}
		if !notSent(err) && !c.d.Retries.TryRetry() {
			return engine.Reply{}, c.failure(err)
		}
		c.trace.add("retry", "after: %v", err)
	}
}

// attemptOnce makes one attempt and returns the endpoint that it used; empty if no
// endpoint was available.
func (c *call) attemptOnce(ctx context.Context, tried []string) (engine.Reply, string, error) {
	requestCtx := ctx // without the timeout of the attempt
	if c.op.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.op.Timeout.AsDuration())
		defer cancel()
	}
	sl, err := c.d.acquire(ctx, c.trace, slotRequest{version: ServiceVersion(c.req.Service), tried: tried, started: c.mayHaveRun})
	var limited *api.Error
	if errors.As(err, &limited) {
		return engine.Reply{}, "", err
	}
	if err != nil {
		return engine.Reply{}, "", apiError(http.StatusServiceUnavailable, api.CodeUnavailable, "no endpoint of service %q: %v", c.req.Service, err)
	}
	if !c.d.Config.Fresh() {
		sl.release(limiter.OutcomeIgnored, 0)
		return engine.Reply{}, "", staleError()
	}
	c.trace.add("endpoint", "%s, attempt %s", sl.endpoint, sl.attempt)
	started := c.d.Clock.Now()
	reply, err := c.d.Engines.Call(ctx, sl.addr, c.req.Service, c.req.Operation, sl.attempt, c.req.Key, c.req.Body)
	took := c.d.Clock.Since(started)
	if c.op.Idempotent && mayRunOn(err) {
		c.d.cancelAttempt(requestCtx, sl)
	}
	c.recordOutcome(ctx, sl, err, took)
	return reply, sl.endpoint, err
}

func (c *call) recordOutcome(ctx context.Context, sl *slot, err error, took time.Duration) {
	outcome, result := classify(ctx, err)
	var failed *engine.Error
	if !errors.As(err, &failed) || failed.Outcome != api.OutcomeNotRun {
		c.mayHaveRun = true
	}
	c.d.Pool.observeAttempt(ctx, sl.endpoint, err)
	sl.release(outcome, took)
	c.d.metrics.attempts.WithLabelValues(result).Inc()
}

// failure returns the error for the caller. Its outcome is unknown if an attempt may
// have run.
func (c *call) failure(err error) error {
	var apiErr *api.Error
	out := apiError(http.StatusBadGateway, api.CodeEndpointFailed, "%v", err)
	if errors.As(err, &apiErr) {
		copied := *apiErr
		out = &copied
	}
	if c.mayHaveRun {
		out.Outcome = api.OutcomeUnknown
	}
	return markUnreachable(out, err)
}

// NewSession returns the token of a new session of the team, pinned to the version of
// the model that new work uses now.
func (d *Dispatcher) NewSession(team, model string) (string, session.Pin, error) {
	snap := d.Config.Current()
	if snap.Models[model] == nil {
		return "", session.Pin{}, apiError(http.StatusNotFound, api.CodeUnknownModel, "unknown model %q", model)
	}
	pin := session.New(team, model, "")
	v, ok := d.pickVersion(snap, team, model, "", resource.HashKey(pin.ID))
	if !ok {
		return "", session.Pin{}, apiError(http.StatusForbidden, api.CodeForbidden, "no version of model %q is allowed and serving", model)
	}
	pin.Version = v
	token, err := d.Signer.Sign(pin)
	return token, pin, err
}
