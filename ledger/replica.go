package ledger

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// tombstoneTime is the time for which a released id refuses late copies.
const tombstoneTime = Window

// Replica holds copies of other hosts' records. It is safe for concurrent use.
type Replica struct {
	clock clockwork.Clock

	mu      sync.Mutex
	origins map[string]*origin
}

// origin is what one host has given us.
type origin struct {
	held     map[ID]held
	released map[ID]tombstone
}

type held struct {
	record   Record
	sequence int64
}

// tombstone refuses copies that were sent before the release.
type tombstone struct {
	sequence int64
	at       time.Time
}

// NewReplica returns a replica without copies.
func NewReplica(clock clockwork.Clock) *Replica {
	return &Replica{clock: clock, origins: make(map[string]*origin)}
}

func (r *Replica) origin(host string) *origin {
	o := r.origins[host]
	if o == nil {
		o = &origin{held: make(map[ID]held), released: make(map[ID]tombstone)}
		r.origins[host] = o
	}
	return o
}

// Hold takes copies. A copy that was sent before the one held, or before its
// release, changes nothing.
func (r *Replica) Hold(c Copies) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.origin(c.Origin)
	for _, rec := range c.Records {
		if c.Sequence > o.held[rec.ID].sequence && c.Sequence > o.released[rec.ID].sequence {
			o.held[rec.ID] = held{record: rec, sequence: c.Sequence}
		}
	}
}

// Release drops copies of records that are stored or void.
func (r *Replica) Release(msg Released) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	o := r.origin(msg.Origin)
	for _, id := range msg.IDs {
		if msg.Sequence > o.released[id].sequence {
			o.released[id] = tombstone{sequence: msg.Sequence, at: now}
		}
		if o.held[id].sequence < msg.Sequence {
			delete(o.held, id)
		}
	}
	for id, t := range o.released {
		if now.Sub(t.at) > tombstoneTime {
			delete(o.released, id)
		}
	}
}

// RemoveOrigin returns the copies of a host that failed or left and forgets
// them. The caller hands them to Ledger.TakeOver.
func (r *Replica) RemoveOrigin(host string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.origins[host]
	if o == nil {
		return nil
	}
	out := make([]Record, 0, len(o.held))
	for id, h := range o.held {
		out = append(out, h.record)
		delete(o.held, id)
	}
	return out
}

// Len returns the number of copies held.
func (r *Replica) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, o := range r.origins {
		n += len(o.held)
	}
	return n
}
