package balance

import (
	"time"
)

const (
	// holdersPerBlock bounds the endpoints known to hold one block.
	holdersPerBlock = 8
	// generationBlocks and generationTime bound one generation of the index.
	// With two generations it holds at most 65,536 blocks, about 5 MB, and
	// forgets a block that was not used for two generations.
	generationBlocks = 32768
	generationTime   = 5 * time.Minute
	// gapTrust is how long knowledge from before a gap in the cache events
	// counts. Endpoints evict what was not used for long, so what was known
	// outlives a gap for a while, and requests and events renew it.
	gapTrust = 30 * time.Second
)

// holder is an endpoint that holds a block, valid while the epoch of its slot
// is the same.
type holder struct {
	slot  uint16
	epoch uint16
}

type holders struct {
	list [holdersPerBlock]holder
	n    uint8
	next uint8 // the one to overwrite when full
}

func (h *holders) find(slot uint16) int {
	for i := range int(h.n) {
		if h.list[i].slot == slot {
			return i
		}
	}
	return -1
}

func (h *holders) add(o holder) {
	if i := h.find(o.slot); i >= 0 {
		h.list[i] = o
		return
	}
	if int(h.n) < holdersPerBlock {
		h.list[h.n] = o
		h.n++
		return
	}
	h.list[h.next] = o
	h.next = (h.next + 1) % holdersPerBlock
}

func (h *holders) remove(slot uint16) bool {
	i := h.find(slot)
	if i < 0 {
		return false
	}
	h.n--
	h.list[i] = h.list[h.n]
	h.next = 0
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

func (x *prefixIndex) remove(block uint64, slot uint16) {
	for _, generation := range []map[uint64]holders{x.current, x.previous} {
		if h, ok := generation[block]; ok && h.remove(slot) {
			generation[block] = h
		}
	}
}

func (x *prefixIndex) size() int { return len(x.current) + len(x.previous) }

// CacheEvent is an endpoint's message about its cache.
type CacheEvent struct {
	// Endpoint is its ID.
	Endpoint string
	// Sequence grows by one with each event of the endpoint.
	Sequence uint64
	// Added and Removed are blocks by the hashes that Request.Prefix uses.
	Added, Removed []uint64
}

// ObserveCacheEvent takes in a cache event. After a gap everything known of
// the endpoint's cache is dropped unless it is renewed within gapTrust, because
// a removal may have been missed.
func (p *Picker) ObserveCacheEvent(e CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.byID[e.Endpoint]
	if !ok {
		return
	}
	s := p.slots[i]
	if s.synced && e.Sequence <= s.sequence {
		return
	}
	if s.synced && e.Sequence != s.sequence+1 {
		s.epoch++
		s.oldUntil = p.clock.Now().Add(gapTrust)
	}
	s.synced, s.sequence = true, e.Sequence
	p.index.rotate(p.clock.Now())
	for _, block := range e.Removed {
		p.index.remove(block, i)
	}
	for _, block := range e.Added {
		p.index.add(block, holder{slot: i, epoch: s.epoch})
	}
}

// IndexedBlocks returns the number of blocks in the index.
func (p *Picker) IndexedBlocks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.size()
}

// trusts reports whether a holder is known since the last gap, or since the
// one before it and the last was less than gapTrust ago.
func (s *slot) trusts(o holder, now time.Time) bool {
	return o.epoch == s.epoch || o.epoch+1 == s.epoch && now.Before(s.oldUntil)
}

// findHolders sets the depth of every slot that holds leading blocks.
func (p *Picker) findHolders(prefix []uint64, now time.Time) {
	p.touched = p.touched[:0]
	for depth, block := range prefix {
		h, ok := p.index.get(block)
		advanced := false
		for _, o := range h.list[:h.n] {
			s := p.slots[o.slot]
			if s.depth != depth || !s.trusts(o, now) {
				continue
			}
			if depth == 0 {
				p.touched = append(p.touched, o.slot)
			}
			s.depth = depth + 1
			advanced = true
		}
		if !ok || !advanced {
			return
		}
	}
}
