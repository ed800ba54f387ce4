package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadBound is the load, relative to the mean of the candidates, up to
	// which a cached prefix or a home counts. It keeps one popular prefix from
	// gathering at one endpoint.
	loadBound = 1.25
	// batchSlowdown is the share of the service time that a full batch adds to
	// the first token. It spreads requests before a queue forms.
	batchSlowdown = 0.02
	// homeShare is the part of the prefill time that counts for the home of a
	// prefix that no endpoint is known to hold, so that hosts that know
	// nothing of each other's requests choose the same endpoint.
	homeShare = 0.5
)

// pick is the state of one running choice.
type pick struct {
	request    Request
	now        time.Time
	candidates []uint16
	home       *slot
	bound      float64 // load up to which affinity counts
	best       *slot
	score      float64
	reason     Reason
}

// Pick chooses the endpoint with the least expected time to the first token:
// queue, prefill of the blocks that are not cached, and locality.
func (p *Picker) Pick(r Request) (Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.byVersion[r.Version]
	if len(candidates) == 0 {
		return Choice{}, ErrNoEndpoint
	}
	k := pick{request: r, now: p.clock.Now(), candidates: candidates}
	p.findHolders(r.Prefix, k.now)
	k.bound = p.bound(&k)
	k.home = p.home(&k)
	p.scan(&k, true)
	if k.best == nil {
		p.scan(&k, false) // all others rest; rather one of those than none
	}
	choice := Choice{Reason: k.reason}
	if k.best != nil {
		choice.Endpoint, choice.CachedBlocks = k.best.endpoint.ID, k.best.depth
	}
	for _, i := range p.touched {
		p.slots[i].depth = 0
	}
	if k.best == nil {
		return Choice{}, ErrNoEndpoint
	}
	return choice, nil
}

// scan scores all candidates from a random start, which breaks ties. Looking at
// a sample of two to four was no better in the measurement.
func (p *Picker) scan(k *pick, weighted bool) {
	n := len(k.candidates)
	start := p.random.IntN(n)
	for j := range n {
		s := p.slots[k.candidates[(start+j)%n]]
		if weighted && s.weight < 1 && p.random.Float64() >= s.weight {
			continue
		}
		if slices.Contains(k.request.Exclude, s.endpoint.ID) {
			continue
		}
		p.consider(k, s)
	}
}

func (p *Picker) consider(k *pick, s *slot) {
	score, reason := p.score(k, s)
	if k.best == nil || score < k.score {
		k.best, k.score, k.reason = s, score, reason
	}
}

// score returns the expected time to the first token in seconds, less what the
// home of an unknown prefix counts for.
func (p *Picker) score(k *pick, s *slot) (float64, Reason) {
	estimate := s.estimate
	places := s.endpoint.Concurrency
	score := batchSlowdown * p.service * float64(estimate) / float64(places)
	if waiting := estimate + 1 - places; waiting > 0 {
		score += p.service * float64(waiting) / float64(places)
	}
	if !s.local {
		score += p.cfg.CrossDomainCost.Seconds()
	}
	block := p.cfg.BlockPrefillTime.Seconds()
	uncached := len(k.request.Prefix)
	reason := ReasonLoad
	if float64(estimate) <= k.bound*float64(places) {
		uncached -= s.depth
		switch {
		case s.depth > 0:
			reason = ReasonPrefix
		case s == k.home:
			score -= homeShare * block * float64(uncached)
			reason = ReasonPreferred
		}
	}
	return score + block*float64(uncached), reason
}

// bound estimates the load of the candidates and returns the load per place up
// to which affinity counts.
func (p *Picker) bound(k *pick) float64 {
	load, places := 0, 0
	for _, i := range k.candidates {
		s := p.slots[i]
		s.estimate = s.load.estimate(k.now)
		load += s.estimate
		places += s.endpoint.Concurrency
	}
	// One more request per endpoint lets an idle fleet use its caches.
	return loadBound * float64(load+len(k.candidates)) / float64(places)
}

// home returns the endpoint that rendezvous hashing gives to the prompt's
// first block, or nil if some endpoint is known to hold the block.
func (p *Picker) home(k *pick) *slot {
	if len(k.request.Prefix) == 0 || len(p.touched) > 0 {
		return nil
	}
	var home *slot
	var highest uint64
	for _, i := range k.candidates {
		s := p.slots[i]
		if h := mix(s.idHash ^ k.request.Prefix[0]); home == nil || h > highest {
			home, highest = s, h
		}
	}
	return home
}

// mix is the finalizer of a 64-bit hash; it spreads every input bit.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func hashText(text string) uint64 { return xxhash.Sum64String(text) }
