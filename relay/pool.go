package relay

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/route"
)

// Loads are digests of the load that one host puts on the engines of each service.
type Loads map[string][]byte

// maxDigestBytes bounds the digests of all services. With their encoding they stay
// below 512 bytes, up to which every heartbeat of a large fleet carries them.
const maxDigestBytes = 340

// Rates are what one host has learned of the engines of each service, by model.
type Rates map[string]map[string]balance.ReadRate

// pool is what is believed of the endpoints of one service.
type pool struct {
	relay   *Relay
	service string
	picker  *balance.Picker
	engines *balance.Engines
	ejector *limiter.Ejector
	budget  *limiter.WindowBudget

	mu         sync.Mutex
	generation uint64
	loaded     bool
	listed     []string // the endpoints in use
	reweighed  time.Time
}

// reweighInterval is how often the weights of all endpoints are taken over: an
// ejected one returns with time, not with an answer.
const reweighInterval = 500 * time.Millisecond

func newPool(r *Relay, service string) *pool {
	return &pool{
		relay: r, service: service,
		picker:  balance.NewPicker(r.Clock, r.Rand(), balance.DefaultConfig(r.FailureDomain)),
		engines: balance.NewEngines(r.Clock, r.FailureDomain),
		ejector: limiter.NewEjector(r.Clock),
		budget:  limiter.NewWindowBudget(r.Clock, r.Settings().Retry),
	}
}

// refresh takes over the endpoints that the registry lists now, and how far the
// ejected ones have returned.
func (p *pool) refresh(svc *route.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	gen, now := p.relay.Fleet.Generation(), p.relay.Clock.Now()
	if !p.loaded || gen != p.generation {
		p.loaded, p.generation = true, gen
		p.setEndpoints(svc)
	} else if now.Sub(p.reweighed) < reweighInterval {
		return
	}
	p.reweighed = now
	for _, id := range p.listed {
		p.reweigh(id)
	}
}

// reweigh takes over the weight of an endpoint.
func (p *pool) reweigh(id string) {
	weight := p.ejector.Weight(id)
	p.picker.SetWeight(id, weight)
	p.engines.SetWeight(id, weight)
}

// setEndpoints hands the listed endpoints to the parts that choose among them.
func (p *pool) setEndpoints(svc *route.Service) {
	var plain []balance.Endpoint
	var engines []balance.EngineSpec
	p.listed = p.listed[:0]
	for _, e := range p.relay.Fleet.Service(p.service) {
		if e.Draining {
			continue
		}
		p.listed = append(p.listed, e.ID)
		if svc.Engine == nil {
			plain = append(plain, balance.Endpoint{
				ID: e.ID, FailureDomain: e.FailureDomain, Versions: []string{anyVersion, e.Version}, Concurrency: max(1, e.Slots),
			})
			continue
		}
		engines = append(engines, balance.EngineSpec{
			ID: e.ID, FailureDomain: e.FailureDomain, Version: e.Version, CacheTokens: svc.Engine.KVCacheTokens,
		})
	}
	p.picker.SetEndpoints(plain)
	p.engines.SetEngines(engines)
	p.ejector.SetEndpoints(p.listed)
}

// tryRepeat takes one repeat from the budget as the settings bound it now.
func (p *pool) tryRepeat() bool {
	p.budget.SetConfig(p.relay.Settings().Retry)
	granted := p.budget.TryRepeat()
	p.relay.metrics.repeats.WithLabelValues(p.service, strconv.FormatBool(granted)).Inc()
	return granted
}

// anyVersion is the version under which every endpoint is listed.
const anyVersion = ""

// forget drops what is believed of an endpoint that has started again.
func (p *pool) forget(id string) { p.engines.ForgetCache(id) }

// place is one request at one endpoint.
type place struct {
	pool     *pool
	endpoint fleet.Endpoint
	choice   balance.EngineChoice
	work     *balance.Work // nil for plain services
	started  time.Time
	ended    bool
}

// choose picks an endpoint for the job and takes a place there.
func (p *pool) choose(j *job, version string) (*place, error) {
	p.refresh(j.service)
	if j.service.Engine == nil {
		return p.choosePlain(j, version)
	}
	req := balance.EngineRequest{Model: j.model, Parts: j.req.Parts, Version: version, Urgency: j.rank, Exclude: j.exclude}
	choice, err := p.engines.Choose(req)
	if err != nil {
		return nil, err
	}
	e, ok := p.relay.Fleet.Endpoint(choice.Endpoint)
	if !ok {
		return nil, balance.ErrNoEndpoint
	}
	return &place{
		pool: p, endpoint: e, choice: choice, work: p.engines.Start(choice, req), started: p.relay.Clock.Now(),
	}, nil
}

func (p *pool) choosePlain(j *job, version string) (*place, error) {
	choice, err := p.picker.Pick(balance.Request{Version: version, Exclude: j.exclude})
	if err != nil {
		return nil, err
	}
	e, ok := p.relay.Fleet.Endpoint(choice.Endpoint)
	if !ok {
		return nil, balance.ErrNoEndpoint
	}
	p.picker.Started(e.ID, nil)
	return &place{pool: p, endpoint: e, started: p.relay.Clock.Now()}, nil
}

// begun records the first part of the answer.
func (pl *place) begun() {
	if pl.work != nil {
		pl.work.Begun()
	}
}

// streamed records the mean time between two events of a whole answer.
func (pl *place) streamed(gap time.Duration) {
	if pl.work != nil {
		pl.work.Streamed(gap)
	}
}

// end gives the place back and records how the attempt ended.
func (pl *place) end(outcome limiter.Outcome) {
	if pl.ended {
		return
	}
	pl.ended = true
	p := pl.pool
	if pl.work != nil {
		pl.work.End()
	} else {
		took := time.Duration(0)
		if outcome == limiter.OutcomeOK {
			took = p.relay.Clock.Since(pl.started)
		}
		p.picker.Finished(pl.endpoint.ID, took)
	}
	p.ejector.Report(pl.endpoint.ID, outcome)
	p.reweigh(pl.endpoint.ID)
}

// report takes in an endpoint's own account of its load.
func (pl *place) report(l *Load) {
	if l == nil || pl.work != nil {
		return
	}
	pl.pool.picker.ObserveReport(balance.Report{
		Endpoint: pl.endpoint.ID, At: pl.pool.relay.Clock.Now(), Running: l.Running, Waiting: l.Waiting,
	})
}

// unreachableFor is how long an endpoint that refuses connections is left out.
const unreachableFor = 500 * time.Millisecond

// unreachable records that no connection to the endpoint could be opened.
func (pl *place) unreachable(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	pl.pool.engines.Avoid(pl.endpoint.ID, unreachableFor)
	pl.pool.relay.Client.Forget(pl.endpoint.Address)
}
