package memkv

import (
	"maps"

	"github.com/corianderlever/corianderlever/kv"
)

// Copy is a copy of a store's keys, as a backup holds it.
type Copy struct {
	revision int64
	entries  map[string]kv.Entry
}

// Copy returns a copy of the keys.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return Copy{revision: s.revision, entries: maps.Clone(s.entries)}
}

// Restore replaces the contents with those of a copy and begins the next era. Changes
// since the copy and all leases are lost, with the keys of these, and the history is
// empty. Open watches are closed.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := kv.RevisionEra(s.revision) + 1
	s.revision = kv.MakeRevision(era, kv.RevisionNumber(c.revision))
	clear(s.entries)
	for key, e := range c.entries {
		if e.Lease != 0 {
			continue
		}
		e.Revision = kv.MakeRevision(era, kv.RevisionNumber(e.Revision))
		s.entries[key] = e
	}
	clear(s.leases)
	s.history, s.historyBytes, s.compacted = nil, 0, s.revision
	for w := range s.watches {
		s.closeWatch(w)
	}
}
