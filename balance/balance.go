// Package balance chooses an endpoint for a request from delayed load reports, the
// host's own requests in flight, the expected contents of the endpoints' prompt
// caches, and locality. Picker is for endpoints that report their load. EngineChooser
// is for model engines, whose load the hosts track themselves. The package does no
// I/O. All types are safe for concurrent use.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// ErrNoEndpoint reports that no endpoint serves the version, or that all that do
// are excluded.
var ErrNoEndpoint = errors.New("balance: no endpoint")

// Endpoint describes an endpoint that may be chosen. The caller must leave out
// endpoints that are leaving or withdrawn.
type Endpoint struct {
	// ID identifies the endpoint.
	ID string
	// FailureDomain is the failure domain of the endpoint.
	FailureDomain string
	// Versions are the versions for which the endpoint accepts new requests.
	Versions []string
	// Concurrency is the number of requests that it runs at the same time.
	Concurrency int
}

// Request holds the inputs of a choice.
type Request struct {
	// Version is the version that the request must run on.
	Version string
	// Prefix holds a hash for each block of the prompt. Each hash also covers all
	// preceding blocks, so equal hashes mean equal prefixes.
	Prefix []uint64
	// Exclude lists the IDs of endpoints that must not be chosen, such as those of
	// earlier attempts.
	Exclude []string
}

// Reason is the factor that decided a choice.
type Reason string

// The reasons for a choice.
const (
	// ReasonLoad means that the load gave the least expected time to first token.
	ReasonLoad Reason = "load"
	// ReasonPrefix means that the endpoint has the prompt prefix in its cache.
	ReasonPrefix Reason = "prefix"
	// ReasonPreferred means that the endpoint is the one that all hosts prefer for
	// the prompt prefix.
	ReasonPreferred Reason = "home"
)

// Choice is the endpoint chosen for a request.
type Choice struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Reason is the factor that decided the choice.
	Reason Reason
	// CachedBlocks is the number of leading prompt blocks expected in the cache of
	// the endpoint.
	CachedBlocks int
}

// Config holds the parameters of a Picker.
type Config struct {
	// FailureDomain is the failure domain of the host.
	FailureDomain string
	// BlockPrefillTime is the time to prefill one block that is not cached.
	BlockPrefillTime time.Duration
	// ServiceTime is the initial estimate of the time that a request occupies a
	// slot. A moving average over the finished requests replaces it.
	ServiceTime time.Duration
	// CrossDomainCost is the delay that an endpoint in another failure domain
	// counts as.
	CrossDomainCost time.Duration
	// LearnServiceTimes keeps a service time for each endpoint beside the mean over all.
	LearnServiceTimes bool
}

// DefaultConfig returns the parameters for engines of usual size.
func DefaultConfig(failureDomain string) Config {
	return Config{
		FailureDomain:     failureDomain,
		BlockPrefillTime:  10 * time.Millisecond,
		ServiceTime:       2 * time.Second,
		CrossDomainCost:   2 * time.Millisecond,
		LearnServiceTimes: true,
	}
}

// endpointState is the state of one endpoint. The index of an endpoint that has
// left is reused, with a new epoch.
type endpointState struct {
	endpoint           Endpoint
	inUse              bool
	local              bool
	weight             float64
	idHash             uint64
	epoch              uint16    // incremented when the recorded cache contents become unreliable
	previousEpochUntil time.Time // until then, cache contents recorded in the previous epoch count
	sequence           uint64    // of the last cache event
	synced             bool      // whether a cache event has been received
	load               load
	serviceTime        serviceTime
	cachedBlocks       int // scratch of one Pick: leading prompt blocks in the cache
	requests           int // scratch of one Pick: expected requests at the endpoint
}

// Picker chooses endpoints for one host.
type Picker struct {
	clock clockwork.Clock
	cfg   Config

	mu              sync.Mutex
	random          *rand.Rand
	endpoints       []*endpointState
	byID            map[string]uint16
	byVersion       map[string][]uint16
	prefixIndex     *prefixIndex
	meanServiceTime float64  // in seconds
	holderIndexes   []uint16 // scratch: endpoints with cachedBlocks above 0
}

// NewPicker returns a picker without endpoints. It takes ownership of random.
func NewPicker(clock clockwork.Clock, random *rand.Rand, cfg Config) *Picker {
	return &Picker{
		clock:           clock,
		cfg:             cfg,
		random:          random,
		byID:            make(map[string]uint16),
		byVersion:       make(map[string][]uint16),
		prefixIndex:     newPrefixIndex(clock.Now()),
		meanServiceTime: cfg.ServiceTime.Seconds(),
	}
}

// SetEndpoints replaces the endpoints and keeps the state of those that stay.
func (p *Picker) SetEndpoints(endpoints []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = true
	}
	for id, i := range p.byID {
		if !listed[id] {
			delete(p.byID, id)
			p.endpoints[i].inUse = false
			p.endpoints[i].epoch += 2 // drops the recorded cache contents without grace period
		}
	}
	clear(p.byVersion)
	for _, e := range endpoints {
		i := p.addOrUpdate(e)
		for _, v := range e.Versions {
			if !slices.Contains(p.byVersion[v], i) {
				p.byVersion[v] = append(p.byVersion[v], i)
			}
		}
	}
}

// addOrUpdate stores an endpoint and returns its index.
func (p *Picker) addOrUpdate(e Endpoint) uint16 {
	e.Versions = slices.Clone(e.Versions)
	e.Concurrency = max(1, e.Concurrency)
	i, ok := p.byID[e.ID]
	if !ok {
		i = p.freeIndex()
		p.endpoints[i] = &endpointState{inUse: true, weight: 1, idHash: hashString(e.ID), epoch: p.endpoints[i].epoch}
		p.byID[e.ID] = i
	}
	s := p.endpoints[i]
	s.endpoint = e
	s.local = e.FailureDomain == p.cfg.FailureDomain
	return i
}

func (p *Picker) freeIndex() uint16 {
	for i, s := range p.endpoints {
		if !s.inUse {
			return uint16(i)
		}
	}
	p.endpoints = append(p.endpoints, &endpointState{})
	return uint16(len(p.endpoints) - 1)
}

// SetWeight sets the fraction of its normal load that an endpoint may receive, such
// as the weight given by outlier ejection. An endpoint of weight 0 is chosen only if
// all other candidates are excluded or skipped because of their weights.
func (p *Picker) SetWeight(endpoint string, weight float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.byID[endpoint]; ok {
		p.endpoints[i].weight = weight
	}
}

// Started records that a request with the given prompt prefix was sent to the
// endpoint.
func (p *Picker) Started(endpoint string, prefix []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.byID[endpoint]
	if !ok {
		return
	}
	now := p.clock.Now()
	s := p.endpoints[i]
	s.load.recordLocal(now, 1)
	p.prefixIndex.rotate(now)
	for _, block := range prefix {
		p.prefixIndex.add(block, holder{index: i, epoch: s.epoch})
	}
}

// Finished records the end of a started request and the time that it took. took is
// zero if the time must not be used as a sample, such as after an error.
func (p *Picker) Finished(endpoint string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if took > 0 {
		const weight = 0.01
		p.meanServiceTime += weight * (took.Seconds() - p.meanServiceTime)
	}
	if i, ok := p.byID[endpoint]; ok {
		now, s := p.clock.Now(), p.endpoints[i]
		s.load.recordLocal(now, -1)
		if took > 0 && p.cfg.LearnServiceTimes {
			s.serviceTime.add(now, took.Seconds())
		}
	}
}
