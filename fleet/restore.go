package fleet

import (
	"time"

	"github.com/corianderlever/corianderlever/kv"
)

const (
	// maxRemovals bounds the removed endpoints that are remembered.
	maxRemovals = 1024
	// holdTime is the time for which the entry of a removed endpoint that a restored
	// store lists is not used. An endpoint that is alive writes its entry again in that
	// time; the entry of one that has left is deleted again or expires.
	holdTime = 6 * time.Second
)

// removal is the last known entry of an endpoint that has been removed.
type removal struct {
	id       string
	started  int64
	revision int64
}

// heldEntry is an entry that is not used before a time.
type heldEntry struct {
	endpoint Endpoint
	until    time.Time
}

// removals remembers the endpoints that were removed last, and the entries that are
// held back because of it.
type removals struct {
	byID  map[string]removal
	order []removal // the oldest first
	held  map[string]heldEntry
}

func newRemovals() removals {
	return removals{byID: make(map[string]removal), held: make(map[string]heldEntry)}
}

// add remembers a removed endpoint.
func (r *removals) add(e Endpoint) {
	entry := removal{id: e.ID, started: e.Started, revision: e.Revision}
	r.byID[e.ID] = entry
	r.order = append(r.order, entry)
	if len(r.order) <= maxRemovals {
		return
	}
	oldest := r.order[0]
	r.order = r.order[1:]
	if r.byID[oldest.id] == oldest {
		delete(r.byID, oldest.id)
	}
}

// forget is called when an endpoint has written its entry, or it was deleted.
func (r *removals) forget(id string) {
	delete(r.byID, id)
	delete(r.held, id)
}

// hold reports whether a listed entry must not be used yet, because the endpoint was
// removed before the store was restored from an older copy.
func (r *removals) hold(e Endpoint, now time.Time) bool {
	removed, ok := r.byID[e.ID]
	if !ok || e.Started > removed.started || kv.RevisionEra(removed.revision) >= kv.RevisionEra(e.Revision) {
		return false
	}
	until := now.Add(holdTime)
	if earlier, ok := r.held[e.ID]; ok {
		until = earlier.until
	}
	r.held[e.ID] = heldEntry{endpoint: e, until: until}
	return true
}

// due removes and returns the entries that may be used now.
func (r *removals) due(now time.Time) []Endpoint {
	var out []Endpoint
	for id, h := range r.held {
		if !now.Before(h.until) {
			out = append(out, h.endpoint)
			r.forget(id)
		}
	}
	return out
}

// reconcile returns what to believe of a listed entry. After a restore of the store from
// a copy it may be older than what is known: an endpoint does not return from draining
// or to an earlier start.
func reconcile(known, listed Endpoint) Endpoint {
	switch {
	case kv.RevisionEra(known.Revision) >= kv.RevisionEra(listed.Revision):
		return listed
	case restarted(known, listed) && listed.Started < known.Started:
		known.Revision = listed.Revision
		return known
	}
	listed.Draining = listed.Draining || known.Draining && known.Started == listed.Started
	return listed
}
