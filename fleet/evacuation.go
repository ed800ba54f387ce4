package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderlever/corianderlever/kv"
)

// evacuationKeepTime is the time for which an evacuation that a restored store does not
// list stays in force, so that the operator can order it again.
const evacuationKeepTime = 10 * time.Second

// evacuation is an order that a failure domain gets no requests.
type evacuation struct {
	revision int64
	// keptUntil is set if a restored store does not list the order.
	keptUntil time.Time
}

// SetEvacuated takes over the order, written at a revision, that the endpoints of a failure
// domain get no requests.
func (r *Registry) SetEvacuated(domain string, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.evacuations[domain]; ok && known.revision > revision {
		return
	}
	r.evacuations[domain] = evacuation{revision: revision}
	r.index()
}

// ClearEvacuated takes over that the order of a failure domain was removed at a revision.
func (r *Registry) ClearEvacuated(domain string, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.evacuations[domain]; !ok || known.revision > revision {
		return
	}
	delete(r.evacuations, domain)
	r.index()
}

// ReplaceEvacuated applies the evacuated failure domains of a listing at a revision, with
// the revisions of their orders. Those that are not listed end, but stay in force for
// evacuationKeepTime if the store has been restored from a copy since their order.
func (r *Registry) ReplaceEvacuated(listed map[string]int64, revision int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for domain, known := range r.evacuations {
		switch at, ok := listed[domain]; {
		case ok && at >= known.revision:
		case known.revision > revision: // ordered after the listing
		case kv.RevisionEra(known.revision) >= kv.RevisionEra(revision):
			delete(r.evacuations, domain)
		case known.keptUntil.IsZero():
			known.keptUntil = now.Add(evacuationKeepTime)
			r.evacuations[domain] = known
		}
	}
	for domain, at := range listed {
		if r.evacuations[domain].revision <= at {
			r.evacuations[domain] = evacuation{revision: at}
		}
	}
	r.index()
}

// expireEvacuations ends the evacuations that were kept after a restore and not ordered
// again. It reports whether there were any.
func (r *Registry) expireEvacuations(now time.Time) bool {
	before := len(r.evacuations)
	maps.DeleteFunc(r.evacuations, func(_ string, e evacuation) bool {
		return !e.keptUntil.IsZero() && !now.Before(e.keptUntil)
	})
	return len(r.evacuations) != before
}

// Evacuated returns the evacuated failure domains, ordered by name.
func (r *Registry) Evacuated() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.evacuations))
}

// EvacuationsKept returns those of the evacuated failure domains that a restored store does
// not list, ordered by name.
func (r *Registry) EvacuationsKept() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var kept []string
	for domain, e := range r.evacuations {
		if !e.keptUntil.IsZero() {
			kept = append(kept, domain)
		}
	}
	slices.Sort(kept)
	return kept
}
