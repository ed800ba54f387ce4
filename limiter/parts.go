package limiter

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jonboulle/clockwork"
)

const (
	// ProvenAfter is how long an endpoint must go on with an answer to prove that
	// the parts of its prompt do not crash endpoints. A part that does ends the
	// endpoint at the first tokens.
	ProvenAfter = time.Second
	// recentRunTime is how long a run that ended without a proof can still be the
	// cause of a crash. An endpoint may work on after its caller has closed the
	// connection.
	recentRunTime = 2 * time.Second
	// minRestartTime is the shortest and maxRestartTime the longest time after a
	// crash in which an endpoint may have restarted under its id without the hosts
	// having noticed. An answer outside of this time disproves the crash.
	minRestartTime = 2 * time.Second
	maxRestartTime = 10 * time.Second
	// maxPartSuspects bounds the parts with crashes, maxPartCrashes the crashes kept
	// of each, maxProvenParts the parts known to be sound and maxAnswered the
	// endpoints whose last answer or crash is known.
	maxPartSuspects   = 1024
	maxPartCrashes    = 16
	maxProvenParts    = 16384
	maxKnownEndpoints = 4096
)

// HashStrings returns the hash of a list of strings.
func HashStrings(list ...string) Hash {
	h := xxhash.New()
	for _, s := range list {
		// A hash never returns an error.
		_, _ = h.WriteString(s + "\x00")
	}
	return Hash(h.Sum64())
}

// partCrash is the crash of one endpoint. Hosts tell each other how long ago it was,
// so that it does not matter whether their clocks agree. They notice a crash at
// different times, so number counts the crashes of the endpoint that a host knew of.
type partCrash struct {
	endpoint Hash
	number   int
	at       time.Time
}

// sameEvent reports whether two reports are about the same crash.
func (c partCrash) sameEvent(o partCrash) bool {
	return c.endpoint == o.endpoint && c.number == o.number
}

// partSuspect is what is known about one part.
type partSuspect struct {
	crashes  []partCrash // sorted by time
	provenAt time.Time   // earlier crashes do not count; zero if never
	updated  time.Time
	// trials counts the requests that were let through although the part is rejected;
	// lastTrial is when this host did so.
	trials    int
	lastTrial time.Time
}

// isProven reports whether the part has been sound.
func (s *partSuspect) isProven(now time.Time) bool {
	return now.Sub(s.provenAt) < CrashMarkTTL
}

// prove records that the part was sound. It reports whether that clears crashes; the
// other hosts need to know only then.
func (s *partSuspect) prove(at, now time.Time) bool {
	clears := slices.ContainsFunc(s.crashes, func(c partCrash) bool { return c.at.After(s.provenAt) && !c.at.After(at) })
	s.provenAt = at
	if clears {
		s.updated = now
	}
	return clears
}

// latest returns the time of the last crash or proof.
func (s *partSuspect) latest() time.Time {
	at := s.provenAt
	if n := len(s.crashes); n > 0 && s.crashes[n-1].at.After(at) {
		at = s.crashes[n-1].at
	}
	return at
}

// PartGuard detects the parts of prompts that crash every endpoint which begins an
// answer on them, although no two requests with such a part are alike. A crash counts
// against each part of each request that ran on the endpoint. A part is cleared when
// an endpoint goes on with an answer on it. A part with several crashes and no proof
// explains them, and then they no longer count against other parts.
//
// The hosts exchange crashes and proofs (see Marks) and come to the same result.
type PartGuard struct {
	clock  clockwork.Clock
	logger *slog.Logger
	// startsKnown is set if each start of an endpoint's process has a hash of its own.
	startsKnown bool
	// Tries reports whether this host lets requests with a rejected part through to
	// find out whether the part is sound. Nil lets none through. One host of a cluster
	// should do so. It must be set before the first request.
	Tries func() bool

	mu       sync.Mutex
	suspects map[Hash]*partSuspect
	proven   *simplelru.LRU[Hash, time.Time]
	// lastCrash is the last known crash of each endpoint.
	lastCrash *simplelru.LRU[Hash, partCrash]
	runs      map[Hash]map[*PartRun]struct{} // by endpoint
	// answered is when the last attempt that each endpoint answered was sent.
	answered *simplelru.LRU[Hash, time.Time]
	rejected atomic.Pointer[[]partGroup]
	revision atomic.Uint64
	reports  chan struct{}
}

// NewPartGuard returns a guard that knows of no crash. startsKnown states that the hash
// of an endpoint identifies the start of its process and not only its name.
func NewPartGuard(clock clockwork.Clock, logger *slog.Logger, startsKnown bool) *PartGuard {
	g := &PartGuard{
		clock: clock, logger: logger, startsKnown: startsKnown, suspects: make(map[Hash]*partSuspect), runs: make(map[Hash]map[*PartRun]struct{}),
		proven: newLRU[time.Time](maxProvenParts), answered: newLRU[time.Time](maxKnownEndpoints),
		lastCrash: newLRU[partCrash](maxKnownEndpoints), reports: make(chan struct{}, 1),
	}
	g.rejected.Store(&[]partGroup{})
	return g
}

func newLRU[V any](size int) *simplelru.LRU[Hash, V] {
	lru, err := simplelru.NewLRU[Hash, V](size, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1, and the sizes are constants
	}
	return lru
}

// Rejects reports whether a request with these parts must not run, and the index of a
// part that crashes endpoints.
func (g *PartGuard) Rejects(parts []Hash) (int, bool) {
	for _, group := range *g.rejected.Load() {
		if group.in(parts) && !g.mayTry(group, parts) {
			return slices.Index(parts, group.parts[0]), true
		}
	}
	return 0, false
}

// PartRun is one run of a request at an endpoint. A nil run is valid and does nothing.
type PartRun struct {
	guard    *PartGuard
	endpoint Hash
	parts    []Hash
	sent     time.Time
	ended    time.Time // zero while the run is in flight
}

// Start records that a request with these parts is sent to an endpoint.
func (g *PartGuard) Start(endpoint Hash, parts []Hash) *PartRun {
	if len(parts) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	run := &PartRun{guard: g, endpoint: endpoint, parts: parts, sent: g.clock.Now()}
	if g.runs[endpoint] == nil {
		g.runs[endpoint] = make(map[*PartRun]struct{})
	}
	g.runs[endpoint][run] = struct{}{}
	g.countTrials(parts, run.sent)
	return run
}

// Answered records that the endpoint answered the run, so that it was alive after the
// run was sent.
func (r *PartRun) Answered() {
	if r == nil {
		return
	}
	g := r.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if last, ok := g.answered.Get(r.endpoint); !ok || r.sent.After(last) {
		g.answered.Add(r.endpoint, r.sent)
	}
}

// Prove records that the endpoint has gone on with the answer, so that none of the
// parts crashes endpoints.
func (r *PartRun) Prove() {
	if r == nil {
		return
	}
	g := r.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, running := g.runs[r.endpoint][r]; !running {
		return
	}
	g.forget(r)
	now, changed := g.clock.Now(), false
	for _, part := range r.parts {
		g.proven.Add(part, now)
		if s := g.suspects[part]; s != nil {
			changed = s.prove(now, now) || changed
		}
	}
	if changed && g.evaluate(now) {
		g.report()
	}
}

// Discard records that the endpoint did not run the request.
func (r *PartRun) Discard() {
	if r == nil {
		return
	}
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	r.guard.forget(r)
}

// End records that the run has ended. It reports whether the run may still be the cause
// of a crash: it was not proven, and one of its parts never was.
func (r *PartRun) End() bool {
	if r == nil {
		return false
	}
	g := r.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, running := g.runs[r.endpoint][r]; !running || !r.ended.IsZero() {
		return false
	}
	r.ended = g.clock.Now()
	return slices.ContainsFunc(r.parts, func(part Hash) bool { return !g.isProven(part, r.ended) })
}

// forget stops tracking a run. The caller holds the lock.
func (g *PartGuard) forget(r *PartRun) {
	delete(g.runs[r.endpoint], r)
	if len(g.runs[r.endpoint]) == 0 {
		delete(g.runs, r.endpoint)
	}
}

func (g *PartGuard) isProven(part Hash, now time.Time) bool {
	at, ok := g.proven.Peek(part)
	return ok && now.Sub(at) < CrashMarkTTL
}

// Watches reports whether a run at the endpoint could be the cause of a crash.
func (g *PartGuard) Watches(endpoint Hash) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.runs[endpoint]) > 0
}

// RecordCrash records that an endpoint has crashed.
func (g *PartGuard) RecordCrash(endpoint Hash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if !g.attribute(g.crashOf(endpoint, now), now) {
		return
	}
	if len(g.suspects) > maxPartSuspects {
		g.expire(now)
	}
	g.evaluate(now)
	g.report()
}

// report makes the host tell the others at once what it knows.
func (g *PartGuard) report() {
	select {
	case g.reports <- struct{}{}:
	default: // the receiver has not yet taken an earlier report
	}
}

// crashOf returns the crash that this host notices now. It is the last known one unless
// the endpoint has been alive since. The start of an endpoint's process crashes once.
func (g *PartGuard) crashOf(endpoint Hash, now time.Time) partCrash {
	last, known := g.lastCrash.Get(endpoint)
	switch {
	case !known:
		return partCrash{endpoint: endpoint, at: now}
	case g.startsKnown && !g.disproved(last):
		return last
	}
	for run := range g.runs[endpoint] {
		if run.sent.After(last.at) {
			return partCrash{endpoint: endpoint, number: last.number + 1, at: now}
		}
	}
	return last
}

// Revision returns a number that rises each time other parts are rejected than before.
func (g *PartGuard) Revision() uint64 { return g.revision.Load() }

// Reports returns a channel that receives a value after this host has noticed crashes,
// tried a part or cleared one, of which the other hosts should learn at once.
func (g *PartGuard) Reports() <-chan struct{} { return g.reports }

// attribute counts a crash against the parts of the runs at the endpoint. It reports
// whether it changed anything.
func (g *PartGuard) attribute(c partCrash, now time.Time) bool {
	if last, known := g.lastCrash.Get(c.endpoint); !known || last.number < c.number {
		g.lastCrash.Add(c.endpoint, c)
	}
	changed := false
	for run := range g.runs[c.endpoint] {
		if run.sent.After(c.at) || !run.ended.IsZero() && c.at.Sub(run.ended) > recentRunTime {
			continue
		}
		for _, part := range run.parts {
			changed = g.addCrash(part, c, now) || changed
		}
	}
	return changed
}

// addCrash counts a crash against a part. Of several reports of one crash the earliest
// time is kept, which is closest to the crash.
func (g *PartGuard) addCrash(part Hash, c partCrash, now time.Time) bool {
	s := g.suspects[part]
	if s == nil {
		s = &partSuspect{}
		s.provenAt, _ = g.proven.Peek(part)
		g.suspects[part] = s
	}
	if i := slices.IndexFunc(s.crashes, c.sameEvent); i >= 0 {
		if c.at.Before(s.crashes[i].at) {
			s.crashes[i].at = c.at
		}
		return false
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b partCrash) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.endpoint, b.endpoint)) })
	if n := len(s.crashes); n > maxPartCrashes {
		s.crashes = s.crashes[n-maxPartCrashes:]
	}
	s.updated = now
	return true
}

// expire drops runs that can no longer have caused a crash, expired crashes, and above
// maxPartSuspects the oldest suspects.
func (g *PartGuard) expire(now time.Time) {
	for _, runs := range g.runs {
		for run := range runs {
			if !run.ended.IsZero() && now.Sub(run.ended) > recentRunTime {
				g.forget(run)
			}
		}
	}
	for part, s := range g.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, func(c partCrash) bool { return now.Sub(c.at) >= CrashMarkTTL })
		if now.Sub(s.latest()) >= CrashMarkTTL {
			delete(g.suspects, part)
		}
	}
	for len(g.suspects) > maxPartSuspects {
		g.evictOldest()
	}
}

func (g *PartGuard) evictOldest() {
	var oldest Hash
	var at time.Time
	for part, s := range g.suspects {
		if t := s.latest(); at.IsZero() || t.Before(at) {
			oldest, at = part, t
		}
	}
	delete(g.suspects, oldest)
}

// Suspects returns the number of parts with crashes.
func (g *PartGuard) Suspects() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.suspects)
}
