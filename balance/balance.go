// Package balance chooses an endpoint for a request from late load reports,
// the host's own requests in flight, what is known of the endpoints' prompt
// caches, and locality. It does no I/O. All types are safe for concurrent use.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// ErrNoEndpoint reports that no candidate serves the version or all of them
// are excluded.
var ErrNoEndpoint = errors.New("balance: no endpoint")

// Endpoint is a candidate. Leaving and withdrawn endpoints are not listed.
type Endpoint struct {
	// ID names the endpoint.
	ID string
	// FailureDomain locates it.
	FailureDomain string
	// Versions are those that may receive new work on it.
	Versions []string
	// Concurrency is the number of requests it runs at once.
	Concurrency int
}

// Request is what the choice depends on.
type Request struct {
	// Version the request runs on.
	Version string
	// Prefix holds the hashes of the prompt's blocks. Each hash covers all
	// blocks before it, so equal hashes mean equal prefixes.
	Prefix []uint64
	// Exclude names endpoints that must not be chosen, such as those tried.
	Exclude []string
}

// Reason says what decided a choice.
type Reason string

// The reasons of a choice.
const (
	// ReasonLoad is the least expected time to the first token by load.
	ReasonLoad Reason = "load"
	// ReasonPrefix is a cached prefix that outweighs load.
	ReasonPrefix Reason = "prefix"
	// ReasonPreferred is the common endpoint of an unknown prefix.
	ReasonPreferred Reason = "home"
)

// Choice is the endpoint chosen for a request.
type Choice struct {
	// Endpoint is its ID.
	Endpoint string
	// Reason says what decided.
	Reason Reason
	// CachedBlocks is the number of leading blocks expected in its cache.
	CachedBlocks int
}

// Config holds the weights of the choice.
type Config struct {
	// FailureDomain is the host's own.
	FailureDomain string
	// BlockPrefillTime is the time to prefill one block that is not cached.
	BlockPrefillTime time.Duration
	// ServiceTime is the first estimate of the time a request holds a place;
	// the mean of the finished requests replaces it.
	ServiceTime time.Duration
	// CrossDomainCost is the time that another failure domain counts as.
	CrossDomainCost time.Duration
}

// DefaultConfig returns weights for engines of usual size.
func DefaultConfig(failureDomain string) Config {
	return Config{
		FailureDomain:    failureDomain,
		BlockPrefillTime: 10 * time.Millisecond,
		ServiceTime:      2 * time.Second,
		CrossDomainCost:  2 * time.Millisecond,
	}
}

// slot is the state of one endpoint. Slots are reused after an endpoint left.
type slot struct {
	endpoint Endpoint
	used     bool
	local    bool
	weight   float64
	idHash   uint64
	epoch    uint16    // grows when the cache knowledge is reset
	oldUntil time.Time // until then the knowledge of the epoch before counts
	sequence uint64    // of the last cache event
	synced   bool      // whether a cache event was seen
	load     load
	depth    int // scratch of one Pick: leading blocks held
	estimate int // scratch of one Pick: requests at the endpoint
}

// Picker chooses endpoints for one host.
type Picker struct {
	clock clockwork.Clock
	cfg   Config

	mu        sync.Mutex
	random    *rand.Rand
	slots     []*slot
	byID      map[string]uint16
	byVersion map[string][]uint16
	index     *prefixIndex
	service   float64  // mean service time in seconds
	touched   []uint16 // scratch: slots with a depth
}

// NewPicker returns a picker without endpoints. It takes over the random source.
func NewPicker(clock clockwork.Clock, random *rand.Rand, cfg Config) *Picker {
	return &Picker{
		clock:     clock,
		cfg:       cfg,
		random:    random,
		byID:      make(map[string]uint16),
		byVersion: make(map[string][]uint16),
		index:     newPrefixIndex(clock.Now()),
		service:   cfg.ServiceTime.Seconds(),
	}
}

// SetEndpoints replaces the candidates, keeping what is known of those that stay.
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
			p.slots[i].used = false
			p.slots[i].epoch += 2 // no trust in what the former endpoint held
		}
	}
	clear(p.byVersion)
	for _, e := range endpoints {
		i := p.place(e)
		for _, v := range e.Versions {
			if !slices.Contains(p.byVersion[v], i) {
				p.byVersion[v] = append(p.byVersion[v], i)
			}
		}
	}
}

// place finds or makes the slot of an endpoint.
func (p *Picker) place(e Endpoint) uint16 {
	e.Versions = slices.Clone(e.Versions)
	e.Concurrency = max(1, e.Concurrency)
	i, ok := p.byID[e.ID]
	if !ok {
		i = p.freeSlot()
		p.slots[i] = &slot{used: true, weight: 1, idHash: hashText(e.ID), epoch: p.slots[i].epoch}
		p.byID[e.ID] = i
	}
	s := p.slots[i]
	s.endpoint = e
	s.local = e.FailureDomain == p.cfg.FailureDomain
	return i
}

func (p *Picker) freeSlot() uint16 {
	for i, s := range p.slots {
		if !s.used {
			return uint16(i)
		}
	}
	p.slots = append(p.slots, &slot{})
	return uint16(len(p.slots) - 1)
}

// SetWeight sets the share of its normal work that an endpoint may receive,
// such as the Ejector's weight; 0 takes it out of the choice.
func (p *Picker) SetWeight(endpoint string, weight float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.byID[endpoint]; ok {
		p.slots[i].weight = weight
	}
}

// Started records that a request was sent to the endpoint.
func (p *Picker) Started(endpoint string, prefix []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.byID[endpoint]
	if !ok {
		return
	}
	now := p.clock.Now()
	s := p.slots[i]
	s.load.own(now, 1)
	p.index.rotate(now)
	for _, block := range prefix {
		p.index.add(block, holder{slot: i, epoch: s.epoch})
	}
}

// Finished records the end of a started request and the time it took; zero if
// the time says nothing, such as after an error.
func (p *Picker) Finished(endpoint string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if took > 0 {
		const weight = 0.01
		p.service += weight * (took.Seconds() - p.service)
	}
	if i, ok := p.byID[endpoint]; ok {
		p.slots[i].load.own(p.clock.Now(), -1)
	}
}
