package relay

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderlever/corianderlever/admission"
	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/route"
)

// Loads holds, by service, the encoded load that one host puts on the engines.
type Loads map[string][]byte

// maxDigestBytes bounds the load digests of all services together. Encoded, they
// stay below 512 bytes. Up to this size, every heartbeat includes them even in a
// large fleet.
const maxDigestBytes = 340

// PrefillEstimates holds one host's estimates of the prefill rates, by service and model.
type PrefillEstimates map[string]map[string]balance.PrefillEstimate

// pool chooses among the endpoints of one service and holds this host's estimates
// of their load and health.
type pool struct {
	relay   *Relay
	service string
	picker  *balance.Picker
	engines *balance.EngineChooser
	gate    *admission.Gate
	load    serviceLoad
	gaps    liveGaps
	ejector *limiter.Ejector
	budget  *limiter.WindowBudget
	paths   *paths
	shares  *limiter.SlotShares
	cold    coldEndpoints
	// allEvacuated is set while all endpoints are in evacuated failure domains.
	allEvacuated atomic.Bool
	slow         slowEngines
	// loanMu is held during a round of questions for loans. loanAt is the time of the next one.
	loanMu sync.Mutex
	loanAt time.Time

	mu               sync.Mutex
	slots            map[string]int // of each endpoint in endpointIDs
	fleetGeneration  uint64
	endpointsLoaded  bool
	endpointIDs      []string // the endpoints that are neither draining nor evacuated
	coldRule         coldRule
	weightsUpdatedAt time.Time
}

// weightUpdateInterval is the minimum time between two updates of all weights. An
// ejected endpoint gets no requests whose results could update its weight, so its
// weight must be updated as time passes.
const weightUpdateInterval = 500 * time.Millisecond

func newPool(r *Relay, service string) *pool {
	p := &pool{
		relay: r, service: service,
		picker:  balance.NewPicker(r.Clock, r.Rand(), pickerConfig(r)),
		engines: balance.NewEngineChooser(r.Clock, r.FailureDomain),
		slow:    make(slowEngines),
		gate:    admission.NewGate(r.Clock, r.Rand()),
		ejector: limiter.NewEjector(r.Clock),
		budget:  limiter.NewWindowBudget(r.Clock, r.Settings().Retry),
	}
	p.paths = newPaths(p)
	p.shares = limiter.NewSlotShares(r.Clock, r.Self, r.HostNames)
	return p
}

// pickerConfig returns the parameters of the choice among plain endpoints.
func pickerConfig(r *Relay) balance.Config {
	cfg := balance.DefaultConfig(r.FailureDomain)
	cfg.LearnServiceTimes = r.LearnPace
	return cfg
}

// refresh applies changes in the registry and updates the weights of the endpoints,
// which rise again after an ejection.
func (p *pool) refresh(svc *route.Service) {
	if p.refreshEndpoints(svc) && svc.Engine != nil && p.relay.LearnPace {
		p.reportPaces()
	}
}

// refreshEndpoints does the part of refresh that needs the lock. It reports whether the weights
// were updated.
func (p *pool) refreshEndpoints(svc *route.Service) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	gen, now := p.relay.Fleet.Generation(), p.relay.Clock.Now()
	if rule := coldRuleOf(svc); !p.endpointsLoaded || gen != p.fleetGeneration || rule != p.coldRule {
		p.endpointsLoaded, p.fleetGeneration, p.coldRule = true, gen, rule
		p.setEndpoints(svc)
	} else if now.Sub(p.weightsUpdatedAt) < weightUpdateInterval {
		return false
	}
	p.weightsUpdatedAt = now
	for _, id := range p.endpointIDs {
		p.updateWeight(id)
	}
	return true
}

// updateWeight copies an endpoint's weight from the ejector to the balancers.
func (p *pool) updateWeight(id string) {
	weight := p.weight(id)
	p.picker.SetWeight(id, weight)
	p.engines.SetWeight(id, weight)
}

// setEndpoints passes the registered endpoints to the balancers and the ejector.
func (p *pool) setEndpoints(svc *route.Service) {
	var plain []balance.Endpoint
	var engines []balance.EngineSpec
	p.endpointIDs, p.slots = p.endpointIDs[:0], make(map[string]int)
	for _, e := range p.setCold(svc) {
		p.endpointIDs = append(p.endpointIDs, e.ID)
		p.slots[e.ID] = e.Slots
		if svc.Engine == nil {
			plain = append(plain, balance.Endpoint{
				ID: e.ID, FailureDomain: e.FailureDomain, Versions: []string{anyVersion, e.Version}, Concurrency: max(1, e.Slots),
			})
			continue
		}
		engines = append(engines, p.engineSpec(e, svc.Engine))
	}
	p.picker.SetEndpoints(plain)
	p.engines.SetEngines(engines)
	p.ejector.SetEndpoints(p.endpointIDs)
	p.paths.reach.SetEndpoints(p.endpointIDs)
}

// engineSpec describes an engine to the chooser. Without a number of slots and of tokens per
// event, the chooser expects neither a wait for a slot nor a lack of memory.
func (p *pool) engineSpec(e fleet.Endpoint, engine *route.Engine) balance.EngineSpec {
	spec := balance.EngineSpec{ID: e.ID, FailureDomain: e.FailureDomain, Version: e.Version, CacheTokens: engine.KVCacheTokens}
	if p.relay.LearnPace {
		spec.Slots, spec.EventTokens = e.Slots, max(1, engine.TokensPerEvent)
	}
	return spec
}

// hasEngines reports whether the service has model engines.
func (p *pool) hasEngines() bool { return p.engines.Len() > 0 }

// takeRetry takes one retry from the budget under the current settings. It reports
// whether the budget granted it.
func (p *pool) takeRetry() bool {
	p.budget.SetConfig(p.relay.Settings().Retry)
	granted := p.budget.TryRetry()
	p.relay.metrics.retries.WithLabelValues(p.service, strconv.FormatBool(granted)).Inc()
	return granted
}

// anyVersion is the pseudo-version that matches every endpoint.
const anyVersion = ""

// forgetCache discards what is known of the cache and the pace of an endpoint that has
// restarted.
func (p *pool) forgetCache(id string) {
	p.engines.ResetCache(id)
	p.picker.ForgetServiceTime(id)
}

// slot is one attempt in flight at one endpoint.
type slot struct {
	pool     *pool
	endpoint fleet.Endpoint
	choice   balance.EngineChoice
	inFlight *balance.InFlight // nil for plain services
	run      *limiter.PartRun  // nil before the send and without shared parts
	started  time.Time
	// investigated is set if the host has begun to find out why the answer was lost.
	investigated bool
	// observed is set once the outcome has been recorded for the version's roll-out.
	observed bool
	released bool
}

// choose picks an endpoint for the job and takes a slot there. Endpoints that have lately
// refused a connection, also of another host for this request, or sent an answer without end,
// are picked only if there is no other.
func (p *pool) choose(j *job, version string) (*slot, error) {
	p.refresh(j.service)
	exclude := p.excluded(j)
	avoided := slices.AppendSeq(p.relay.holds.avoided(p.relay.Fleet.Service(p.service), p.relay.Clock.Now()), maps.Keys(p.paths.reach.Avoided()))
	avoided = append(avoided, j.avoid...)
	if len(avoided) > 0 {
		if sl, err := p.chooseAmong(j, version, append(slices.Clone(exclude), avoided...)); err == nil {
			return sl, nil
		}
	}
	return p.chooseAmong(j, version, exclude)
}

// chooseFrom picks an endpoint that is not excluded.
func (p *pool) chooseFrom(j *job, version string, exclude []string) (*slot, error) {
	choose := p.choosePlain
	if j.service.Engine != nil {
		choose = p.chooseEngine
	}
	for {
		sl, start, err := choose(j, version, exclude)
		if err != nil {
			return nil, err
		}
		if p.shares.TryStart(sl.endpoint.ID, sl.endpoint.Slots) {
			start()
			return sl, nil
		}
		exclude = append(slices.Clip(exclude), sl.endpoint.ID)
	}
}

// chooseEngine picks a model engine. start counts the request there.
func (p *pool) chooseEngine(j *job, version string, exclude []string) (sl *slot, start func(), err error) {
	req := balance.EngineRequest{Model: j.model, Parts: j.req.Parts, Version: version, Priority: j.enginePriority, Events: j.expectedEvents(), Exclude: exclude}
	choice, err := p.engines.Choose(req)
	if err != nil {
		return nil, nil, err
	}
	e, ok := p.relay.Fleet.Endpoint(choice.Endpoint)
	if !ok {
		return nil, nil, balance.ErrNoEndpoint
	}
	sl = &slot{pool: p, endpoint: e, choice: choice, started: p.relay.Clock.Now()}
	return sl, func() { sl.inFlight = p.engines.Start(choice, req) }, nil
}

// choosePlain picks an endpoint of a service without engines. start counts the request
// there.
func (p *pool) choosePlain(_ *job, version string, exclude []string) (sl *slot, start func(), err error) {
	choice, err := p.picker.Pick(balance.Request{Version: version, Exclude: exclude})
	if err != nil {
		return nil, nil, err
	}
	e, ok := p.relay.Fleet.Endpoint(choice.Endpoint)
	if !ok {
		return nil, nil, balance.ErrNoEndpoint
	}
	return &slot{pool: p, endpoint: e, started: p.relay.Clock.Now()}, func() { p.picker.Started(e.ID, nil) }, nil
}

// denied returns how long each endpoint is left out that has reached its rate limit or
// wants no requests.
func (p *pool) denied() map[string]time.Duration {
	out := p.relay.holds.waits(p.relay.Fleet.Service(p.service), p.relay.Clock.Now())
	denials := p.relay.Permits.Denials()
	if len(denials) == 0 {
		return out
	}
	if out == nil {
		out = make(map[string]time.Duration)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, wait := range denials {
		if slices.Contains(p.endpointIDs, id) {
			out[id] = max(out[id], wait)
		}
	}
	return out
}

// excluded returns the endpoints that must not get the request.
func (p *pool) excluded(j *job) []string {
	denied, full := p.denied(), p.full()
	if len(denied) == 0 && len(full) == 0 {
		return j.exclude
	}
	return append(slices.AppendSeq(slices.Clone(j.exclude), maps.Keys(denied)), full...)
}

// full returns the brittle endpoints of which this host uses its whole share.
func (p *pool) full() []string {
	p.mu.Lock()
	slots := p.slots
	p.mu.Unlock()
	return p.shares.Full(slots)
}

// shortestDenial returns the time until an endpoint that is left out may take a request
// again; zero if there is none.
func (p *pool) shortestDenial() time.Duration {
	shortest := time.Duration(0)
	for _, wait := range p.denied() {
		if wait != leavingWait && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}

// recordFirstByte records that the answer has begun.
func (sl *slot) recordFirstByte() {
	if sl.inFlight != nil {
		sl.inFlight.FirstEvent()
	}
}

// recordEvent records an event of the answer.
func (sl *slot) recordEvent(now time.Time) {
	if sl.inFlight != nil && sl.pool.relay.LearnPace {
		sl.inFlight.Event(now)
		return
	}
	sl.recordFirstByte()
}

// recordEventGap records the mean time between two events of a complete stream.
func (sl *slot) recordEventGap(gap time.Duration) {
	if sl.inFlight != nil {
		sl.inFlight.ObserveEventGap(gap)
	}
}

// release frees the slot and records the outcome of the attempt. Only the first
// call has an effect.
func (sl *slot) release(outcome limiter.Outcome) {
	if sl.released {
		return
	}
	sl.released = true
	p := sl.pool
	p.shares.End(sl.endpoint.ID)
	if sl.inFlight != nil {
		sl.inFlight.End()
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

// observeLoad records the load that a plain endpoint reports. For engines it does
// nothing, because the hosts estimate their load.
func (sl *slot) observeLoad(l *Load) {
	if l == nil || sl.inFlight != nil {
		return
	}
	sl.pool.picker.ObserveReport(balance.LoadReport{
		Endpoint: sl.endpoint.ID, At: sl.pool.relay.Clock.Now(), Running: l.Running, Waiting: l.Waiting,
	})
}

// unreachableDuration is how long an engine that refuses connections is avoided.
const unreachableDuration = 500 * time.Millisecond

// markUnreachable makes the pool avoid the engine for unreachableDuration and closes
// the connections to it, unless the attempt ended because ctx did.
func (sl *slot) markUnreachable(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	sl.pool.engines.Avoid(sl.endpoint.ID, unreachableDuration)
	sl.pool.relay.Client.CloseIdle(sl.endpoint.Address)
}
