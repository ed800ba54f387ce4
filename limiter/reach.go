package limiter

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxLostEvidence is the number of endpoints that must refuse this host's connections,
	// one after the other and without one that accepts them, before the service counts as
	// lost. Few endpoints fail together; a host that has lost its links fails with all.
	maxLostEvidence = 3
	// minLostEvidence applies to services with few endpoints.
	minLostEvidence = 2
	// reachMemory is the time for which a failed connection attempt counts.
	reachMemory = 10 * time.Second
	// restoreEvidence is the number of endpoints that must accept connections again
	// before a lost service counts as reachable.
	restoreEvidence = 2
	// minAvoidTime is the time for which an endpoint is left out after a failed connection
	// attempt. It doubles with each further one up to maxAvoidTime.
	minAvoidTime = 500 * time.Millisecond
	maxAvoidTime = 4 * time.Second
)

// Reach decides from connection attempts whether this host reaches the endpoints of one
// service. A single endpoint that refuses connections has probably failed itself. If all
// that are tried do, the fault is more likely in the links of this host.
type Reach struct {
	clock clockwork.Clock

	mu    sync.Mutex
	paths map[string]*path
	// opened is when an endpoint last accepted a connection.
	opened time.Time
	lost   bool
	// restored holds the endpoints that have accepted a connection since the service was lost,
	// without one that refused in between.
	restored map[string]struct{}
}

// path is the state of the way to one endpoint.
type path struct {
	failed     time.Time // last failed attempt since one succeeded; zero for none
	failures   int       // in a row
	avoidUntil time.Time
}

// NewReach returns a Reach without endpoints.
func NewReach(clock clockwork.Clock) *Reach {
	return &Reach{clock: clock, paths: make(map[string]*path)}
}

// SetEndpoints replaces the list of endpoints. Endpoints that remain keep their state.
func (r *Reach) SetEndpoints(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]*path, len(ids))
	for _, id := range ids {
		p := r.paths[id]
		if p == nil {
			p = &path{}
		}
		next[id] = p
	}
	r.paths = next
	if len(ids) == 0 {
		r.restore()
	}
}

// Opened records that an endpoint has accepted a connection. It reports whether the
// service counts as reachable again.
func (r *Reach) Opened(id string) (restored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened = r.clock.Now()
	if p := r.paths[id]; p != nil {
		*p = path{}
	}
	if !r.lost {
		return false
	}
	if r.restored == nil {
		r.restored = make(map[string]struct{})
	}
	r.restored[id] = struct{}{}
	if len(r.restored) < min(restoreEvidence, len(r.paths)) {
		return false
	}
	r.restore()
	return true
}

// restore ends the loss of the service. The failures from before say nothing about the
// endpoints. The caller holds the lock.
func (r *Reach) restore() {
	r.lost, r.restored = false, nil
	for _, p := range r.paths {
		*p = path{}
	}
}

// Failed records that a connection to an endpoint could not be opened. It reports whether
// the service counts as lost from now on.
func (r *Reach) Failed(id string) (lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.paths[id]
	if p == nil {
		return false
	}
	now := r.clock.Now()
	p.failed = now
	p.avoidUntil = now.Add(min(maxAvoidTime, minAvoidTime<<min(p.failures, 10)))
	p.failures++
	if r.lost {
		r.restored = nil
		return false
	}
	r.lost = r.evidence(now) >= r.lostEvidence()
	return r.lost
}

// evidence returns the number of endpoints that have refused connections since one last
// accepted any.
func (r *Reach) evidence(now time.Time) int {
	n := 0
	for _, p := range r.paths {
		if p.failed.After(r.opened) && now.Sub(p.failed) < reachMemory {
			n++
		}
	}
	return n
}

// lostEvidence returns the evidence from which the service counts as lost.
func (r *Reach) lostEvidence() int {
	n := len(r.paths)
	return min(n, max(minLostEvidence, min(maxLostEvidence, (n+1)/2)))
}

// Lost reports whether new connections to the endpoints of the service cannot be opened
// from this host.
func (r *Reach) Lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

// Avoided returns how long each endpoint should be left out that has refused a connection.
func (r *Reach) Avoided() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out map[string]time.Duration
	now := r.clock.Now()
	for id, p := range r.paths {
		if wait := p.avoidUntil.Sub(now); !p.failed.IsZero() && wait > 0 {
			if out == nil {
				out = make(map[string]time.Duration)
			}
			out[id] = wait
		}
	}
	return out
}

// Witnesses returns endpoints to connect to in order to tell a failed endpoint from lost
// links: those without a known failure first, in an order that depends on seed.
func (r *Reach) Witnesses(except string, most int, seed uint64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sound, failed []string
	for id, p := range r.paths {
		switch {
		case id == except:
		case p.failed.IsZero():
			sound = append(sound, id)
		default:
			failed = append(failed, id)
		}
	}
	order := func(a, b string) int {
		return cmpHash(HashStrings(a), HashStrings(b), seed)
	}
	slices.SortFunc(sound, order)
	slices.SortFunc(failed, order)
	all := append(sound, failed...)
	return all[:min(most, len(all))]
}

// cmpHash compares two hashes in an order that depends on seed.
func cmpHash(a, b Hash, seed uint64) int {
	x, y := uint64(a)^seed, uint64(b)^seed
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
