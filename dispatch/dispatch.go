// Package dispatch serves requests. It resolves the versions that a request may run
// on, admits it, chooses endpoints, makes and retries attempts, resumes broken
// answers, escalates to larger models, and bills the cost.
package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corianderlever/corianderlever/admission"
	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/cascade"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/rollout"
	"github.com/corianderlever/corianderlever/session"
)

// Config supplies the configuration in force.
type Config interface {
	// Current returns the newest accepted configuration.
	Current() *resource.Snapshot
	// Fresh reports whether Current was confirmed recently enough for new work.
	Fresh() bool
}

// Engines makes attempts at endpoints. *engine.Client implements it.
type Engines interface {
	Generate(ctx context.Context, addr string, req engine.GenerateRequest, onToken func(engine.Event) error) (engine.Final, error)
	Call(ctx context.Context, addr, service, operation, attempt, key string, body []byte) (engine.Reply, error)
	Probe(ctx context.Context, addr, attempt string) (engine.AttemptStatus, error)
	Cancel(ctx context.Context, addr, attempt string) error
}

// ChatRequest is one request for a generated answer.
type ChatRequest struct {
	// ID is the caller's idempotency key, or a generated id.
	ID string
	// Team is the authenticated team.
	Team string
	// Rank is the requested rank; empty for the default.
	Rank string
	// Kind is the caller's label for the kind of request.
	Kind string
	// Session is the caller's session token; empty for none.
	Session string
	// Body is the parsed request.
	Body api.ChatRequest
}

// Sink receives the text of an answer in order and without duplicates: token by token,
// or at once if the answer is rated before it is sent.
type Sink func(text string) error

// Answer is a complete answer.
type Answer struct {
	Text         string
	FinishReason string
	Usage        api.Usage
	Receipt      api.Receipt
}

// Demand records the demand for each version.
type Demand interface {
	// Arrived counts a request for a version, even if it is rejected later.
	Arrived(version, rank string)
	// Ran records the time that a version took for an answer.
	Ran(version string, took time.Duration)
}

// Options configure a Dispatcher. All fields are required except Rater, Allowance
// and Demand.
type Options struct {
	Config    Config
	Engines   Engines
	Signer    *session.Signer
	Chooser   *cascade.Chooser
	Detector  *rollout.Detector
	Queue     *admission.Queue
	Pool      *EndpointPool
	Retries   *limiter.RetryBudget
	Crashes   *limiter.CrashGuard
	Parts     *limiter.PartGuard
	Permits   *limiter.Permits
	Probation ProbationCoordinator
	Ledger    Ledger
	Claims    Claims
	// Buffers bounds the bytes of answers that are kept for all requests together.
	Buffers *limiter.ByteBudget
	// Rater rates answers; nil disables ratings.
	Rater Rater
	// Allowance limits the cost spent in the busiest minute; nil disables the limit.
	Allowance Allowance
	// Demand records the demand for each version; nil disables the recording.
	Demand Demand
	Clock  clockwork.Clock
	Logger *slog.Logger
	// Registry receives the metrics.
	Registry prometheus.Registerer
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	Options
	traces  *traces
	metrics *metrics
	// ratingSlots bounds the ratings that run in the background.
	ratingSlots chan struct{}
	background  sync.WaitGroup
	// end is when the host ends what it still serves; nil unless it stops.
	end atomic.Pointer[time.Time]
}

// New returns a dispatcher.
func New(opts Options) *Dispatcher {
	if opts.Demand == nil {
		opts.Demand = noDemand{}
	}
	return &Dispatcher{
		Options:     opts,
		traces:      newTraces(opts.Clock),
		metrics:     newMetrics(opts.Registry),
		ratingSlots: make(chan struct{}, maxBackgroundRatings),
	}
}

// noDemand is a Demand that records nothing.
type noDemand struct{}

func (noDemand) Arrived(string, string)    {}
func (noDemand) Ran(string, time.Duration) {}

// Close waits for background work to finish.
func (d *Dispatcher) Close() { d.background.Wait() }

// apiError returns an error for the caller with the outcome not_run.
func apiError(status int, code, format string, args ...any) *api.Error {
	return &api.Error{
		Status: status, Code: code, Outcome: api.OutcomeNotRun,
		Message: errors.Newf(format, args...).Error(),
	}
}

func newAttempt() string { return uuid.NewString() }

// Chat serves one request and passes the text of the answer to sink.
func (d *Dispatcher) Chat(ctx context.Context, req ChatRequest, sink Sink) (Answer, error) {
	r := &run{
		d: d, req: req, sink: sink, arrived: d.Clock.Now(),
		trace: d.traces.start(req.ID), hash: contentHash(req.Body.Messages), parts: sharedParts(req.Body.Messages),
	}
	defer r.releaseTexts()
	var answer Answer
	var err error
	if r.target, err = d.resolve(req); err == nil {
		r.trace.add("resolve", "rank %s, versions %v, quality target %v", r.target.rankName, r.target.versions, r.target.quality)
		ctx, cancel := context.WithTimeout(ctx, r.target.rank.Deadline.AsDuration())
		defer cancel()
		answer, err = r.serve(ctx)
		err = endedByStop(ctx, err, r.mayHaveRun)
	}
	d.finish(ctx, r.trace, outcome{
		id: req.ID, team: req.Team, rank: r.target.rankName, version: answer.Receipt.Version,
		cost: answer.Receipt.Cost, took: d.Clock.Since(r.arrived), err: err,
	})
	return answer, err
}

func (r *run) releaseTexts() {
	for _, text := range r.texts {
		text.Release()
	}
}

// outcome is how a request ended.
type outcome struct {
	id, team, rank, version string
	cost                    float64
	took                    time.Duration
	err                     error
}

// finish records the outcome of a request in log, trace and metrics.
func (d *Dispatcher) finish(ctx context.Context, trace *Trace, o outcome) {
	team, rank := classLabels(d.Config.Current(), o.team, o.rank)
	code := "ok"
	attrs := []any{"request", o.id, "team", o.team, "rank", o.rank, "version", o.version, "cost", o.cost, "duration", o.took}
	if o.err != nil {
		var apiErr *api.Error
		code = api.CodeEndpointFailed
		if errors.As(o.err, &apiErr) {
			code = apiErr.Code
		}
		if cancelled := cancelCode(ctx); cancelled != "" && !isDecision(o.err) {
			code = cancelled
		}
		trace.add("end", "%s: %v", code, o.err)
		d.Logger.WarnContext(ctx, "request failed", append(attrs, "code", code, "error", o.err)...)
	} else {
		trace.add("end", "served by %s at cost %.4f", o.version, o.cost)
		d.Logger.InfoContext(ctx, "request served", attrs...)
		observe(d.metrics.latency, team, rank, o.took)
		d.metrics.cost.WithLabelValues(team, rank).Observe(o.cost)
	}
	d.metrics.requests.WithLabelValues(team, rank, code).Inc()
}
