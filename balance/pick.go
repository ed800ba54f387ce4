package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinityLoadBound is the load, relative to the mean of the candidates, up to
	// which cache affinity counts. It keeps the requests of one popular prefix from
	// all going to one endpoint.
	affinityLoadBound = 1.25
	// batchSlowdown is the fraction of the service time by which a full batch
	// delays the first token. It spreads requests before a queue forms.
	batchSlowdown = 0.02
	// preferredShare is the fraction of the prefill time by which the score of the
	// preferred endpoint is lowered when no endpoint is known to hold the prefix.
	// It makes hosts that do not know of each other's requests choose the same
	// endpoint.
	preferredShare = 0.5
)

// pick is the state of one call of Pick.
type pick struct {
	request       Request
	now           time.Time
	candidates    []uint16
	preferred     *endpointState
	affinityBound float64 // load per slot up to which cache affinity counts
	best          *endpointState
	score         float64
	reason        Reason
}

// Pick chooses the endpoint with the least expected time to first token, from the
// requests queued, the prefill of the blocks that are not cached, and locality.
func (p *Picker) Pick(r Request) (Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.byVersion[r.Version]
	if len(candidates) == 0 {
		return Choice{}, ErrNoEndpoint
	}
	k := pick{request: r, now: p.clock.Now(), candidates: candidates}
	p.markHolders(r.Prefix, k.now)
	k.affinityBound = p.affinityBound(&k)
	k.preferred = p.preferred(&k)
	p.scan(&k, true)
	if k.best == nil {
		p.scan(&k, false) // all were skipped because of their weights; ignore these
	}
	choice := Choice{Reason: k.reason}
	if k.best != nil {
		choice.Endpoint, choice.CachedBlocks = k.best.endpoint.ID, k.best.cachedBlocks
	}
	for _, i := range p.holderIndexes {
		p.endpoints[i].cachedBlocks = 0
	}
	if k.best == nil {
		return Choice{}, ErrNoEndpoint
	}
	return choice, nil
}

// scan scores the candidates, starting at a random one so that ties are broken at
// random. If weighted, it skips each candidate with probability 1 - weight. It scores
// all of them: sampling two to four gave no better choices.
func (p *Picker) scan(k *pick, weighted bool) {
	n := len(k.candidates)
	start := p.random.IntN(n)
	for j := range n {
		s := p.endpoints[k.candidates[(start+j)%n]]
		if weighted && s.weight < 1 && p.random.Float64() >= s.weight {
			continue
		}
		if slices.Contains(k.request.Exclude, s.endpoint.ID) {
			continue
		}
		p.consider(k, s)
	}
}

func (p *Picker) consider(k *pick, s *endpointState) {
	score, reason := p.score(k, s)
	if k.best == nil || score < k.score {
		k.best, k.score, k.reason = s, score, reason
	}
}

// score returns the expected time to first token in seconds, plus the time by which an
// endpoint is slower than the others, lowered for the preferred endpoint of a prefix that
// no endpoint is known to hold.
func (p *Picker) score(k *pick, s *endpointState) (float64, Reason) {
	requests := s.requests
	slots := s.endpoint.Concurrency
	own := s.serviceTime.estimate(k.now, p.meanServiceTime)
	score := batchSlowdown*own*float64(requests)/float64(slots) + s.serviceTime.excess(k.now, p.meanServiceTime)
	if waiting := requests + 1 - slots; waiting > 0 {
		score += own * float64(waiting) / float64(slots)
	}
	if !s.local {
		score += p.cfg.CrossDomainCost.Seconds()
	}
	block := p.cfg.BlockPrefillTime.Seconds()
	uncached := len(k.request.Prefix)
	reason := ReasonLoad
	if float64(requests) <= k.affinityBound*float64(slots) {
		uncached -= s.cachedBlocks
		switch {
		case s.cachedBlocks > 0:
			reason = ReasonPrefix
		case s == k.preferred:
			score -= preferredShare * block * float64(uncached)
			reason = ReasonPreferred
		}
	}
	return score + block*float64(uncached), reason
}

// affinityBound estimates the load of each candidate and returns the load per slot
// up to which cache affinity counts.
func (p *Picker) affinityBound(k *pick) float64 {
	load, slots := 0, 0
	for _, i := range k.candidates {
		s := p.endpoints[i]
		s.requests = s.load.estimate(k.now)
		load += s.requests
		slots += s.endpoint.Concurrency
	}
	// One more request per endpoint allows cache affinity in an idle fleet.
	return affinityLoadBound * float64(load+len(k.candidates)) / float64(slots)
}

// preferred returns the endpoint that rendezvous hashing assigns to the first block
// of the prompt, or nil if an endpoint is known to hold that block.
func (p *Picker) preferred(k *pick) *endpointState {
	if len(k.request.Prefix) == 0 || len(p.holderIndexes) > 0 {
		return nil
	}
	var preferred *endpointState
	var highest uint64
	for _, i := range k.candidates {
		s := p.endpoints[i]
		if h := mixHash(s.idHash ^ k.request.Prefix[0]); preferred == nil || h > highest {
			preferred, highest = s, h
		}
	}
	return preferred
}

// mixHash is the finalizer of a 64-bit hash: every input bit affects every output
// bit.
func mixHash(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func hashString(text string) uint64 { return xxhash.Sum64String(text) }
