// Package fleet keeps the endpoints that have registered themselves, by
// service. It knows what the registry said, not how the endpoints behave.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Endpoint is one registered endpoint.
type Endpoint struct {
	// ID is new with most starts of an endpoint.
	ID string
	// Service names the group it serves.
	Service string
	// Address is its IP:port. It may have belonged to another endpoint before.
	Address       string
	FailureDomain string
	// Version is the version of its software.
	Version string
	// Slots is the number of requests it runs at once.
	Slots int
	// Draining endpoints take no new requests.
	Draining bool
	// ColdFor is how long it stays slow after its start, as of the last entry.
	ColdFor time.Duration
	// Started identifies the start of the process; an endpoint may start again
	// under its ID.
	Started int64
	// Revision is the store revision of the entry.
	Revision int64
}

// Change is a change of what is known of one endpoint.
type Change struct {
	Endpoint Endpoint
	// Previous is the entry before, nil for a new endpoint.
	Previous *Endpoint
	// Removed is set when the endpoint is gone.
	Removed bool
}

// restarted reports whether an entry belongs to a later start under the same ID.
func restarted(old, now Endpoint) bool {
	return old.Started != 0 && now.Started != 0 && old.Started != now.Started
}

// Restarted reports whether the endpoint has lost all that it held.
func (c Change) Restarted() bool {
	return c.Previous != nil && !c.Removed && restarted(*c.Previous, c.Endpoint)
}

// Registry is the set of endpoints. It is safe for concurrent use.
type Registry struct {
	// Grace is the time for which entries that vanished while the registry's
	// store was disturbed are still used.
	grace time.Duration

	mu       sync.RWMutex
	byID     map[string]Endpoint
	lapsing  map[string]time.Time // until when a vanished entry is used
	services map[string][]Endpoint
	onChange []func(Change)
	// generation counts the changes.
	generation atomic.Uint64
}

// NewRegistry returns an empty registry.
func NewRegistry(grace time.Duration) *Registry {
	return &Registry{
		grace: grace, byID: make(map[string]Endpoint), lapsing: make(map[string]time.Time),
		services: make(map[string][]Endpoint),
	}
}

// OnChange registers f, which is called for each change. It must not block and
// must not call the registry. All calls come before the first change.
func (r *Registry) OnChange(f func(Change)) { r.onChange = append(r.onChange, f) }

// Set adds or replaces an endpoint. An older endpoint at the same address is
// gone: addresses are used again.
func (r *Registry) Set(e Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(e)
	r.index()
}

func (r *Registry) set(e Endpoint) {
	old, known := r.byID[e.ID]
	if known && old.Revision > e.Revision {
		return
	}
	for id, o := range r.byID {
		if id != e.ID && o.Address == e.Address && o.Revision < e.Revision {
			r.remove(id)
		}
	}
	r.byID[e.ID] = e
	delete(r.lapsing, e.ID)
	c := Change{Endpoint: e}
	if known {
		c.Previous = &old
	}
	r.notify(c)
}

// Remove drops an endpoint whose entry was deleted at a revision. If the store
// was disturbed, the entry may have lapsed although the endpoint lives; it is
// then used for the grace time and dropped if it does not come back.
func (r *Registry) Remove(id string, revision int64, disturbed bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.byID[id]
	if !known || e.Revision > revision {
		return
	}
	if disturbed && !e.Draining {
		r.lapse(id, now)
		return
	}
	r.remove(id)
	r.index()
}

// Replace takes over a whole listing. Endpoints that it lacks are removed.
func (r *Registry) Replace(all []Endpoint, disturbed bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(all))
	for _, e := range all {
		listed[e.ID] = true
		r.set(e)
	}
	for id, e := range maps.Clone(r.byID) {
		if listed[id] {
			continue
		}
		if disturbed && !e.Draining {
			r.lapse(id, now)
			continue
		}
		r.remove(id)
	}
	r.index()
}

// Expire drops vanished entries whose grace time is over. It is called while
// the store answers.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for id, until := range r.lapsing {
		if !now.Before(until) {
			r.remove(id)
			changed = true
		}
	}
	if changed {
		r.index()
	}
}

func (r *Registry) lapse(id string, now time.Time) {
	if _, already := r.lapsing[id]; !already {
		r.lapsing[id] = now.Add(r.grace)
	}
}

func (r *Registry) remove(id string) {
	e := r.byID[id]
	delete(r.byID, id)
	delete(r.lapsing, id)
	r.notify(Change{Endpoint: e, Previous: &e, Removed: true})
}

func (r *Registry) notify(c Change) {
	for _, f := range r.onChange {
		f(c)
	}
}

// index rebuilds the lists by service, which readers share.
func (r *Registry) index() {
	services := make(map[string][]Endpoint)
	for _, e := range r.byID {
		services[e.Service] = append(services[e.Service], e)
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.services = services
	r.generation.Add(1)
}

// Generation changes with the set of endpoints.
func (r *Registry) Generation() uint64 { return r.generation.Load() }

// Service returns the endpoints of a service ordered by ID. The caller must not
// change the list.
func (r *Registry) Service(name string) []Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[name]
}

// Endpoint returns one endpoint.
func (r *Registry) Endpoint(id string) (Endpoint, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e, ok := r.byID[id]
	return e, ok
}

// Len returns the number of endpoints.
func (r *Registry) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.byID)
}
