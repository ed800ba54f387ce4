package feed

import (
	"cmp"
	"slices"

	"github.com/corianderlever/corianderlever/kv"
)

// maxDeletions bounds the number of deletions kept for other hosts. A host that has
// missed more gets the full state.
const maxDeletions = 1024

// mirror keeps the newest version of each relevant entry, and the latest deletions,
// for other hosts.
type mirror struct {
	entries map[string]kv.Entry
	// deletions are ordered by revision and complete after revision deletionsFrom.
	deletions     []kv.Event
	deletionsFrom int64
}

func newMirror() *mirror { return &mirror{entries: make(map[string]kv.Entry)} }

// reset replaces the contents with those of a listing at a revision.
func (m *mirror) reset(revision int64) {
	clear(m.entries)
	m.deletions, m.deletionsFrom = nil, revision
}

// get returns the entry of a key, or nil.
func (m *mirror) get(key string) *kv.Entry {
	e, ok := m.entries[key]
	if !ok {
		return nil
	}
	return &e
}

func (m *mirror) set(e kv.Entry) { m.entries[e.Key] = e }

func (m *mirror) remove(ev kv.Event) {
	delete(m.entries, ev.Entry.Key)
	m.deletions = append(m.deletions, ev)
	if len(m.deletions) > maxDeletions {
		m.deletionsFrom = m.deletions[0].Entry.Revision
		m.deletions = slices.Clone(m.deletions[1:])
	}
}

// update adds the changes after a revision to u, or all entries if the changes are
// not known. Each key appears once, with its newest version.
func (m *mirror) update(u *Update, after int64) {
	u.Full = after < m.deletionsFrom
	for _, e := range m.entries {
		switch {
		case u.Full:
			u.Entries = append(u.Entries, e)
		case e.Revision > after:
			u.Events = append(u.Events, kv.Event{Entry: e})
		}
	}
	if u.Full {
		return
	}
	for _, ev := range m.deletions {
		if _, restored := m.entries[ev.Entry.Key]; ev.Entry.Revision > after && !restored {
			u.Events = append(u.Events, ev)
		}
	}
	sortEvents(u.Events)
}

func sortEvents(events []kv.Event) {
	slices.SortStableFunc(events, func(a, b kv.Event) int { return cmp.Compare(a.Entry.Revision, b.Entry.Revision) })
}

// newestVersions keeps the last event of each key. Earlier ones would only be
// overwritten, and a burst of configurations would cost a decoding each.
func newestVersions(events []kv.Event) []kv.Event {
	last := make(map[string]int, len(events))
	for i, ev := range events {
		last[ev.Entry.Key] = i
	}
	if len(last) == len(events) {
		return events
	}
	out := make([]kv.Event, 0, len(last))
	for i, ev := range events {
		if last[ev.Entry.Key] == i {
			out = append(out, ev)
		}
	}
	return out
}
