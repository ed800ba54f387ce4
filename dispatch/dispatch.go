// Package dispatch is the path of a request: resolve what it may run on,
// admit it, choose an endpoint, attempt, resume or retry, and bill.
package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/session"
)

// Config is where the dispatcher reads the configuration in force.
type Config interface {
	// Current returns the newest accepted configuration.
	Current() *resource.Snapshot
	// Fresh reports whether Current is known to be recent enough for new work.
	Fresh() bool
}

// Engines runs attempts on endpoints.
type Engines interface {
	Generate(ctx context.Context, addr string, req engine.GenerateRequest, onToken func(engine.Event) error) (engine.Final, error)
	Call(ctx context.Context, addr, service, operation, attempt, key string, body []byte) (engine.Reply, error)
	Probe(ctx context.Context, addr, attempt string) (engine.AttemptStatus, error)
}

// ChatRequest is one request for a generated answer.
type ChatRequest struct {
	// ID identifies the request: the caller's key, or a generated one.
	ID string
	// Team is the authenticated team.
	Team string
	// Rank is the asked rank; empty means the default.
	Rank string
	// Kind is the caller's label of the kind of request.
	Kind string
	// Session is the session token the caller sent, if any.
	Session string
	// Body is the parsed request.
	Body api.ChatRequest
}

// Sink receives the tokens of an answer in order, each exactly once.
type Sink func(text string) error

// Answer is a whole answer.
type Answer struct {
	Text         string
	FinishReason string
	Usage        api.Usage
	Receipt      api.Receipt
}

// Options configure a Dispatcher.
type Options struct {
	Config  Config
	Engines Engines
	Signer  *session.Signer
	Clock   clockwork.Clock
	Logger  *slog.Logger
	// Registry receives the metrics.
	Registry prometheus.Registerer
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	Options
	traces  *traces
	metrics *metrics
}

// New returns a dispatcher.
func New(opts Options) *Dispatcher {
	return &Dispatcher{Options: opts, traces: newTraces(opts.Clock), metrics: newMetrics(opts.Registry)}
}

func refusal(status int, code, format string, args ...any) *api.Error {
	return &api.Error{
		Status: status, Code: code, Outcome: api.OutcomeNotRun,
		Message: errors.Newf(format, args...).Error(),
	}
}

// Chat serves one request and calls sink for each token.
func (d *Dispatcher) Chat(ctx context.Context, req ChatRequest, sink Sink) (Answer, error) {
	start := d.Clock.Now()
	target, err := d.resolve(req)
	if err != nil {
		return Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, target.rank.Deadline.D())
	defer cancel()
	answer, err := d.run(ctx, req, target, sink)
	d.log(ctx, req, target, answer, d.Clock.Since(start), err)
	return answer, err
}

func (d *Dispatcher) log(ctx context.Context, req ChatRequest, t target, a Answer, took time.Duration, err error) {
	attrs := []any{"request", req.ID, "team", req.Team, "rank", t.rankName, "version", a.Receipt.Version,
		"tokens", a.Receipt.Tokens, "duration", took}
	if err != nil {
		d.Logger.WarnContext(ctx, "request failed", append(attrs, "error", err)...)
		return
	}
	d.Logger.InfoContext(ctx, "request served", attrs...)
}

func newAttempt() string { return uuid.NewString() }
