package balance

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// LoadSum is the load that several hosts together put on the engines of a service.
type LoadSum struct {
	// Hosts is the number of hosts.
	Hosts int `json:"hosts"`
	// AgeMS is the mean age of their reports in milliseconds.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Digest holds the sums.
	Digest []byte `json:"digest,omitempty"`
	// Paces holds the paces of the engines, see PaceSum. Older builds ignore it.
	Paces []byte `json:"paces,omitempty"`
}

// LoadTable holds the latest load of each of several sources, which are hosts or groups
// of hosts, and sums them up. In a large fleet, hosts hear too little of each other for
// a picture of the engines, so a few of them sum up the load for all. It is safe for
// concurrent use.
type LoadTable struct {
	clock clockwork.Clock

	mu      sync.Mutex
	sources map[string]sourceLoad
}

// sourceLoad is the last load received from one source.
type sourceLoad struct {
	at    time.Time
	hosts int
	age   time.Duration // at the time at
	loads map[uint32]EngineLoad
	paces sourcePaces
}

// NewLoadTable returns an empty table.
func NewLoadTable(clock clockwork.Clock) *LoadTable {
	return &LoadTable{clock: clock, sources: make(map[string]sourceLoad)}
}

// Observe replaces the load of a source.
func (t *LoadTable) Observe(source string, s LoadSum) error {
	l, err := decodeSum(s, t.clock.Now())
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sources[source] = l
	return nil
}

func decodeSum(s LoadSum, now time.Time) (sourceLoad, error) {
	loads, err := decodeDigest(s.Digest)
	if err != nil {
		return sourceLoad{}, err
	}
	paces, err := decodePaces(s.Paces)
	return sourceLoad{at: now, hosts: s.Hosts, age: time.Duration(s.AgeMS) * time.Millisecond, loads: loads, paces: paces}, err
}

// SumLoads returns the sum of all sources in the tables whose load is recent, as a digest
// of at most limit bytes, and paces of at most half as many.
func SumLoads(limit int, tables ...*LoadTable) LoadSum {
	var out LoadSum
	total := make(map[uint32]EngineLoad)
	var paces []sourcePaces
	age := time.Duration(0) // summed over hosts
	for _, t := range tables {
		for _, s := range t.recent() {
			out.Hosts += s.hosts
			age += time.Duration(s.hosts) * (s.age + t.clock.Since(s.at))
			paces = append(paces, s.paces)
			for key, l := range s.loads {
				total[key] = addLoads(total[key], l, 1)
			}
		}
	}
	if out.Hosts > 0 {
		out.AgeMS = (age / time.Duration(out.Hosts)).Milliseconds()
	}
	out.Digest, out.Paces = encodeDigest(total, limit), encodePaces(sumPaces(paces), limit/2)
	return out
}

// recent returns the loads within peerLoadTTL and drops the others.
func (t *LoadTable) recent() []sourceLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []sourceLoad
	for source, l := range t.sources {
		if now.Sub(l.at) > peerLoadTTL {
			delete(t.sources, source)
			continue
		}
		out = append(out, l)
	}
	return out
}

// addLoads returns a plus sign times b, without negative figures. The slices of a and b
// are not changed.
func addLoads(a, b EngineLoad, sign int) EngineLoad {
	out := EngineLoad{Running: max(0, a.Running+sign*b.Running)}
	out.BacklogMS = make([]int64, max(len(a.BacklogMS), len(b.BacklogMS)))
	copy(out.BacklogMS, a.BacklogMS)
	for i, ms := range b.BacklogMS {
		out.BacklogMS[i] = max(0, out.BacklogMS[i]+int64(sign)*ms)
	}
	return out
}

// ObserveSum records the load of the whole fleet. own is the digest of this host that
// the sum includes; hosts is the number of hosts in the fleet.
func (e *EngineChooser) ObserveSum(s LoadSum, own []byte, hosts int) error {
	l, err := decodeSum(s, e.clock.Now())
	if err != nil {
		return err
	}
	mine, err := decodeDigest(own)
	if err != nil {
		return err
	}
	for key, load := range mine {
		l.loads[key] = addLoads(l.loads[key], load, -1)
	}
	l.hosts--
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts, e.fleet = hosts, &l
	return nil
}

// fleetKnown reports whether there is a recent sum of the load of the other hosts.
func (e *EngineChooser) fleetKnown(now time.Time) bool {
	return e.fleet != nil && e.fleet.hosts > 0 && now.Sub(e.fleet.at) <= peerLoadTTL
}

// fleetLoad returns the load of the other hosts on an engine from the sum over the
// fleet, which must be known.
func (e *EngineChooser) fleetLoad(en *engine, now time.Time) (running int, queued backlog) {
	s := e.fleet
	l := s.loads[engineKey(en.idHash)]
	running = l.Running
	for priority, ms := range l.BacklogMS {
		queued[clampPriority(priority)] += time.Duration(ms) * time.Millisecond
	}
	if others := e.hosts - 1; others > s.hosts {
		scale := float64(others) / float64(s.hosts)
		running = int(scale * float64(running))
		queued.scale(scale)
	}
	queued.complete(s.age + now.Sub(s.at))
	return running, queued
}

// alternativeCount is the number of engines, beside those that have its prompt cached,
// among which a request chooses by load when all hosts see the same load.
const alternativeCount = 8

// minAlternativeScore returns the rendezvous score from which an engine is among the
// alternatives for a prompt. Prompts with the same shared parts have the same ones, so
// that few engines prefill these; other prompts have others, so that not all hosts
// choose the same idle engine until the next news.
func minAlternativeScore(candidates []candidate) uint64 {
	var best [alternativeCount]uint64 // descending
	for _, c := range candidates {
		score := c.score
		for i := range best {
			if score > best[i] {
				score, best[i] = best[i], score
			}
		}
	}
	return best[alternativeCount-1]
}

// rendezvousScore returns the score of an engine for the shared parts of a prompt.
func rendezvousScore(keys []uint64, en *engine) uint64 {
	if len(keys) == 0 {
		return 0
	}
	return mixHash(keys[max(0, len(keys)-2)] ^ en.idHash)
}
