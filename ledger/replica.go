package ledger

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// tombstoneTTL is the time for which late copies of a released id are rejected.
const tombstoneTTL = Window

// Replica holds copies of other hosts' records. It is safe for concurrent use.
type Replica struct {
	clock clockwork.Clock

	mu      sync.Mutex
	origins map[string]*origin
}

// origin holds the copies and tombstones of one host.
type origin struct {
	copies   map[ID]heldCopy
	released map[ID]tombstone
}

type heldCopy struct {
	record   Record
	sequence int64
}

// tombstone marks a released id, so that copies sent before the release are
// rejected.
type tombstone struct {
	sequence int64
	at       time.Time
}

// NewReplica returns an empty replica.
func NewReplica(clock clockwork.Clock) *Replica {
	return &Replica{clock: clock, origins: make(map[string]*origin)}
}

func (r *Replica) origin(host string) *origin {
	o := r.origins[host]
	if o == nil {
		o = &origin{copies: make(map[ID]heldCopy), released: make(map[ID]tombstone)}
		r.origins[host] = o
	}
	return o
}

// Hold stores copies. A copy that was sent before the one already held, or before
// the release of its id, is ignored.
func (r *Replica) Hold(c Copies) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.origin(c.Origin)
	for _, rec := range c.Records {
		if c.Sequence > o.copies[rec.ID].sequence && c.Sequence > o.released[rec.ID].sequence {
			o.copies[rec.ID] = heldCopy{record: rec, sequence: c.Sequence}
		}
	}
}

// Release drops copies whose records are stored or discarded. Copies sent after
// the message stay.
func (r *Replica) Release(msg Released) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	o := r.origin(msg.Origin)
	for _, id := range msg.IDs {
		if msg.Sequence > o.released[id].sequence {
			o.released[id] = tombstone{sequence: msg.Sequence, at: now}
		}
		if o.copies[id].sequence < msg.Sequence {
			delete(o.copies, id)
		}
	}
	for id, t := range o.released {
		if now.Sub(t.at) > tombstoneTTL {
			delete(o.released, id)
		}
	}
}

// RemoveOrigin removes and returns the copies of a host that failed or left. The
// caller passes them to Ledger.TakeOver.
func (r *Replica) RemoveOrigin(host string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.origins[host]
	if o == nil {
		return nil
	}
	out := make([]Record, 0, len(o.copies))
	for id, h := range o.copies {
		out = append(out, h.record)
		delete(o.copies, id)
	}
	return out
}

// Len returns the number of copies held.
func (r *Replica) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, o := range r.origins {
		n += len(o.copies)
	}
	return n
}
