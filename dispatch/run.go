package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/admission"
	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/cascade"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/resource"
)

// run is the state of one chat request while it is served.
type run struct {
	d       *Dispatcher
	req     ChatRequest
	target  target
	trace   *Trace
	sink    Sink
	arrived time.Time
	hash    limiter.Hash
	// parts identify the messages that other requests may have too.
	parts []limiter.Hash
	bill  *bill
	// texts hold the texts of the answers until the end of the request.
	texts []*limiter.Accumulator

	// streamed is set once text has been sent to the caller. After that, no other
	// version can answer the request.
	streamed bool
	// mayHaveRun is set once an endpoint may have received an attempt.
	mayHaveRun bool
}

// contentHash identifies the content of a request. It leaves out the request's id, so
// that a retry under another id is recognised.
func contentHash(messages []api.Message) limiter.Hash {
	h := xxhash.New()
	for _, m := range messages {
		// A hash never returns an error.
		_, _ = h.WriteString(m.Role + "\x00" + m.Content + "\x00")
	}
	return limiter.Hash(h.Sum64())
}

// sharedParts returns the hashes of the messages that other requests may have too. The
// last message belongs to the request alone.
func sharedParts(messages []api.Message) []limiter.Hash {
	var parts []limiter.Hash
	for i := range len(messages) - 1 {
		parts = append(parts, limiter.HashStrings(messages[i].Role, messages[i].Content))
	}
	return parts
}

// serve runs the request once the crash guard and the allowance admit it, and
// settles its cost.
func (r *run) serve(ctx context.Context) (Answer, error) {
	if err := r.d.awaitCrashGuard(ctx, r.trace, r.hash, r.parts); err != nil {
		return Answer{}, err
	}
	decision, err := r.d.awaitAllowance(ctx, r.trace, r.req.Team, r.target, r.expectedCost())
	if err != nil {
		return Answer{}, err
	}
	answer, err := r.serveAllowed(ctx, decision.PriceMultiplier)
	cost := 0.0
	if r.bill != nil {
		cost = r.bill.cost
	}
	decision.Settle(cost)
	answer.Receipt.Cost = cost
	return answer, err
}

// serveAllowed plans, admits, runs and bills the request.
func (r *run) serveAllowed(ctx context.Context, priceMultiplier float64) (Answer, error) {
	plan, err := r.plan(priceMultiplier)
	if err != nil {
		return Answer{}, err
	}
	expected := r.expectedDuration(plan)
	if err := r.checkEnd(expected); err != nil {
		return Answer{}, err
	}
	grant, err := r.d.admit(ctx, r.trace, r.req.Team, r.target, plan.Cost, expected)
	if err != nil {
		return Answer{}, err
	}
	defer func() {
		cost := 0.0
		if r.bill != nil {
			cost = r.bill.cost
		}
		grant.Release(cost)
	}()
	if r.bill, err = r.d.openBill(ctx, ChatRecordID(r.req.Team, r.req.ID, r.req.Body.Messages), r.req.ID, r.req.Team, r.target.rankName); err != nil {
		return Answer{}, err
	}
	answer, err := r.execute(ctx, plan)
	for n := 0; err != nil && n < maxReplans && r.mayReplan(ctx, err); n++ {
		if plan, err = r.replan(priceMultiplier); err == nil {
			answer, err = r.execute(ctx, plan)
		}
	}
	r.bill.close(ctx, r.mayHaveRun, err == nil)
	return answer, err
}

// maxReplans bounds how often one request is planned again because versions have changed.
const maxReplans = 2

// mayReplan reports whether a request that failed may be tried with other versions: those that
// it was resolved to may no longer serve it, or new work has moved away from them.
func (r *run) mayReplan(ctx context.Context, err error) bool {
	if r.streamed || ctx.Err() != nil {
		return false
	}
	return r.versionWithdrawn() || !isDecision(err) && r.versionsMoved() && (!r.mayHaveRun || r.d.Retries.TryRetry())
}

func (r *run) versionWithdrawn() bool {
	snap := r.d.Config.Current()
	return slices.ContainsFunc(r.target.versions, func(v string) bool { return !snap.MayServe(r.req.Team, v) })
}

// versionsMoved reports whether a new request of the same kind would get other versions.
func (r *run) versionsMoved() bool {
	now, err := r.d.resolve(r.req)
	return err == nil && !slices.Equal(now.versions, r.target.versions)
}

// replan resolves and plans the request again under the configuration in force.
func (r *run) replan(priceMultiplier float64) (cascade.Plan, error) {
	target, err := r.d.resolve(r.req)
	if err != nil {
		return cascade.Plan{}, r.failure(err)
	}
	r.trace.add("resolve", "resolved again because versions have changed, versions %v", target.versions)
	r.target = target
	plan, err := r.plan(priceMultiplier)
	if err != nil {
		return plan, r.failure(err)
	}
	return plan, nil
}

// expectedDuration returns the estimated duration of the plan, at most half of the
// rank's deadline.
func (r *run) expectedDuration(plan cascade.Plan) time.Duration {
	return min(plan.P95, r.target.rank.Deadline.AsDuration()/2)
}

// expectedTokens is the expected length of an answer whose length the request does
// not limit further.
const expectedTokens = 256

// answerTokens returns the expected length of the answer in tokens.
func (r *run) answerTokens() int {
	if n := r.req.Body.MaxTokens; n > 0 && n < expectedTokens {
		return n
	}
	return expectedTokens
}

// bytesPerToken is the assumed length of a token in a prompt.
const bytesPerToken = 4

// promptTokens returns the estimated length of the prompt in tokens.
func (r *run) promptTokens() int {
	n := 0
	for _, m := range r.req.Body.Messages {
		n += len(m.Content)
	}
	return n / bytesPerToken
}

// expectedCost returns the estimated cost with the cheapest version.
func (r *run) expectedCost() float64 {
	snap := r.d.Config.Current()
	best := -1.0
	for _, v := range r.target.versions {
		if c := Cost(snap.Versions[v], r.promptTokens(), r.answerTokens()); best < 0 || c < best {
			best = c
		}
	}
	return max(best, 0)
}

// plan asks the chooser which versions to try.
func (r *run) plan(priceMultiplier float64) (cascade.Plan, error) {
	snap := r.d.Config.Current()
	req := cascade.Request{
		Kind:            r.req.Kind,
		QualityTarget:   r.target.quality,
		TimeLeft:        r.target.rank.Deadline.AsDuration() - r.d.Clock.Since(r.arrived),
		PriceMultiplier: priceMultiplier,
	}
	for _, name := range r.target.versions {
		v := snap.Versions[name]
		if v == nil {
			continue
		}
		req.Candidates = append(req.Candidates, cascade.Candidate{
			Version: name, Cost: Cost(v, r.promptTokens(), r.answerTokens()), PriorPassRate: v.PassRate,
		})
	}
	plan, err := r.d.Chooser.Plan(req)
	if err != nil {
		return plan, apiError(http.StatusServiceUnavailable, api.CodeUnavailable, "no version can serve the request: %v", err)
	}
	r.trace.add("plan", "%s", plan.Explain())
	r.d.Demand.Arrived(plan.Steps[0].Version, r.target.rankName)
	r.d.metrics.decisions.WithLabelValues("plan", planResult(plan)).Inc()
	return plan, nil
}

func planResult(plan cascade.Plan) string {
	if len(plan.Steps) > 1 {
		return "cascade"
	}
	return "single"
}

// execute runs the steps of the plan until an answer is accepted or no step is left. A
// gated answer is rated before it is sent, and is not sent if the request escalates.
func (r *run) execute(ctx context.Context, plan cascade.Plan) (Answer, error) {
	var lastErr error
	for i, step := range plan.Steps {
		last := i == len(plan.Steps)-1
		if i > 0 {
			r.d.Demand.Arrived(step.Version, r.target.rankName)
		}
		gated := step.RatingMode == cascade.RatingGate && !last && r.d.Rater != nil
		answer, err := r.runStep(ctx, step, gated)
		if err != nil {
			lastErr = err
			r.trace.add("step", "version %s failed: %v", step.Version, err)
			if r.streamed || ctx.Err() != nil {
				break
			}
			continue
		}
		if gated && r.escalate(ctx, plan, i, answer) {
			continue
		}
		if gated {
			if err := r.send(answer.Text); err != nil {
				return answer, err
			}
		}
		if !gated && (step.RatingMode == cascade.RatingSample || r.d.mustRate(r.req, step.Version)) {
			r.d.rateInBackground(r.req, step.Version, i > 0, answer.Text)
		}
		return answer, nil
	}
	return Answer{}, r.failure(lastErr)
}

// send sends text to the caller.
func (r *run) send(text string) error {
	r.streamed = true
	return r.sink(text)
}

// runStep returns the complete answer of one version. A gated answer is buffered.
func (r *run) runStep(ctx context.Context, step cascade.Step, gated bool) (Answer, error) {
	started := r.d.Clock.Now()
	g := r.newGeneration(step.Version, gated)
	final, err := g.generate(ctx)
	r.bill.add(step.Version, final, g.tokens, r.promptTokens())
	if err != nil {
		return Answer{}, err
	}
	took := r.d.Clock.Since(started)
	r.d.Chooser.ObserveLatency(step.Version, took)
	r.d.Demand.Ran(step.Version, took)
	return g.answer(final)
}

// escalate rates an answer and reports whether the plan continues with its next step.
func (r *run) escalate(ctx context.Context, plan cascade.Plan, i int, answer Answer) bool {
	step := plan.Steps[i]
	outcome := r.rateGated(ctx, step, i > 0, answer.Text)
	remaining := r.target.rank.Deadline.AsDuration() - r.d.Clock.Since(r.arrived)
	escalate := plan.Escalate(i, outcome, remaining)
	r.trace.add("rating", "version %s rated %s, escalate=%t", step.Version, outcomeName(outcome), escalate)
	r.d.metrics.decisions.WithLabelValues("rating", outcomeName(outcome)).Inc()
	return escalate
}

func outcomeName(o cascade.Outcome) string {
	switch o {
	case cascade.OutcomePassed:
		return "passed"
	case cascade.OutcomeFailed:
		return "failed"
	}
	return "missing"
}

// rateGated rates a gated answer within the step's time limit.
func (r *run) rateGated(ctx context.Context, step cascade.Step, escalated bool, text string) cascade.Outcome {
	start := r.d.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, step.RatingTimeout)
	defer cancel()
	passed, err := r.d.rate(ctx, r.req, step.Version, escalated, text)
	r.d.Chooser.ObserveGate(r.d.Clock.Since(start), err == nil)
	switch {
	case err != nil:
		return cascade.OutcomeMissing
	case passed:
		return cascade.OutcomePassed
	}
	return cascade.OutcomeFailed
}

// failure returns the error for the caller. Its outcome is not_run only if no
// endpoint can have received an attempt.
func (r *run) failure(err error) error {
	var apiErr *api.Error
	out := apiError(http.StatusBadGateway, api.CodeEndpointFailed, "%v", err)
	switch {
	case errors.As(err, &apiErr):
		copied := *apiErr
		out = &copied
	case errors.Is(err, context.DeadlineExceeded):
		out.Status, out.Code = http.StatusGatewayTimeout, api.CodeDeadline
	case !r.mayHaveRun:
		out.Status, out.Code = http.StatusServiceUnavailable, api.CodeUnavailable
	}
	if r.mayHaveRun {
		out.Outcome = api.OutcomeUnknown
	}
	return markUnreachable(out, err)
}

// admit waits in the admission queue until the request may run.
func (d *Dispatcher) admit(ctx context.Context, trace *Trace, team string, t target, cost float64, expected time.Duration) (*admission.Grant, error) {
	deadline, _ := ctx.Deadline()
	grant, err := d.Queue.Acquire(ctx, admission.Request{
		Rank: t.rankName, Team: team, Cost: cost, Deadline: deadline, ExpectedDuration: expected,
	})
	if err != nil {
		trace.add("admission", "%v", err)
		d.metrics.decisions.WithLabelValues("admission", "refused").Inc()
		return nil, admissionError(err)
	}
	trace.add("admission", "admitted after %v", grant.Waited)
	d.metrics.decisions.WithLabelValues("admission", "admitted").Inc()
	snap := d.Config.Current()
	teamLabel, rankLabel := classLabels(snap, team, t.rankName)
	observe(d.metrics.wait, teamLabel, rankLabel, grant.Waited)
	return grant, nil
}

func admissionError(err error) error {
	out := apiError(http.StatusTooManyRequests, api.CodeOverloaded, "%v", err)
	var rejected *admission.RejectedError
	if errors.As(err, &rejected) {
		out.RetryAfterMS = rejected.RetryAfter.Milliseconds()
	}
	if errors.Is(err, admission.ErrDeadline) {
		out.Status, out.Code = http.StatusGatewayTimeout, api.CodeDeadline
	}
	return out
}

// costBasisTokens is the number of tokens to which a version's declared costs
// refer.
const costBasisTokens = 1000

// Cost returns the cost of an answer in price units. input and output are in tokens.
func Cost(v *resource.Version, input, output int) float64 {
	if v == nil {
		return 0
	}
	return (v.InputCost*float64(input) + v.OutputCost*float64(output)) / costBasisTokens
}
