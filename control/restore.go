package control

import (
	"slices"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/rollout"
)

const (
	// maxPastOrders bounds the orders of a service that are remembered after their end.
	maxPastOrders = 8
	// maxRevisionsPerEra is how often an order may be met in an era after the one in which
	// it was given: in the copy from which the store was restored, and when the operator
	// writes it again. Another one is a new order with the same contents.
	maxRevisionsPerEra = 2
)

// orderHistory recognizes the orders of a service after the store was restored.
type orderHistory struct {
	past []rollout.Order // replaced or withdrawn
	// givenEra is the era of the store in which the current order was given, metEra the
	// last one in which it was met and met how often there.
	givenEra, metEra int64
	met              int
}

// start records that an order was given.
func (h *orderHistory) start(o rollout.Order) {
	h.givenEra = kv.RevisionEra(o.Revision)
	h.metEra, h.met = h.givenEra, 1
}

// retire records that an order was replaced or withdrawn.
func (h *orderHistory) retire(o rollout.Order) {
	h.past = append(h.past, o)
	h.past = h.past[max(0, len(h.past)-maxPastOrders):]
}

// isPast reports whether a restored store has listed an order that was replaced or
// withdrawn since the copy was made.
func (h *orderHistory) isPast(o rollout.Order) bool {
	return slices.ContainsFunc(h.past, func(p rollout.Order) bool {
		return kv.RevisionEra(p.Revision) < kv.RevisionEra(o.Revision) &&
			kv.RevisionNumber(p.Revision) == kv.RevisionNumber(o.Revision) && sameContents(p, o)
	})
}

// isCurrent reports whether an order is the current one, which the restored store has
// kept or the operator has written again.
func (h *orderHistory) isCurrent(o, current rollout.Order) bool {
	era := kv.RevisionEra(o.Revision)
	if !sameContents(o, current) || era <= h.givenEra {
		return false
	}
	if era > h.metEra {
		h.metEra, h.met = era, 0
	}
	h.met++
	return h.met <= maxRevisionsPerEra
}

func sameContents(a, b rollout.Order) bool {
	return a.Target == b.Target && a.TimeLimit == b.TimeLimit
}

// adoptRevision gives the current order the revision under which the store has it now.
// Its step and its counts stay.
func (s *service) adoptRevision(revision int64) {
	if s.step.Order == s.order.Revision {
		s.step.Order = revision
	}
	s.order.Revision = revision
}

// forgetUnlisted takes over that a listing at a revision holds no step or status of some
// services, so that the coordinator writes them again.
func (r *Rollouts) forgetUnlisted(revision int64, steps, statuses map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.services {
		if !steps[name] && s.stepRevision <= revision {
			s.stepRevision, s.storedStep = 0, Step{}
		}
		if !statuses[name] && s.status.Revision <= revision {
			s.status = rollout.OrderStatus{}
		}
	}
}
