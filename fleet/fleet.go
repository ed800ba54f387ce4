// Package fleet keeps the registered endpoints by service. It holds only the data
// of their store entries, no measurements.
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
	// ID identifies the endpoint. It usually changes when the endpoint restarts.
	ID string
	// Service is the name of the service that the endpoint belongs to.
	Service string
	// Address is the IP:port. Another endpoint may have used it before.
	Address       string
	FailureDomain string
	// Version is the version of the endpoint's software.
	Version string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Draining endpoints accept no new requests.
	Draining bool
	// Evacuated is set while the endpoint's failure domain is evacuated. Such an endpoint
	// gets no new requests.
	Evacuated bool
	// ColdFor is how much longer the endpoint stays slow after its start, as of the
	// last entry.
	ColdFor time.Duration
	// ColdUntil is the end of that time by this host's clock, counted from the arrival of
	// the entry; zero if the endpoint is not cold.
	ColdUntil time.Time
	// Started identifies the start of the process, because an endpoint may restart
	// with the same ID. Zero means unknown.
	Started int64
	// Revision is the store revision of the entry.
	Revision int64
}

// Change is a change of the entry of one endpoint.
type Change struct {
	Endpoint Endpoint
	// Previous is the entry before the change, nil for a new endpoint.
	Previous *Endpoint
	// Removed is set when the endpoint is gone.
	Removed bool
}

// restarted reports whether two entries of one ID belong to different starts of the
// process.
func restarted(previous, current Endpoint) bool {
	return previous.Started != 0 && current.Started != 0 && previous.Started != current.Started
}

// Restarted reports whether the endpoint has restarted and so lost its state.
func (c Change) Restarted() bool {
	return c.Previous != nil && !c.Removed && restarted(*c.Previous, c.Endpoint)
}

// Registry is the set of endpoints. It is safe for concurrent use.
type Registry struct {
	// grace is the time for which entries that vanished in an outage of the store
	// are still used.
	grace time.Duration

	mu         sync.RWMutex
	byID       map[string]Endpoint
	graceUntil map[string]time.Time // until when a vanished entry is still used
	removals   removals
	services   map[string][]Endpoint
	// evacuations holds the evacuated failure domains.
	evacuations map[string]evacuation
	onChange    []func(Change)
	// generation counts the rebuilds of services.
	generation atomic.Uint64
}

// NewRegistry returns an empty registry.
func NewRegistry(grace time.Duration) *Registry {
	return &Registry{
		grace: grace, byID: make(map[string]Endpoint), graceUntil: make(map[string]time.Time),
		services: make(map[string][]Endpoint), removals: newRemovals(), evacuations: make(map[string]evacuation),
	}
}

// OnChange registers f, which is called for each change. f must not block and must
// not call the registry. OnChange must not be called after the first change.
func (r *Registry) OnChange(f func(Change)) { r.onChange = append(r.onChange, f) }

// Set adds or replaces an endpoint. It removes an older endpoint with the same
// address, because addresses are reused. An older entry of the same ID is ignored.
func (r *Registry) Set(e Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removals.forget(e.ID)
	r.set(e)
	r.index()
}

func (r *Registry) set(e Endpoint) {
	old, known := r.byID[e.ID]
	switch {
	case known && old.Revision > e.Revision:
		return
	case known && old.Revision == e.Revision: // known, and perhaps reconciled
		delete(r.graceUntil, e.ID)
		return
	}
	for id, o := range r.byID {
		if id != e.ID && o.Address == e.Address && o.Revision < e.Revision {
			r.remove(id)
		}
	}
	r.byID[e.ID] = e
	delete(r.graceUntil, e.ID)
	c := Change{Endpoint: e}
	if known {
		c.Previous = &old
	}
	r.notify(c)
}

// Remove removes an endpoint whose entry was deleted at a revision. After an outage
// of the store, the lease may have expired although the endpoint is alive. Unless it
// is draining, it is then kept for the grace time and removed if it does not
// register again.
func (r *Registry) Remove(id string, revision int64, afterOutage bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.byID[id]
	if !known {
		delete(r.removals.held, id)
		return
	}
	if e.Revision > revision {
		return
	}
	if afterOutage && !e.Draining {
		r.keepForGrace(id, now)
		return
	}
	r.remove(id)
	r.index()
}

// Replace applies a full listing. Endpoints that are not in it are removed. After an
// outage of the store, those that are not draining are first kept for the grace time.
func (r *Registry) Replace(all []Endpoint, afterOutage bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(all))
	for _, e := range all {
		listed[e.ID] = true
		known, ok := r.byID[e.ID]
		if ok {
			e = reconcile(known, e)
		} else if r.removals.hold(e, now) {
			continue
		}
		r.set(e)
	}
	for id, e := range maps.Clone(r.byID) {
		if listed[id] {
			continue
		}
		if afterOutage && !e.Draining {
			r.keepForGrace(id, now)
			continue
		}
		r.remove(id)
	}
	r.index()
}

// Expire removes vanished endpoints whose grace time is over. Call it only after an
// answer of the store or an update from a peer.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.expireEvacuations(now)
	for _, e := range r.removals.due(now) {
		r.set(e)
		changed = true
	}
	for id, until := range r.graceUntil {
		if !now.Before(until) {
			r.remove(id)
			changed = true
		}
	}
	if changed {
		r.index()
	}
}

// keepForGrace starts the grace time of a vanished endpoint.
func (r *Registry) keepForGrace(id string, now time.Time) {
	if _, already := r.graceUntil[id]; !already {
		r.graceUntil[id] = now.Add(r.grace)
	}
}

func (r *Registry) remove(id string) {
	e := r.byID[id]
	delete(r.byID, id)
	delete(r.graceUntil, id)
	r.removals.add(e)
	r.notify(Change{Endpoint: e, Previous: &e, Removed: true})
}

func (r *Registry) notify(c Change) {
	for _, f := range r.onChange {
		f(c)
	}
}

// index rebuilds the lists by service and marks the evacuated endpoints. Readers share the
// lists, so they are never changed in place.
func (r *Registry) index() {
	services := make(map[string][]Endpoint)
	for id, e := range r.byID {
		if _, evacuated := r.evacuations[e.FailureDomain]; e.Evacuated != evacuated {
			e.Evacuated = evacuated
			r.byID[id] = e
		}
		services[e.Service] = append(services[e.Service], e)
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.services = services
	r.generation.Add(1)
}

// Generation returns a number that changes with the set of endpoints.
func (r *Registry) Generation() uint64 { return r.generation.Load() }

// Service returns the endpoints of a service, ordered by ID. The caller must not
// change the list.
func (r *Registry) Service(name string) []Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[name]
}

// Endpoint returns the endpoint with the given ID.
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
