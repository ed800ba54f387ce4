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
type Rates map[string]map[string]balance.PrefillEstimate

// pool is what is believed of the endpoints of one service.
type pool struct {
	relay   *Relay
	service string
	picker  *balance.Picker
	engines *balance.EngineChooser
	ejector *limiter.Ejector
	budget  *limiter.WindowBudget

	mu               sync.Mutex
	generation       uint64
	loaded           bool
	endpointIDs      []string // the endpoints in use
	weightsUpdatedAt time.Time
}

// reweighInterval is how often the weights of all endpoints are taken over: an
// ejected one returns with time, not with an answer.
const weightUpdateInterval = 500 * time.Millisecond

func newPool(r *Relay, service string) *pool {
	return &pool{
		relay: r, service: service,
		picker:  balance.NewPicker(r.Clock, r.Rand(), balance.DefaultConfig(r.FailureDomain)),
		engines: balance.NewEngineChooser(r.Clock, r.FailureDomain),
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
	} else if now.Sub(p.weightsUpdatedAt) < weightUpdateInterval {
		return
	}
	p.weightsUpdatedAt = now
	for _, id := range p.endpointIDs {
		p.updateWeight(id)
	}
}

// reweigh takes over the weight of an endpoint.
func (p *pool) updateWeight(id string) {
	weight := p.ejector.Weight(id)
	p.picker.SetWeight(id, weight)
	p.engines.SetWeight(id, weight)
}

// setEndpoints hands the listed endpoints to the parts that choose among them.
func (p *pool) setEndpoints(svc *route.Service) {
	var plain []balance.Endpoint
	var engines []balance.EngineSpec
	p.endpointIDs = p.endpointIDs[:0]
	for _, e := range p.relay.Fleet.Service(p.service) {
		if e.Draining {
			continue
		}
		p.endpointIDs = append(p.endpointIDs, e.ID)
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
	p.ejector.SetEndpoints(p.endpointIDs)
}

// tryRepeat takes one repeat from the budget as the settings bound it now.
func (p *pool) takeRetry() bool {
	p.budget.SetConfig(p.relay.Settings().Retry)
	granted := p.budget.TryRetry()
	p.relay.metrics.retries.WithLabelValues(p.service, strconv.FormatBool(granted)).Inc()
	return granted
}

// anyVersion is the version under which every endpoint is listed.
const anyVersion = ""

// forget drops what is believed of an endpoint that has started again.
func (p *pool) forgetCache(id string) { p.engines.ResetCache(id) }

// place is one request at one endpoint.
type slot struct {
	pool     *pool
	endpoint fleet.Endpoint
	choice   balance.EngineChoice
	work     *balance.InFlight // nil for plain services
	started  time.Time
	released bool
}

// choose picks an endpoint for the job and takes a place there.
func (p *pool) choose(j *job, version string) (*slot, error) {
	p.refresh(j.service)
	if j.service.Engine == nil {
		return p.choosePlain(j, version)
	}
	req := balance.EngineRequest{Model: j.model, Parts: j.req.Parts, Version: version, Priority: j.rank, Exclude: j.exclude}
	choice, err := p.engines.Choose(req)
	if err != nil {
		return nil, err
	}
	e, ok := p.relay.Fleet.Endpoint(choice.Endpoint)
	if !ok {
		return nil, balance.ErrNoEndpoint
	}
	return &slot{
		pool: p, endpoint: e, choice: choice, work: p.engines.Start(choice, req), started: p.relay.Clock.Now(),
	}, nil
}

func (p *pool) choosePlain(j *job, version string) (*slot, error) {
	choice, err := p.picker.Pick(balance.Request{Version: version, Exclude: j.exclude})
	if err != nil {
		return nil, err
	}
	e, ok := p.relay.Fleet.Endpoint(choice.Endpoint)
	if !ok {
		return nil, balance.ErrNoEndpoint
	}
	p.picker.Started(e.ID, nil)
	return &slot{pool: p, endpoint: e, started: p.relay.Clock.Now()}, nil
}

// begun records the first part of the answer.
func (sl *slot) recordFirstByte() {
	if sl.work != nil {
		sl.work.FirstEvent()
	}
}

// streamed records the mean time between two events of a whole answer.
func (sl *slot) recordEventGap(gap time.Duration) {
	if sl.work != nil {
		sl.work.ObserveEventGap(gap)
	}
}

// end gives the place back and records how the attempt ended.
func (sl *slot) release(outcome limiter.Outcome) {
	if sl.released {
		return
	}
	sl.released = true
	p := sl.pool
	if sl.work != nil {
		sl.work.End()
	} else {
		took := time.Duration(0)
		if outcome == limiter.OutcomeOK {
			took = p.relay.Clock.Since(sl.started)
		}
		p.picker.Finished(sl.endpoint.ID, took)
	}
	p.ejector.Report(sl.endpoint.ID, outcome)
	p.updateWeight(sl.endpoint.ID)
}

// report takes in an endpoint's own account of its load.
func (sl *slot) observeLoad(l *Load) {
	if l == nil || sl.work != nil {
		return
	}
	sl.pool.picker.ObserveReport(balance.LoadReport{
		Endpoint: sl.endpoint.ID, At: sl.pool.relay.Clock.Now(), Running: l.Running, Waiting: l.Waiting,
	})
}

// unreachableFor is how long an endpoint that refuses connections is left out.
const unreachableDuration = 500 * time.Millisecond

// unreachable records that no connection to the endpoint could be opened.
func (sl *slot) markUnreachable(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	sl.pool.engines.Avoid(sl.endpoint.ID, unreachableDuration)
	sl.pool.relay.Client.Forget(sl.endpoint.Address)
}
