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
	"github.com/corianderlever/corianderlever/internal/drain"
	"github.com/corianderlever/corianderlever/limiter"
)

const (
	// maxAttempts is the maximum number of attempts of one step in a row that bring no
	// token. The retry budget limits them as well.
	maxAttempts = 4
	// maxStreamAttempts is the maximum number of attempts of one step. Each repeats the
	// prefill of the prompt.
	maxStreamAttempts = 16
	// prefixBlockBytes is the length of the prompt text that one block of an
	// engine's prefix cache covers.
	prefixBlockBytes = 256
)

// generate tries endpoints until one completes the answer, no retry is allowed, or
// the deadline passes. A broken answer is resumed at the next token.
func (g *generation) generate(ctx context.Context) (engine.Final, error) {
	g.d.Retries.RecordRequest()
	var tried []string
	failures := 0 // in a row that brought no token
	for n := 1; ; n++ {
		tokensBefore := g.tokens
		final, endpoint, err := g.attemptOnce(ctx, g.excludeCrashed(tried))
		if err == nil {
			return final, nil
		}
		if endpoint != "" {
			tried = append(tried, endpoint)
		}
		progressed := g.tokens > tokensBefore
		if failures++; progressed {
			failures = 0
		}
		if failures >= maxAttempts || n >= maxStreamAttempts {
			return engine.Final{}, g.giveUp(ctx, err)
		}
		if stop := g.checkRetry(ctx, progressed, err); stop != nil {
			return engine.Final{}, stop
		}
		if g.triedAll(tried) {
			tried = nil
		}
	}
}

// triedAll reports whether every endpoint of the version has been tried.
func (g *generation) triedAll(tried []string) bool {
	return len(tried) >= g.usableEndpoints()
}

// usableEndpoints returns the number of endpoints of the version that may get new work.
func (g *generation) usableEndpoints() int {
	snap, n := g.d.Config.Current(), 0
	for _, name := range snap.EndpointsForVersion(g.version) {
		if snap.GetsWork(snap.Endpoints[name]) {
			n++
		}
	}
	return n
}

// excludeCrashed adds the endpoint that crashed while running the request, if
// another endpoint serves the version. A second crash on another endpoint shows
// that the request is the cause and not the endpoint.
func (g *generation) excludeCrashed(tried []string) []string {
	avoid := g.d.Crashes.Admit(g.hash).AvoidEndpoint
	if avoid == "" || g.usableEndpoints() < 2 {
		return tried
	}
	return append(slices.Clone(tried), avoid)
}

// checkRetry returns nil if another attempt may be made, and the final error
// otherwise. An answer that has made progress may be resumed even without retry
// budget, because resuming repeats no work. A request that was not sent has caused none.
func (g *generation) checkRetry(ctx context.Context, progressed bool, err error) error {
	var apiErr *api.Error
	if errors.As(err, &apiErr) || ctx.Err() != nil {
		return g.giveUp(ctx, err)
	}
	if !notSent(err) && !g.d.Retries.TryRetry() && !progressed {
		g.trace.add("retry", "retry budget exhausted after: %v", err)
		g.d.metrics.decisions.WithLabelValues("retry", "refused").Inc()
		return g.giveUp(ctx, err)
	}
	g.trace.add("retry", "after: %v", err)
	g.d.metrics.decisions.WithLabelValues("retry", "granted").Inc()
	return g.d.awaitCrashGuard(ctx, g.trace, g.hash, g.parts)
}

// giveUp returns the final error once the other hosts know whether the request is suspect.
func (g *generation) giveUp(ctx context.Context, err error) error {
	return errors.CombineErrors(err, g.d.delaySuspect(ctx, g.hash))
}

// attemptOnce makes one attempt and returns the endpoint that it used; empty if no
// endpoint was available.
func (g *generation) attemptOnce(ctx context.Context, tried []string) (engine.Final, string, error) {
	sl, err := g.acquire(ctx, tried)
	if err != nil {
		return engine.Final{}, "", err
	}
	g.trace.add("endpoint", "%s for version %s by %s, %d blocks cached, attempt %s", sl.endpoint, g.version, sl.reason, sl.cachedBlocks, sl.attempt)
	run := g.d.Parts.Start(endpointHash(sl.endpoint), g.parts)
	var final engine.Final
	firstToken := time.Duration(0)
	err = g.d.guardedCall(ctx, sl.addr, sl.attempt, func(ctx context.Context, received func(int)) error {
		var err error
		final, err = g.d.Engines.Generate(ctx, sl.addr, g.request(sl.attempt), func(ev engine.Event) error {
			if firstToken == 0 {
				firstToken = g.d.Clock.Since(sl.started)
			}
			if g.d.Clock.Since(sl.started)-firstToken >= limiter.ProvenAfter {
				run.Prove()
			}
			received(1)
			return g.onToken(ev)
		})
		return err
	})
	g.recordRun(run, err)
	g.recordOutcome(ctx, sl, err, firstToken)
	return final, sl.endpoint, err
}

// acquire waits for a slot and then checks the configuration again, because the
// version may have been withdrawn during the wait.
func (g *generation) acquire(ctx context.Context, tried []string) (*slot, error) {
	sl, err := g.d.acquire(ctx, g.trace, slotRequest{
		version: g.version, prefix: prefixBlocks(g.req.Body.Messages), hash: g.hash,
		tried: tried, started: g.mayHaveRun,
	})
	if err != nil {
		if errors.Is(err, balance.ErrNoEndpoint) {
			return nil, apiError(http.StatusServiceUnavailable, api.CodeUnavailable, "no endpoint serves version %q", g.version)
		}
		return nil, errors.Wrapf(err, "wait for an endpoint of version %q", g.version)
	}
	snap := g.d.Config.Current()
	switch {
	case !g.d.Config.Fresh():
		err = staleError()
	case !snap.MayServe(g.req.Team, g.version):
		err = apiError(http.StatusForbidden, api.CodeForbidden, "version %q is no longer allowed or serving", g.version)
	default:
		if err = g.d.rejectedPart(g.parts); err == nil {
			err = g.d.startProbation(ctx, g.hash, sl.endpoint)
		}
	}
	if err != nil {
		sl.release(limiter.OutcomeIgnored, 0)
		return nil, err
	}
	return sl, nil
}

func (g *generation) request(attempt string) engine.GenerateRequest {
	b := g.req.Body
	return engine.GenerateRequest{
		Attempt: attempt, Version: g.version, Messages: b.Messages, MaxTokens: b.MaxTokens,
		ResumeFrom: g.tokens, Prefix: string(g.text.Bytes()), Priority: g.target.rank.Priority,
		Temperature: b.Temperature, TopP: b.TopP, User: b.User,
	}
}

// recordRun records for the guard how a run has ended.
func (g *generation) recordRun(run *limiter.PartRun, err error) {
	var failed *engine.Error
	switch {
	case err == nil:
		run.Prove()
	case errors.As(err, &failed) && failed.Outcome == api.OutcomeNotRun:
		run.Discard()
	default:
		run.End()
	}
}

// endpointHash identifies an endpoint for the guard. Its restarts are not known.
func endpointHash(endpoint string) limiter.Hash { return limiter.HashStrings(endpoint) }

// recordOutcome frees the slot and records the outcome of the attempt.
func (g *generation) recordOutcome(ctx context.Context, sl *slot, err error, firstToken time.Duration) {
	outcome, result := classify(ctx, err)
	var failed *engine.Error
	if !errors.As(err, &failed) || failed.Outcome != api.OutcomeNotRun {
		g.mayHaveRun = true
	}
	g.d.Pool.observeAttempt(ctx, sl.endpoint, err)
	crashed := failed != nil && failed.Lost && ctx.Err() == nil && g.d.checkForCrash(ctx, sl)
	g.d.endProbation(ctx, g.hash, sl.endpoint, crashed)
	if mayRunOn(err) {
		g.d.cancelAttempt(ctx, sl)
	}
	sl.release(outcome, firstToken)
	g.d.metrics.attempts.WithLabelValues(result).Inc()
	if err == nil {
		g.d.Crashes.RecordSuccess(g.hash)
	}
}

// classify returns the outcome of an attempt for its endpoint's limits and health,
// and the result label for the metrics.
func classify(ctx context.Context, err error) (limiter.Outcome, string) {
	var failed *engine.Error
	switch {
	case err == nil:
		return limiter.OutcomeOK, "ok"
	case drain.Stopping(ctx):
		return limiter.OutcomeIgnored, codeStopping
	case ctx.Err() != nil:
		return limiter.OutcomeIgnored, "cancelled"
	case !errors.As(err, &failed):
		return limiter.OutcomeIgnored, "stopped"
	case failed.Busy:
		return limiter.OutcomeOverload, "busy"
	case failed.Silent:
		return limiter.OutcomeError, "silent"
	case failed.Outcome == api.OutcomeRun: // usually the caller has disconnected
		return limiter.OutcomeIgnored, "caller_left"
	}
	return limiter.OutcomeError, "error"
}

// checkForCrash probes an endpoint whose connection was lost. If the attempt no
// longer runs there, the endpoint has crashed, and the requests that it ran are
// recorded. It reports whether the endpoint has crashed.
func (d *Dispatcher) checkForCrash(ctx context.Context, sl *slot) bool {
	if d.stillRunning(ctx, sl) {
		// An endpoint that is about to end may still answer.
		if d.sleep(ctx, recheckDelay) != nil || d.stillRunning(ctx, sl) {
			return false
		}
	}
	if !d.othersAnswer(ctx, sl) {
		return false // the links of this host are at fault
	}
	hashes, first := sl.takeCrashed()
	if first {
		d.Pool.pauseCrashed(sl.endpoint)
		d.Logger.WarnContext(ctx, "endpoint crashed", "endpoint", sl.endpoint, "running", len(hashes))
		d.Crashes.RecordCrash(sl.endpoint, hashes)
		d.Parts.RecordCrash(endpointHash(sl.endpoint))
	}
	return true
}

// recheckDelay is the time after which an endpoint that still answered is asked once more.
const recheckDelay = 50 * time.Millisecond

// stillRunning reports whether the endpoint says that it runs the attempt.
func (d *Dispatcher) stillRunning(ctx context.Context, sl *slot) bool {
	ctx, cancel := context.WithTimeout(ctx, limiter.ProbeTimeout)
	defer cancel()
	status, err := d.Engines.Probe(ctx, sl.addr, sl.attempt)
	return err == nil && status.Running
}

// prefixBlocks returns the hashes of the prompt's prefix blocks. Each hash covers
// the prompt from its start to the end of the block.
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
