package balance

import (
	"time"
)

const (
	// holdersPerBlock bounds the number of endpoints recorded as holding a block.
	holdersPerBlock = 8
	// generationBlocks and generationTime bound one generation of the index. The
	// index has two generations: it holds at most 65,536 blocks, about 5 MB, and
	// forgets a block that was not used for two generations.
	generationBlocks = 32768
	generationTime   = 5 * time.Minute
	// gapGracePeriod is how long holders recorded before a gap in the cache events
	// still count. Endpoints evict what has not been used for long, so most of the
	// recorded blocks are still cached for a while, and requests and events record
	// them again.
	gapGracePeriod = 30 * time.Second
)

// holder is an endpoint that holds a block. It is valid while the endpoint's state
// has the same epoch.
type holder struct {
	index uint16 // in Picker.endpoints
	epoch uint16
}

// holders are the endpoints that hold one block.
type holders struct {
	list    [holdersPerBlock]holder
	n       uint8
	evictAt uint8 // index of the holder to replace when full
}

func (h *holders) find(index uint16) int {
	for i := range int(h.n) {
		if h.list[i].index == index {
			return i
		}
	}
	return -1
}

func (h *holders) add(o holder) {
	if i := h.find(o.index); i >= 0 {
		h.list[i] = o
		return
	}
	if int(h.n) < holdersPerBlock {
		h.list[h.n] = o
		h.n++
		return
	}
	h.list[h.evictAt] = o
	h.evictAt = (h.evictAt + 1) % holdersPerBlock
}

func (h *holders) remove(index uint16) bool {
	i := h.find(index)
	if i < 0 {
		return false
	}
	h.n--
	h.list[i] = h.list[h.n]
	h.evictAt = 0
	return true
}

// prefixIndex maps blocks to the endpoints that hold them, in two generations.
type prefixIndex struct {
	current  map[uint64]holders
	previous map[uint64]holders
	started  time.Time
}

func newPrefixIndex(now time.Time) *prefixIndex {
	return &prefixIndex{current: make(map[uint64]holders), started: now}
}

// rotate starts a new generation if the current one is full or too old, and drops the
// previous one.
func (x *prefixIndex) rotate(now time.Time) {
	if len(x.current) < generationBlocks && now.Sub(x.started) < generationTime {
		return
	}
	x.previous, x.current = x.current, make(map[uint64]holders)
	x.started = now
}

func (x *prefixIndex) get(block uint64) (holders, bool) {
	if h, ok := x.current[block]; ok {
		return h, true
	}
	h, ok := x.previous[block]
	return h, ok
}

func (x *prefixIndex) add(block uint64, o holder) {
	h, _ := x.get(block)
	h.add(o)
	x.current[block] = h
}

func (x *prefixIndex) remove(block uint64, index uint16) {
	for _, generation := range []map[uint64]holders{x.current, x.previous} {
		if h, ok := generation[block]; ok && h.remove(index) {
			generation[block] = h
		}
	}
}

func (x *prefixIndex) size() int { return len(x.current) + len(x.previous) }

// CacheEvent is an endpoint's report of changes in its prompt cache.
type CacheEvent struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Sequence increases by one with each event of the endpoint.
	Sequence uint64
	// Added and Removed are blocks, as hashes like those of Request.Prefix.
	Added, Removed []uint64
}

// ObserveCacheEvent records a cache event. After a gap in the sequence, a removal may
// have been missed, so everything recorded about the endpoint's cache is dropped
// after gapGracePeriod unless it is recorded again.
func (p *Picker) ObserveCacheEvent(e CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.byID[e.Endpoint]
	if !ok {
		return
	}
	s := p.endpoints[i]
	if s.synced && e.Sequence <= s.sequence {
		return
	}
	if s.synced && e.Sequence != s.sequence+1 {
		s.epoch++
		s.previousEpochUntil = p.clock.Now().Add(gapGracePeriod)
	}
	s.synced, s.sequence = true, e.Sequence
	p.prefixIndex.rotate(p.clock.Now())
	for _, block := range e.Removed {
		p.prefixIndex.remove(block, i)
	}
	for _, block := range e.Added {
		p.prefixIndex.add(block, holder{index: i, epoch: s.epoch})
	}
}

// IndexedBlocks returns the number of blocks in the index.
func (p *Picker) IndexedBlocks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.prefixIndex.size()
}

// isCurrent reports whether a holder was recorded since the last gap, or since the
// previous gap if the last one is less than gapGracePeriod ago.
func (s *endpointState) isCurrent(o holder, now time.Time) bool {
	return o.epoch == s.epoch || o.epoch+1 == s.epoch && now.Before(s.previousEpochUntil)
}

// markHolders sets cachedBlocks of every endpoint that holds leading blocks of the
// prefix.
func (p *Picker) markHolders(prefix []uint64, now time.Time) {
	p.holderIndexes = p.holderIndexes[:0]
	for depth, block := range prefix {
		h, ok := p.prefixIndex.get(block)
		advanced := false
		for _, o := range h.list[:h.n] {
			s := p.endpoints[o.index]
			if s.cachedBlocks != depth || !s.isCurrent(o, now) {
				continue
			}
			if depth == 0 {
				p.holderIndexes = append(p.holderIndexes, o.index)
			}
			s.cachedBlocks = depth + 1
			advanced = true
		}
		if !ok || !advanced {
			return
		}
	}
}
