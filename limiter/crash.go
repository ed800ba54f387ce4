package limiter

import (
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// CrashMarkTTL is how long a crash mark, the record of the crashes of a hash,
	// is kept, and how long a hash is rejected after its last crash.
	CrashMarkTTL = 10 * time.Minute
	// crashMergeWindow is the maximum difference in time between two reports
	// about one endpoint that count as the same crash. Hosts notice a crash at
	// different times.
	crashMergeWindow = 5 * time.Second
	// crashLimit is the number of crashes from which on a hash is rejected.
	crashLimit = 2
	// maxSuspects bounds the number of suspects, which take about 1 MB with their
	// endpoints. Above it, the oldest are evicted until about keptSuspects
	// remain. Evicting an eighth at a time keeps the cost of finding the oldest
	// low.
	maxSuspects  = 4096
	keptSuspects = maxSuspects * 7 / 8
	// maxSucceeded bounds the number of hashes recorded as successfully
	// completed.
	maxSucceeded = 16384
)

// PropagationTime returns the time that crash marks need to reach the given
// number of hosts when each host gossips them to three others per period. It
// counts the rounds needed if the number of informed hosts doubles per round,
// plus one, which leaves room for messages sent to hosts that already have the
// mark.
func PropagationTime(hosts int, period time.Duration) time.Duration {
	return time.Duration(bits.Len(uint(max(1, hosts)))+1) * period
}

// Hash is the hash of a request's content and the version that it requests.
type Hash uint64

// Admission is the way in which a request may run.
type Admission int

// The ways to admit a request.
const (
	// AdmitNormal means that the request runs without restrictions.
	AdmitNormal Admission = iota
	// AdmitProbation means that the request may run only while it holds a grant
	// from Probation for its endpoint.
	AdmitProbation
	// AdmitWait means that the request must wait until Decision.Until and then
	// call Admit again.
	AdmitWait
	// AdmitReject means that the request is rejected until Decision.Until.
	AdmitReject
)

// Decision is the decision of a CrashGuard about a request.
type Decision struct {
	// Admission is the way in which the request may run.
	Admission Admission
	// Until is the end of the wait or of the rejection.
	Until time.Time
	// AvoidEndpoint is the endpoint that crashed while running the request.
	// Running the request on another endpoint shows whether the request or the
	// endpoint is at fault.
	AvoidEndpoint string
}

// crash is one crash of an endpoint while it ran requests with a given hash.
type crash struct {
	Endpoint string `json:"e"`
	At       int64  `json:"t"` // Unix milliseconds
}

func (c crash) sameEvent(o crash) bool {
	d := c.At - o.At
	return c.Endpoint == o.Endpoint && max(d, -d) <= crashMergeWindow.Milliseconds()
}

// suspect is the state of one hash. Hosts exchange it as a mark. Merging takes the
// union of the crashes and the latest success.
type suspect struct {
	crashes     []crash   // sorted by time, at most crashLimit
	lastSuccess int64     // Unix milliseconds; crashes up to then do not count
	updated     time.Time // last change, by this host's clock
}

// latest returns the time of the last crash or success in Unix milliseconds.
func (s *suspect) latest() int64 {
	at := s.lastSuccess
	for _, c := range s.crashes {
		at = max(at, c.At)
	}
	return at
}

// CrashGuard detects requests that crash the endpoints they run on. Every
// request that ran on a crashed endpoint becomes a suspect, unless a request
// with its hash has recently completed. Suspects run again on probation, at
// most one per endpoint, so that a second crash identifies the request that
// caused it. A hash with two crashes is rejected, and its crashes no longer
// count against the other requests that ran on those endpoints.
type CrashGuard struct {
	clock       clockwork.Clock
	propagation time.Duration

	mu         sync.Mutex
	suspects   map[Hash]*suspect
	lastSent   Hash    // last hash sent in the rotation of older marks
	attributed []crash // crashes of rejected hashes, bounded by expiry
	succeeded  *successSet
}

// NewCrashGuard returns a guard without marks. propagation is the time that marks
// need to reach every host (see PropagationTime). Until it has passed since the
// crash, a suspect does not run again and its caller must not receive a response
// (see HoldReplyUntil), so that a retry reaches only hosts that have the mark.
func NewCrashGuard(clock clockwork.Clock, propagation time.Duration) *CrashGuard {
	return &CrashGuard{
		clock:       clock,
		propagation: propagation,
		suspects:    make(map[Hash]*suspect),
		succeeded:   newSuccessSet(maxSucceeded),
	}
}

// Admit decides how a request with this hash may run.
func (g *CrashGuard) Admit(hash Hash) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	s := g.lookup(hash, now)
	if s == nil || len(s.crashes) == 0 {
		return Decision{}
	}
	last := time.UnixMilli(s.latest())
	if len(s.crashes) >= crashLimit {
		return Decision{Admission: AdmitReject, Until: last.Add(CrashMarkTTL)}
	}
	if g.isAttributed(s.crashes[0]) {
		return Decision{}
	}
	decision := Decision{Admission: AdmitProbation, AvoidEndpoint: s.crashes[0].Endpoint}
	if ready := last.Add(g.propagation); now.Before(ready) {
		decision.Admission, decision.Until = AdmitWait, ready
	}
	return decision
}

// HoldReplyUntil returns the time before which the caller must not receive the
// reply that its request failed or was rejected, so that an immediate retry does
// not reach a host before the marks do. It is zero if the request is not a
// suspect.
func (g *CrashGuard) HoldReplyUntil(hash Hash) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.lookup(hash, g.clock.Now())
	if s == nil || len(s.crashes) == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.latest()).Add(g.propagation)
}

// RecordCrash records that an endpoint crashed while it ran the given requests
// of this host. An endpoint has crashed if it restarted or if all its
// connections failed at once. A fault of a single connection is not a crash.
func (g *CrashGuard) RecordCrash(endpoint string, running []Hash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	c := crash{Endpoint: endpoint, At: now.UnixMilli()}
	for _, hash := range running {
		if !g.succeeded.contains(hash, now) {
			g.addCrash(hash, c, now)
		}
	}
	g.evict(now)
}

// RecordSuccess records that a request with this hash completed, which clears
// its earlier crashes.
func (g *CrashGuard) RecordSuccess(hash Hash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.succeeded.add(hash, now)
	if s := g.lookup(hash, now); s != nil {
		s.recordSuccess(now.UnixMilli(), now)
	}
}

// Len returns the number of hashes with marks.
func (g *CrashGuard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.suspects)
}

// lookup returns the suspect for the hash. It deletes an expired suspect and
// returns nil.
func (g *CrashGuard) lookup(hash Hash, now time.Time) *suspect {
	s := g.suspects[hash]
	if s == nil || now.UnixMilli()-s.latest() < CrashMarkTTL.Milliseconds() {
		return s
	}
	delete(g.suspects, hash)
	return nil
}

func (g *CrashGuard) addCrash(hash Hash, c crash, now time.Time) {
	s := g.suspects[hash]
	if s == nil {
		s = &suspect{}
		g.suspects[hash] = s
	}
	if c.At <= s.lastSuccess {
		return
	}
	if !s.addCrash(c) {
		return
	}
	s.updated = now
	if len(s.crashes) >= crashLimit {
		g.attribute(s)
	}
}

// addCrash inserts a crash and reports whether it adds information. Of two
// reports of the same crash the later time is kept, so that a success between
// them does not clear the crash.
func (s *suspect) addCrash(c crash) bool {
	for i := range s.crashes {
		if s.crashes[i].sameEvent(c) {
			newer := c.At > s.crashes[i].At
			s.crashes[i].At = max(s.crashes[i].At, c.At)
			return newer
		}
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, compareCrashes)
	expired := s.crashes[len(s.crashes)-1].At - CrashMarkTTL.Milliseconds()
	s.crashes = slices.DeleteFunc(s.crashes, func(o crash) bool { return o.At <= expired })
	if len(s.crashes) > crashLimit {
		// Two crashes suffice for a rejection; the latest determine when it ends.
		s.crashes = s.crashes[len(s.crashes)-crashLimit:]
	}
	return slices.Contains(s.crashes, c)
}

func (s *suspect) recordSuccess(at int64, now time.Time) {
	if at <= s.lastSuccess {
		return
	}
	s.lastSuccess, s.updated = at, now
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.At <= s.lastSuccess })
}

// attribute marks the crashes of a rejected hash as caused by that hash.
func (g *CrashGuard) attribute(s *suspect) {
	for _, c := range s.crashes {
		if !g.isAttributed(c) {
			g.attributed = append(g.attributed, c)
		}
	}
}

func (g *CrashGuard) isAttributed(c crash) bool {
	return slices.ContainsFunc(g.attributed, c.sameEvent)
}

// evict drops expired crashes and suspects and, above maxSuspects, the oldest
// suspects.
func (g *CrashGuard) evict(now time.Time) {
	expired := now.Add(-CrashMarkTTL).UnixMilli()
	g.attributed = slices.DeleteFunc(g.attributed, func(c crash) bool { return c.At <= expired })
	for hash, s := range g.suspects {
		if s.latest() <= expired {
			delete(g.suspects, hash)
		}
	}
	if len(g.suspects) <= maxSuspects {
		return
	}
	times := make([]int64, 0, len(g.suspects))
	for _, s := range g.suspects {
		times = append(times, s.latest())
	}
	slices.Sort(times)
	cutoff := times[len(times)-keptSuspects]
	for hash, s := range g.suspects {
		if s.latest() <= cutoff {
			delete(g.suspects, hash)
		}
	}
}
