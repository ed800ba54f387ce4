package limiter

import (
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// CrashMarkTTL is how long a hash is refused after its last crash, and how
	// long a mark is kept.
	CrashMarkTTL = 10 * time.Minute
	// sameCrash is the difference in time up to which two reports about one
	// endpoint mean one crash: hosts notice a crash at different times.
	sameCrash = 5 * time.Second
	// crashLimit is the number of crashes after which a hash is refused.
	crashLimit = 2
	// maxMarks bounds the suspects kept, about 1 MB with their endpoints. The
	// oldest are dropped first.
	// Dropping an eighth at a time keeps the cost of the search small.
	maxMarks  = 4096
	keptMarks = maxMarks * 7 / 8
	// maxProven bounds the hashes known to have finished.
	maxProven = 16384
)

// PropagationTime returns the time crash marks need to reach all of so many hosts
// when each host passes them on to three others per period. The rounds for a
// doubling per round, and one more, leave room for messages that overlap.
func PropagationTime(hosts int, period time.Duration) time.Duration {
	return time.Duration(bits.Len(uint(max(1, hosts)))+1) * period
}

// Hash is the content hash of a request and the version it asks for.
type Hash uint64

// Admission says how a request may run.
type Admission int

// The ways to admit a request.
const (
	// AdmitNormal runs like any other request.
	AdmitNormal Admission = iota
	// AdmitProbation runs only while Probation grants the endpoint.
	AdmitProbation
	// AdmitWait waits until Verdict.Until and asks again.
	AdmitWait
	// AdmitReject is refused until Verdict.Until.
	AdmitReject
)

// Decision is the guard's decision about a request.
type Decision struct {
	// Admission says how the request may run.
	Admission Admission
	// Until is the end of a wait or of a refusal.
	Until time.Time
	// AvoidEndpoint names the endpoint that crashed under the request. Another one is
	// to be preferred, to tell a bad request from a bad endpoint.
	AvoidEndpoint string
}

// crash is one crash of an endpoint as seen by one hash.
type crash struct {
	Endpoint string `json:"e"`
	At       int64  `json:"t"` // Unix milliseconds
}

func (c crash) same(o crash) bool {
	d := c.At - o.At
	return c.Endpoint == o.Endpoint && max(d, -d) <= sameCrash.Milliseconds()
}

// suspect is what is known about one hash. Merging takes the union of the
// crashes and the latest success.
type suspect struct {
	crashes []crash   // by time, at most crashLimit
	cleared int64     // time of the last success; earlier crashes do not count
	changed time.Time // on this host
}

func (s *suspect) latest() int64 {
	at := s.cleared
	for _, c := range s.crashes {
		at = max(at, c.At)
	}
	return at
}

// CrashGuard recognises requests that crash the endpoints they run on. Every
// request that ran on a crashed endpoint becomes a suspect unless it is known
// to have finished before. Suspects run again in probation, at most one on an
// endpoint, so a second crash points at one of them. Two crashes refuse a
// hash; the crashes it explains then no longer count against the others.
type CrashGuard struct {
	clock  clockwork.Clock
	spread time.Duration

	mu        sync.Mutex
	suspects  map[Hash]*suspect
	lastSent  Hash    // position of the gossip rotation
	explained []crash // crashes of refused hashes, bounded by expiry
	proven    *provenSet
}

// NewCrashGuard returns a guard without marks. The spread is the time marks
// need to reach every host, see PropagationTime. Until it has passed a suspect does
// not run again, and the caller is to get no answer (see Hold), so that a
// repeat meets only hosts that know the mark.
func NewCrashGuard(clock clockwork.Clock, spread time.Duration) *CrashGuard {
	return &CrashGuard{
		clock:    clock,
		spread:   spread,
		suspects: make(map[Hash]*suspect),
		proven:   newProvenSet(maxProven),
	}
}

// Admit decides how a request with this hash may run.
func (g *CrashGuard) Admit(hash Hash) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	s := g.find(hash, now)
	if s == nil || len(s.crashes) == 0 {
		return Decision{}
	}
	last := time.UnixMilli(s.latest())
	if len(s.crashes) >= crashLimit {
		return Decision{Admission: AdmitReject, Until: last.Add(CrashMarkTTL)}
	}
	if g.isExplained(s.crashes[0]) {
		return Decision{}
	}
	verdict := Decision{Admission: AdmitProbation, AvoidEndpoint: s.crashes[0].Endpoint}
	if ready := last.Add(g.spread); now.Before(ready) {
		verdict.Admission, verdict.Until = AdmitWait, ready
	}
	return verdict
}

// HoldReplyUntil returns the time before which the caller must not learn that its
// request failed or is refused; it is zero if the request is no suspect. A
// caller who repeats at once would otherwise outrun the marks.
func (g *CrashGuard) HoldReplyUntil(hash Hash) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.find(hash, g.clock.Now())
	if s == nil || len(s.crashes) == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.latest()).Add(g.spread)
}

// RecordCrash records that an endpoint crashed while it ran these requests of this
// host. A crash is an endpoint that failed all its connections at once or
// restarted; a fault of one connection is none.
func (g *CrashGuard) RecordCrash(endpoint string, running []Hash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	c := crash{Endpoint: endpoint, At: now.UnixMilli()}
	for _, hash := range running {
		if !g.proven.contains(hash, now) {
			g.mark(hash, c, now)
		}
	}
	g.tidy(now)
}

// RecordSuccess records that a request with this hash finished, which clears it.
func (g *CrashGuard) RecordSuccess(hash Hash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.proven.add(hash, now)
	if s := g.find(hash, now); s != nil {
		s.clear(now.UnixMilli(), now)
	}
}

// Len returns the number of hashes with marks.
func (g *CrashGuard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.suspects)
}

// find returns the suspect unless it has expired.
func (g *CrashGuard) find(hash Hash, now time.Time) *suspect {
	s := g.suspects[hash]
	if s == nil || now.UnixMilli()-s.latest() < CrashMarkTTL.Milliseconds() {
		return s
	}
	delete(g.suspects, hash)
	return nil
}

func (g *CrashGuard) mark(hash Hash, c crash, now time.Time) {
	s := g.suspects[hash]
	if s == nil {
		s = &suspect{}
		g.suspects[hash] = s
	}
	if c.At <= s.cleared {
		return
	}
	if !s.add(c) {
		return
	}
	s.changed = now
	if len(s.crashes) >= crashLimit {
		g.explain(s)
	}
}

// add inserts a crash and reports whether it says anything new. Of two reports of one crash the
// later stays, so that a success between them does not clear the crash.
func (s *suspect) add(c crash) bool {
	for i := range s.crashes {
		if s.crashes[i].same(c) {
			newer := c.At > s.crashes[i].At
			s.crashes[i].At = max(s.crashes[i].At, c.At)
			return newer
		}
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, compareCrash)
	expired := s.crashes[len(s.crashes)-1].At - CrashMarkTTL.Milliseconds()
	s.crashes = slices.DeleteFunc(s.crashes, func(o crash) bool { return o.At <= expired })
	if len(s.crashes) > crashLimit {
		// Two are enough to refuse; the latest ones decide for how long.
		s.crashes = s.crashes[len(s.crashes)-crashLimit:]
	}
	return slices.Contains(s.crashes, c)
}

func (s *suspect) clear(at int64, now time.Time) {
	if at <= s.cleared {
		return
	}
	s.cleared, s.changed = at, now
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.At <= s.cleared })
}

func (g *CrashGuard) explain(s *suspect) {
	for _, c := range s.crashes {
		if !g.isExplained(c) {
			g.explained = append(g.explained, c)
		}
	}
}

func (g *CrashGuard) isExplained(c crash) bool {
	return slices.ContainsFunc(g.explained, c.same)
}

// tidy drops what has expired and, above the bound, the oldest suspects.
func (g *CrashGuard) tidy(now time.Time) {
	expired := now.Add(-CrashMarkTTL).UnixMilli()
	g.explained = slices.DeleteFunc(g.explained, func(c crash) bool { return c.At <= expired })
	for hash, s := range g.suspects {
		if s.latest() <= expired {
			delete(g.suspects, hash)
		}
	}
	if len(g.suspects) <= maxMarks {
		return
	}
	ages := make([]int64, 0, len(g.suspects))
	for _, s := range g.suspects {
		ages = append(ages, s.latest())
	}
	slices.Sort(ages)
	oldest := ages[len(ages)-keptMarks]
	for hash, s := range g.suspects {
		if s.latest() <= oldest {
			delete(g.suspects, hash)
		}
	}
}
