package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/resource"
)

// maxLimitFactor is the maximum of an endpoint's adaptive concurrency limit,
// relative to its declared concurrency.
const maxLimitFactor = 2

// crashPause is the time for which an endpoint that has crashed is chosen only if no other
// has a free slot. It may accept connections while it goes down, and cuts them then.
const crashPause = time.Second

// EndpointPool chooses among the endpoints that this host uses and holds its
// estimates of their load and health. It is safe for concurrent use.
type EndpointPool struct {
	clock   clockwork.Clock
	picker  *balance.Picker
	ejector *limiter.Ejector

	mu        sync.Mutex
	endpoints map[string]*endpointState
	// reach tells, by service, whether this host reaches the endpoints.
	reach map[string]*limiter.Reach
	// slotFreed is closed and replaced whenever a slot may have become free.
	slotFreed chan struct{}
	// onCapacity is called with the number of requests that all endpoints
	// together can run concurrently.
	onCapacity func(float64)
}

// endpointState is this host's state of one endpoint.
type endpointState struct {
	spec  *resource.Endpoint
	limit *limiter.Concurrency
	// loadedVersions are the versions in the last load report; nil before the
	// first report.
	loadedVersions []string
	// leaving is set if the engine reports that it is draining.
	leaving bool
	// pausedUntil is when the pause after the last crash ends; zero if there was none.
	pausedUntil time.Time
	// running holds the attempts in flight by attempt id.
	running map[string]*runningAttempt
}

// runningAttempt is one attempt in flight.
type runningAttempt struct {
	// hash identifies the content of the request.
	hash limiter.Hash
	// crashRecorded is set if the attempt is part of a recorded crash.
	crashRecorded bool
}

// NewEndpointPool returns a pool without endpoints. onCapacity may be nil.
func NewEndpointPool(clock clockwork.Clock, random *rand.Rand, failureDomain string, onCapacity func(float64)) *EndpointPool {
	if onCapacity == nil {
		onCapacity = func(float64) {}
	}
	return &EndpointPool{
		clock:      clock,
		picker:     balance.NewPicker(clock, random, balance.DefaultConfig(failureDomain)),
		ejector:    limiter.NewEjector(clock),
		endpoints:  make(map[string]*endpointState),
		reach:      make(map[string]*limiter.Reach),
		slotFreed:  make(chan struct{}),
		onCapacity: onCapacity,
	}
}

// ServiceVersion returns the pseudo-version under which the endpoints of a plain
// service are chosen.
func ServiceVersion(service string) string { return "service:" + service }

// ApplyConfig replaces the endpoints by those of a configuration. use reports
// whether an endpoint belongs to this host's subset.
func (ep *EndpointPool) ApplyConfig(snap *resource.Snapshot, use func(name string) bool) {
	ep.mu.Lock()
	next := make(map[string]*endpointState)
	for name, spec := range snap.Endpoints {
		if !snap.GetsWork(spec) || !use(name) {
			continue
		}
		st := ep.endpoints[name]
		if st == nil || st.spec.Address != spec.Address || st.spec.Concurrency != spec.Concurrency {
			st = &endpointState{running: make(map[string]*runningAttempt), limit: newLimit(ep.clock, spec)}
		}
		st.spec = spec
		next[name] = st
	}
	ep.endpoints = next
	ep.setReach()
	ep.mu.Unlock()
	ep.Refresh()
}

func newLimit(clock clockwork.Clock, spec *resource.Endpoint) *limiter.Concurrency {
	return limiter.NewConcurrency(clock, limiter.ConcurrencyConfig{
		Initial: spec.Concurrency, Min: 1, Max: spec.Concurrency * maxLimitFactor,
	})
}

// Refresh updates the picker, the ejector and the reported capacity from the usable
// endpoints. It must also be called every second, because concurrency limits change
// and ejected endpoints return with time.
func (ep *EndpointPool) Refresh() {
	ep.mu.Lock()
	var list []balance.Endpoint
	var names []string
	capacity := 0
	for name, st := range ep.endpoints {
		if st.leaving {
			continue
		}
		list = append(list, balance.Endpoint{
			ID: name, FailureDomain: st.spec.FailureDomain, Versions: st.versions(), Concurrency: st.spec.Concurrency,
		})
		names = append(names, name)
		capacity += st.limit.Limit()
	}
	ep.mu.Unlock()
	slices.SortFunc(list, func(a, b balance.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(names)
	ep.picker.SetEndpoints(list)
	ep.ejector.SetEndpoints(names)
	for _, name := range names {
		ep.setWeight(name)
	}
	ep.onCapacity(float64(capacity))
	ep.notify()
}

// setWeight passes the share of its normal work that an endpoint may get to the picker.
func (ep *EndpointPool) setWeight(name string) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	weight := ep.ejector.Weight(name)
	if st := ep.endpoints[name]; st != nil && ep.clock.Now().Before(st.pausedUntil) {
		weight = 0
	}
	ep.picker.SetWeight(name, weight)
}

// pauseCrashed makes an endpoint that has crashed the last choice for crashPause.
func (ep *EndpointPool) pauseCrashed(name string) {
	ep.mu.Lock()
	if st := ep.endpoints[name]; st != nil {
		st.pausedUntil = ep.clock.Now().Add(crashPause)
	}
	ep.mu.Unlock()
	ep.setWeight(name)
	ep.clock.AfterFunc(crashPause, func() { ep.setWeight(name) })
}

// versions returns the versions that the endpoint can serve: the declared versions
// that the engine has loaded, all declared ones before its first report, or the
// pseudo-version of a plain service.
func (st *endpointState) versions() []string {
	if st.spec.Service != "" {
		return []string{ServiceVersion(st.spec.Service)}
	}
	if st.loadedVersions == nil {
		return st.spec.Versions
	}
	return slices.DeleteFunc(slices.Clone(st.spec.Versions), func(v string) bool { return !slices.Contains(st.loadedVersions, v) })
}

// Addresses returns the addresses of all endpoints in use, by name.
func (ep *EndpointPool) Addresses() map[string]string {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	out := make(map[string]string)
	for name, st := range ep.endpoints {
		out[name] = st.spec.Address
	}
	return out
}

// addressesOf returns the addresses of the endpoints that serve a version, by name.
func (ep *EndpointPool) addressesOf(version string) map[string]string {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	out := make(map[string]string)
	for name, st := range ep.endpoints {
		if slices.Contains(st.versions(), version) {
			out[name] = st.spec.Address
		}
	}
	return out
}

// ObserveLoad records a load report of an endpoint.
func (ep *EndpointPool) ObserveLoad(name string, r engine.LoadReport) {
	at := ep.clock.Now().Add(-time.Duration(r.AgeMS) * time.Millisecond)
	if r.Versions == nil {
		r.Versions = []string{} // nil stands for an engine that has not reported
	}
	ep.picker.ObserveReport(balance.LoadReport{Endpoint: name, At: at, Running: r.Running, Waiting: r.Waiting})
	ep.mu.Lock()
	st := ep.endpoints[name]
	changed := st != nil && (st.loadedVersions == nil || st.leaving != r.Leaving || !slices.Equal(st.loadedVersions, r.Versions))
	if changed {
		st.leaving, st.loadedVersions = r.Leaving, r.Versions
	}
	ep.mu.Unlock()
	if changed {
		ep.Refresh()
	}
}

// ObserveCache records prefix cache events of an endpoint.
func (ep *EndpointPool) ObserveCache(name string, events []engine.CacheEvent) {
	for _, ev := range events {
		out := balance.CacheEvent{Endpoint: name, Sequence: uint64(ev.Sequence)}
		if ev.Evicted {
			out.Removed = []uint64{ev.Block}
		} else {
			out.Added = []uint64{ev.Block}
		}
		ep.picker.ObserveCacheEvent(out)
	}
}

// notify wakes the requests that wait for a slot.
func (ep *EndpointPool) notify() {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	close(ep.slotFreed)
	ep.slotFreed = make(chan struct{})
}

// slot is the right to run one attempt at an endpoint.
type slot struct {
	pool         *EndpointPool
	state        *endpointState
	endpoint     string
	addr         string
	reason       balance.Reason
	cachedBlocks int
	attempt      string
	started      time.Time
}

// acquireUntried acquires a slot at an endpoint that is not excluded, and at one that was
// tried before only if there is no other.
func (ep *EndpointPool) acquireUntried(ctx context.Context, req slotRequest, exclude []string) (*slot, error) {
	sl, err := ep.acquire(ctx, req.version, req.prefix, slices.Concat(exclude, req.tried), req.hash)
	if errors.Is(err, balance.ErrNoEndpoint) && len(req.tried) > 0 {
		return ep.acquire(ctx, req.version, req.prefix, exclude, req.hash)
	}
	return sl, err
}

// acquire chooses an endpoint with a free slot. It waits while all are full. hash
// identifies the content of the request; 0 for a call to a plain service.
func (ep *EndpointPool) acquire(ctx context.Context, version string, prefix []uint64, exclude []string, hash limiter.Hash) (*slot, error) {
	for {
		ep.mu.Lock()
		slotFreed := ep.slotFreed
		ep.mu.Unlock()
		sl, full, err := ep.tryAcquire(version, prefix, exclude, hash)
		if err == nil {
			return sl, nil
		}
		if !full {
			return nil, err
		}
		select {
		case <-slotFreed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryAcquire is like acquire but does not wait. It reports full if an endpoint
// exists but none has a free slot.
func (ep *EndpointPool) tryAcquire(version string, prefix []uint64, exclude []string, hash limiter.Hash) (sl *slot, full bool, err error) {
	exclude = slices.Clone(exclude)
	for {
		choice, err := ep.picker.Pick(balance.Request{Version: version, Prefix: prefix, Exclude: exclude})
		if err != nil {
			return nil, full, err
		}
		ep.mu.Lock()
		st := ep.endpoints[choice.Endpoint]
		ep.mu.Unlock()
		if st == nil || !st.limit.TryAcquire() {
			full = full || st != nil
			exclude = append(exclude, choice.Endpoint)
			continue
		}
		return ep.start(choice, st, prefix, hash), false, nil
	}
}

func (ep *EndpointPool) start(choice balance.Choice, st *endpointState, prefix []uint64, hash limiter.Hash) *slot {
	sl := &slot{
		pool: ep, state: st, endpoint: choice.Endpoint, reason: choice.Reason,
		cachedBlocks: choice.CachedBlocks, attempt: newAttempt(), started: ep.clock.Now(),
	}
	ep.picker.Started(choice.Endpoint, prefix)
	ep.mu.Lock()
	sl.addr = st.spec.Address
	st.running[sl.attempt] = &runningAttempt{hash: hash}
	ep.mu.Unlock()
	return sl
}

// release frees the slot and records the outcome of the attempt. firstToken is the
// time to first token, or the time to the answer of a plain service.
func (sl *slot) release(outcome limiter.Outcome, firstToken time.Duration) {
	took := time.Duration(0)
	if outcome == limiter.OutcomeOK {
		took = sl.pool.clock.Since(sl.started)
	}
	sl.state.limit.Release(firstToken, outcome)
	sl.pool.picker.Finished(sl.endpoint, took)
	sl.pool.ejector.Report(sl.endpoint, outcome)
	sl.pool.setWeight(sl.endpoint)
	sl.pool.mu.Lock()
	delete(sl.state.running, sl.attempt)
	sl.pool.mu.Unlock()
	sl.pool.notify()
}

// takeCrashed returns the hashes of the requests that ran on the endpoint when it
// crashed and marks their attempts as recorded. It returns false if another lost
// attempt has already recorded this crash.
func (sl *slot) takeCrashed() ([]limiter.Hash, bool) {
	sl.pool.mu.Lock()
	defer sl.pool.mu.Unlock()
	lost := sl.state.running[sl.attempt]
	if lost == nil || lost.crashRecorded {
		return nil, false
	}
	var out []limiter.Hash
	for _, r := range sl.state.running {
		if !r.crashRecorded {
			r.crashRecorded = true
			out = append(out, r.hash)
		}
	}
	return out, true
}
