package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/lease"
	"github.com/corianderlever/corianderlever/placement"
	"github.com/corianderlever/corianderlever/resource"
)

const (
	placementInterval = 2 * time.Second
	// orderTimeout bounds the delivery of one order.
	orderTimeout = 5 * time.Second
	// unfencedWait is the time after which no order of an earlier holder can
	// reach an endpoint that ignores fencing tokens.
	unfencedWait = lease.DefaultTTL + orderTimeout
	// effectTimeout is how long an order may take to show in a load report before
	// the engine may receive another one.
	effectTimeout = time.Minute
	// withdrawalGrace is the time within which a configuration is in force
	// everywhere. Until then hosts may still send requests to a withdrawn version.
	withdrawalGrace = 4 * time.Second
	// maxConcurrentLoadRequests bounds the requests for load reports in flight.
	maxConcurrentLoadRequests = 32
	// weightBurst is the burst of loads allowed from the weight store. It exceeds
	// the load that the planner reserves for urgent demand.
	weightBurst = 2
)

// orderSender is the part of *engine.Client that the placer uses.
type orderSender interface {
	Load(ctx context.Context, addr string) (engine.LoadReport, error)
	SendOrder(ctx context.Context, addr string, order engine.Order) error
}

// role is the part of *lease.Candidate that the placer uses.
type role interface {
	Token() (lease.Token, bool)
	Guard(ctx context.Context, fn func(ctx context.Context, fencing int64) error) error
}

// placer does the work of the placement role. Its state lasts one term, the time
// from taking the role to losing it.
type placer struct {
	opts    *Options
	current func() *resource.Snapshot
	demand  *demandCounter
	engines orderSender
	holder  role
	orders  *prometheus.CounterVec

	fencing   int64
	planner   *placement.Planner
	pending   map[string]pendingOrder // by endpoint
	withdrawn map[string]time.Time    // by version, the time of its withdrawal
}

// pendingOrder is an order whose effect has not shown in a load report yet.
type pendingOrder struct {
	kind    engine.OrderKind
	version string
	sent    time.Time
}

func newPlacer(opts *Options, current func() *resource.Snapshot, d *demandCounter, engines orderSender, h role) *placer {
	p := &placer{opts: opts, current: current, demand: d, engines: engines, holder: h}
	p.orders = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "corianderlever", Name: "placement_orders_total", Help: "Orders to engines by kind and result.",
	}, []string{"kind", "result"})
	opts.Registry.MustRegister(p.orders)
	return p
}

// runRound plans and sends orders once. Each order is guarded separately by the
// lease, so a round that outlasts the lease sends nothing after its end.
func (p *placer) runRound(ctx context.Context) {
	token, ok := p.holder.Token()
	if !ok {
		return
	}
	if p.planner == nil || p.fencing != token.Fencing {
		p.startTerm(token.Fencing)
	}
	snap := p.current()
	reports := p.collectReports(ctx, snap)
	p.settlePending(reports)
	// An order of the previous holder could still reach endpoints that ignore
	// fencing tokens.
	early := p.opts.Clock.Since(token.AcquiredAt) < unfencedWait
	blocked := func(name string) bool {
		_, pending := p.pending[name]
		return pending || early && !snap.Endpoints[name].ChecksFencing
	}
	for _, o := range p.decide(snap, reports, blocked) {
		p.send(ctx, snap.Endpoints[o.endpoint].Address, o)
	}
}

// startTerm discards the plans of the previous term. The token bucket of the weight
// store starts empty, so that two successive holders together keep its rate limit.
func (p *placer) startTerm(fencing int64) {
	now := p.opts.Clock.Now()
	store := rate.NewLimiter(rate.Limit(p.opts.Settings.Platform.WeightLoadsPerMinute/time.Minute.Seconds()), weightBurst)
	store.AllowN(now, weightBurst)
	p.fencing = fencing
	p.planner = placement.NewPlanner(p.opts.Clock, placement.DefaultConfig(referenceConcurrency), store)
	p.pending = make(map[string]pendingOrder)
	p.withdrawn = make(map[string]time.Time)
}

// referenceConcurrency is the engine capacity to which the planner's move costs refer.
const referenceConcurrency = 8

// collectReports returns the load reports of all active engines that answer.
func (p *placer) collectReports(ctx context.Context, snap *resource.Snapshot) map[string]engine.LoadReport {
	type answer struct {
		name   string
		report engine.LoadReport
	}
	answers := make(chan answer, len(snap.Endpoints))
	var g errgroup.Group
	g.SetLimit(maxConcurrentLoadRequests)
	for name, spec := range snap.Endpoints {
		if spec.Service != "" || spec.State == resource.EndpointLeaving {
			continue
		}
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			r, err := p.engines.Load(ctx, spec.Address)
			if err == nil {
				answers <- answer{name, r}
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		p.opts.Logger.Debug("an engine gave no load report", "error", err)
	}
	close(answers)
	out := make(map[string]engine.LoadReport)
	for a := range answers {
		out[a.name] = a.report
	}
	return out
}

// settlePending removes the pending orders whose effect shows in the reports or
// that have timed out. The order of an engine that does not answer stays pending
// until then.
func (p *placer) settlePending(reports map[string]engine.LoadReport) {
	for name, o := range p.pending {
		r, ok := reports[name]
		done := ok && slices.Contains(r.Versions, o.version) == (o.kind == engine.OrderLoad)
		late := p.opts.Clock.Since(o.sent) > effectTimeout
		if !done && !late {
			continue
		}
		result := "done"
		if !done {
			result = "without_effect"
			p.opts.Logger.Warn("order without effect", "endpoint", name, "kind", o.kind, "version", o.version)
		}
		p.orders.WithLabelValues(string(o.kind), result).Inc()
		delete(p.pending, name)
	}
}

// endpointOrder is an order to an endpoint with its reason.
type endpointOrder struct {
	endpoint string
	kind     engine.OrderKind
	version  string
	reason   string
}

// send sends one order if the role is still held.
func (p *placer) send(ctx context.Context, addr string, o endpointOrder) {
	err := p.holder.Guard(ctx, func(ctx context.Context, fencing int64) error {
		if fencing != p.fencing {
			return lease.ErrNotHeld // planned in an earlier term
		}
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		p.pending[o.endpoint] = pendingOrder{kind: o.kind, version: o.version, sent: p.opts.Clock.Now()}
		return p.engines.SendOrder(ctx, addr, engine.Order{
			ID: uuid.NewString(), Kind: o.kind, Version: o.version, Fencing: fencing,
		})
	})
	result := "sent"
	switch {
	case errors.Is(err, lease.ErrNotHeld):
		return
	case errors.Is(err, engine.ErrStaleFencing):
		result = "fenced"
		delete(p.pending, o.endpoint) // certainly not executed
	case err != nil:
		result = "unknown"
	}
	p.orders.WithLabelValues(string(o.kind), result).Inc()
	p.opts.Logger.Info("order", "endpoint", o.endpoint, "kind", o.kind, "version", o.version,
		"fencing", p.fencing, "reason", o.reason, "result", result, "error", err)
}
