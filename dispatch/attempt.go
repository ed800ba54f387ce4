package dispatch

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/limiter"
)

const (
	// maxAttempts bounds the attempts of one step, beside the retry budget.
	maxAttempts = 4
	// prefixBlockBytes is the length of prompt text that one block of the
	// engines' prefix caches covers.
	prefixBlockBytes = 256
)

// generate tries endpoints until one answers, the budget is used up, or the
// deadline passes. A broken answer is continued at the next token.
func (a *attempts) generate(ctx context.Context) (engine.Final, error) {
	a.d.Retries.Request()
	var exclude []string
	for n := 1; ; n++ {
		had := a.tokens
		final, endpoint, err := a.once(ctx, a.withAvoided(exclude))
		if err == nil {
			return final, nil
		}
		if endpoint != "" {
			exclude = append(exclude, endpoint)
		}
		if stop := a.stop(ctx, n, a.tokens > had, err); stop != nil {
			return engine.Final{}, stop
		}
		if a.exhausted(exclude) {
			exclude = nil // every endpoint has been tried once
		}
	}
}

func (a *attempts) exhausted(exclude []string) bool {
	return len(exclude) >= len(a.d.Config.Current().EndpointsForVersion(a.version))
}

// withAvoided adds the endpoint that crashed under the request, if another one
// serves the version: a second crash elsewhere tells a bad request from a bad
// endpoint.
func (a *attempts) withAvoided(exclude []string) []string {
	avoid := a.d.Crashes.Admit(a.hash).AvoidEndpoint
	if avoid == "" || len(a.d.Config.Current().EndpointsForVersion(a.version)) < 2 {
		return exclude
	}
	return append(slices.Clone(exclude), avoid)
}

// stop returns the error to give up with, or nil to try again. An attempt that
// brought tokens may always be continued, because that repeats no work; other
// retries need the budget.
func (a *attempts) stop(ctx context.Context, n int, progressed bool, err error) error {
	var refused *api.Error
	if errors.As(err, &refused) || ctx.Err() != nil || n >= maxAttempts {
		return errors.CombineErrors(err, a.d.holdSuspect(ctx, a.hash))
	}
	if !a.d.Retries.TryRetry() && !progressed {
		a.trace.add("retry", "budget used up after: %v", err)
		a.d.metrics.decisions.WithLabelValues("retry", "refused").Inc()
		return errors.CombineErrors(err, a.d.holdSuspect(ctx, a.hash))
	}
	a.trace.add("retry", "after: %v", err)
	a.d.metrics.decisions.WithLabelValues("retry", "granted").Inc()
	return a.d.passCrashGuard(ctx, a.trace, a.hash)
}

// once runs one attempt and returns the endpoint it was made at.
func (a *attempts) once(ctx context.Context, exclude []string) (engine.Final, string, error) {
	p, err := a.acquire(ctx, exclude)
	if err != nil {
		return engine.Final{}, "", err
	}
	a.trace.add("endpoint", "%s for version %s by %s, %d blocks cached, attempt %s", p.endpoint, a.version, p.reason, p.cached, p.attempt)
	var final engine.Final
	firstToken := time.Duration(0)
	err = a.d.guardedCall(ctx, p.addr, p.attempt, func(ctx context.Context, received func(int)) error {
		var err error
		final, err = a.d.Engines.Generate(ctx, p.addr, a.request(p.attempt), func(ev engine.Event) error {
			if firstToken == 0 {
				firstToken = a.d.Clock.Since(p.started)
			}
			received(1)
			return a.token(ev)
		})
		return err
	})
	a.settle(ctx, p, err, firstToken)
	return final, p.endpoint, err
}

// acquire waits for a place and then checks the configuration again, because
// the version may have been withdrawn meanwhile.
func (a *attempts) acquire(ctx context.Context, exclude []string) (*place, error) {
	p, err := a.d.Pool.acquire(ctx, a.version, prefixBlocks(a.req.Body.Messages), exclude, a.hash)
	if err != nil {
		if errors.Is(err, balance.ErrNoEndpoint) {
			return nil, refusal(http.StatusServiceUnavailable, api.CodeUnavailable, "no endpoint serves version %q", a.version)
		}
		return nil, errors.Wrapf(err, "wait for an endpoint of version %q", a.version)
	}
	snap := a.d.Config.Current()
	spec := snap.Endpoints[p.endpoint]
	switch {
	case !a.d.Config.Fresh():
		err = refusal(http.StatusServiceUnavailable, api.CodeUnavailable, "this host cannot confirm that its configuration is current")
	case !snap.MayServe(a.req.Team, a.version):
		err = refusal(http.StatusForbidden, api.CodeForbidden, "version %q is no longer allowed or serving", a.version)
	case spec == nil || spec.Address != p.addr:
		err = errors.Newf("endpoint %q has left", p.endpoint)
	default:
		err = a.d.startProbation(ctx, a.hash, p.endpoint)
	}
	if err != nil {
		p.done(limiter.OutcomeIgnored, 0)
		return nil, err
	}
	return p, nil
}

func (a *attempts) request(attempt string) engine.GenerateRequest {
	b := a.req.Body
	return engine.GenerateRequest{
		Attempt: attempt, Version: a.version, Messages: b.Messages, MaxTokens: b.MaxTokens,
		ResumeFrom: a.tokens, Prefix: a.text.String(), Priority: a.target.rank.Priority,
		Temperature: b.Temperature, TopP: b.TopP, User: b.User,
	}
}

// settle gives the place back and tells the limits how the attempt ended.
func (a *attempts) settle(ctx context.Context, p *place, err error, firstToken time.Duration) {
	outcome, result := classify(ctx, err)
	var failed *engine.Error
	if !errors.As(err, &failed) || failed.Outcome != api.OutcomeNotRun {
		a.reached = true
	}
	crashed := failed != nil && failed.Lost && ctx.Err() == nil && a.d.noteLoss(ctx, p)
	a.d.endProbation(ctx, a.hash, p.endpoint, crashed)
	p.done(outcome, firstToken)
	a.d.metrics.attempts.WithLabelValues(result).Inc()
	if err == nil {
		a.d.Crashes.RecordSuccess(a.hash)
	}
}

// classify says what an attempt's end tells about its endpoint.
func classify(ctx context.Context, err error) (limiter.Outcome, string) {
	var failed *engine.Error
	switch {
	case err == nil:
		return limiter.OutcomeOK, "ok"
	case ctx.Err() != nil:
		return limiter.OutcomeIgnored, "cancelled"
	case !errors.As(err, &failed):
		return limiter.OutcomeIgnored, "stopped"
	case failed.Busy:
		return limiter.OutcomeOverload, "busy"
	case failed.Silent:
		return limiter.OutcomeError, "silent"
	case failed.Outcome == api.OutcomeRun:
		return limiter.OutcomeIgnored, "caller_left"
	}
	return limiter.OutcomeError, "error"
}

// noteLoss finds out whether a lost connection means that the endpoint
// crashed, and reports the requests that ran there.
func (d *Dispatcher) noteLoss(ctx context.Context, p *place) bool {
	ctx, cancel := context.WithTimeout(ctx, limiter.ProbeTimeout)
	defer cancel()
	if status, err := d.Engines.Probe(ctx, p.addr, p.attempt); err == nil && status.Running {
		return false
	}
	hashes, first := p.crashed()
	if first {
		d.Logger.WarnContext(ctx, "endpoint crashed", "endpoint", p.endpoint, "running", len(hashes))
		d.Crashes.RecordCrash(p.endpoint, hashes)
	}
	return true
}

// prefixBlocks returns the hashes of the prompt's prefix blocks; each covers
// the whole prompt up to the end of its block.
func prefixBlocks(messages []api.Message) []uint64 {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	prompt := b.String()
	var out []uint64
	h := xxhash.New()
	for start := 0; start+prefixBlockBytes <= len(prompt); start += prefixBlockBytes {
		// A hash never returns an error.
		_, _ = h.WriteString(prompt[start : start+prefixBlockBytes])
		out = append(out, h.Sum64())
	}
	return out
}
