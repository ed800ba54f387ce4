// Package crashreports lets the hosts of both daemons tell each other at once which parts
// of prompts were on crashed endpoints. Heartbeats need seconds for that in a large fleet,
// and no host sees enough crashes itself.
package crashreports

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/membership"
)

const (
	// MethodReport carries what a host has noticed to a collector.
	MethodReport = "limiter.PartReport"
	// MethodMarks carries what a collector knows to all hosts.
	MethodMarks = "limiter.PartMarks"
	// Collectors is the number of hosts that collect the reports of the others.
	Collectors = 3
	// MaxHops is the number of hosts that are tried in turn in place of one collector.
	MaxHops = 3
	// reportInterval is the minimum time between two reports of one host.
	reportInterval = 100 * time.Millisecond
)

// Candidates returns the live members in the order in which they are chosen as
// collectors: in different failure domains as far as possible, and those with fast links
// first, because a collector calls all hosts.
func Candidates(members []membership.Member) []membership.Member {
	return membership.SpreadOverDomains(members)
}

// Options are the parts of a host that an Exchange needs.
type Options struct {
	// Self is the name of this host.
	Self string
	// Members returns all known members.
	Members func() []membership.Member
	// Call calls a method of the host at an address.
	Call func(ctx context.Context, address, method string, params, result any) error
	// CallAll calls a method of all other live hosts.
	CallAll func(method string, params any)
	// Guard learns the crashes that the host notices and those that others report.
	Guard  *limiter.PartGuard
	Clock  clockwork.Clock
	Logger *slog.Logger
}

// Exchange reports the crashes that a host notices, and as a collector tells all hosts
// which parts are rejected.
type Exchange struct {
	opts Options
	// toldRevision is the revision of the rejected parts that this host last told all
	// hosts.
	toldRevision atomic.Uint64
}

// New returns an exchange. The caller registers its handlers.
func New(opts Options) *Exchange {
	return &Exchange{opts: opts}
}

// Run reports crashes until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.opts.Guard.Reports():
		}
		e.report(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-e.opts.Clock.After(reportInterval):
		}
	}
}

func (e *Exchange) firstCandidates() []membership.Member {
	candidates := Candidates(e.opts.Members())
	return candidates[:min(Collectors, len(candidates))]
}

// Tries reports whether this host lets requests with a rejected part through to find out
// whether the part is sound: the first collector does.
func (e *Exchange) Tries() bool {
	first := e.firstCandidates()
	return len(first) > 0 && first[0].Host == e.opts.Self
}

func (e *Exchange) isCollector() bool {
	return slices.ContainsFunc(e.firstCandidates(), func(m membership.Member) bool { return m.Host == e.opts.Self })
}

// report sends what this host knows to the collectors. A collector that rejects other
// parts than before tells all hosts instead.
func (e *Exchange) report(ctx context.Context) {
	marks := e.marks()
	if e.isCollector() && e.mustTellAll() {
		go e.opts.CallAll(MethodMarks, marks)
		return
	}
	candidates := Candidates(e.opts.Members())
	for i := range Collectors {
		go e.reportToOne(ctx, candidates, i, marks)
	}
}

// reportToOne sends a report to one collector. If that does not answer, it sends it to
// the host that collects in its place.
func (e *Exchange) reportToOne(ctx context.Context, candidates []membership.Member, first int, marks json.RawMessage) {
	for hop := range MaxHops {
		i := first + hop*Collectors
		if i >= len(candidates) || candidates[i].Host == e.opts.Self {
			return
		}
		err := e.opts.Call(ctx, candidates[i].PeerAddress, MethodReport, marks, nil)
		if err == nil || ctx.Err() != nil {
			return
		}
		e.opts.Logger.Warn("crashes not reported", "to", candidates[i].Host, "error", errors.Wrap(err, "crashreports: report"))
	}
}

func (e *Exchange) marks() json.RawMessage {
	marks, err := e.opts.Guard.Marks()
	if err != nil {
		e.opts.Logger.Error("part marks not sent", "error", err)
	}
	return marks
}

// mustTellAll reports whether other parts are rejected than when this host last told all
// hosts.
func (e *Exchange) mustTellAll() bool {
	revision := e.opts.Guard.Revision()
	return e.toldRevision.Swap(revision) != revision
}

// Register registers the handlers at the server of this host.
func (e *Exchange) Register(r membership.Registrar) {
	r.Handle(MethodReport, e.handleReport)
	r.Handle(MethodMarks, e.handleMarks)
}

// handleReport merges a report. Whoever gets one is a collector for the host that sent
// it.
func (e *Exchange) handleReport(ctx context.Context, from string, params json.RawMessage) (any, error) {
	if _, err := e.handleMarks(ctx, from, params); err != nil {
		return nil, err
	}
	if e.mustTellAll() {
		go e.opts.CallAll(MethodMarks, e.marks())
	}
	return struct{}{}, nil
}

func (e *Exchange) handleMarks(_ context.Context, _ string, params json.RawMessage) (any, error) {
	err := e.opts.Guard.MergeMarks(params)
	return struct{}{}, errors.Wrap(err, "crashreports: merge marks")
}
