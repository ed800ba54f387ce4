package feed

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

const (
	// maxDeletions bounds the number of deletions kept for other hosts. A host that
	// has missed more gets the full state.
	maxDeletions = 1024
	// minCompressBytes is the size from which a value is compressed for other hosts.
	minCompressBytes = 2 << 10
	// maxValueBytes bounds a value after decompression.
	maxValueBytes = 4 << 20
)

// errTooLarge reports a compressed value that exceeds maxValueBytes.
var errTooLarge = errors.New("feed: value too large")

// mirror keeps the newest version of each relevant entry, and the latest deletions,
// for other hosts.
type mirror struct {
	entries map[string]*sharedEntry
	// deletions are ordered by revision and complete after revision deletionsFrom.
	deletions     []kv.Event
	deletionsFrom int64
}

// sharedEntry is an entry that other hosts may ask for.
type sharedEntry struct {
	kv.Entry
	// compressed is the compressed value once it has been asked for.
	compressed []byte
}

func newMirror() *mirror { return &mirror{entries: make(map[string]*sharedEntry)} }

// reset replaces the contents with those of a listing at a revision.
func (m *mirror) reset(revision int64) {
	clear(m.entries)
	m.deletions, m.deletionsFrom = nil, revision
}

// get returns the entry of a key, or nil.
func (m *mirror) get(key string) *kv.Entry {
	e := m.entries[key]
	if e == nil {
		return nil
	}
	return &e.Entry
}

func (m *mirror) set(e kv.Entry) { m.entries[e.Key] = &sharedEntry{Entry: e} }

func (m *mirror) remove(ev kv.Event) {
	delete(m.entries, ev.Entry.Key)
	m.deletions = append(m.deletions, ev)
	if len(m.deletions) > maxDeletions {
		m.deletionsFrom = m.deletions[0].Entry.Revision
		m.deletions = slices.Clone(m.deletions[1:])
	}
}

// update adds the changes after a revision to u, or all entries if the changes are
// not known. Each key appears once, with its newest version. Values are compressed
// if the caller can decompress them.
func (m *mirror) update(u *Update, after int64, compress bool) error {
	u.Full = after < m.deletionsFrom
	for _, e := range m.entries {
		if !u.Full && e.Revision <= after {
			continue
		}
		out := e.Entry
		if compress && len(e.Value) >= minCompressBytes {
			if err := e.compress(); err != nil {
				return err
			}
			out.Value = e.compressed
			u.Compressed = append(u.Compressed, e.Key)
		}
		if u.Full {
			u.Entries = append(u.Entries, out)
			continue
		}
		u.Events = append(u.Events, kv.Event{Entry: out})
	}
	if u.Full {
		return nil
	}
	for _, ev := range m.deletions {
		if _, restored := m.entries[ev.Entry.Key]; ev.Entry.Revision > after && !restored {
			u.Events = append(u.Events, ev)
		}
	}
	sortEvents(u.Events)
	return nil
}

func sortEvents(events []kv.Event) {
	slices.SortStableFunc(events, func(a, b kv.Event) int { return cmp.Compare(a.Entry.Revision, b.Entry.Revision) })
}

// compress fills the compressed value. One compression serves all hosts that ask.
func (e *sharedEntry) compress() error {
	if e.compressed != nil {
		return nil
	}
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return errors.Wrap(err, "feed: compress")
	}
	if _, err := w.Write(e.Value); err != nil {
		return errors.Wrap(err, "feed: compress")
	}
	if err := w.Close(); err != nil {
		return errors.Wrap(err, "feed: compress")
	}
	e.compressed = buf.Bytes()
	return nil
}

// decompress restores the values that the answering host has compressed.
func (u *Update) decompress() error {
	for _, key := range u.Compressed {
		e := u.entry(key)
		if e == nil {
			continue
		}
		value, err := gunzip(e.Value)
		if err != nil {
			return errors.Wrapf(err, "feed: decompress %s", key)
		}
		e.Value = value
	}
	u.Compressed = nil
	return nil
}

// entry returns the entry of a key in the update, or nil.
func (u *Update) entry(key string) *kv.Entry {
	for i := range u.Entries {
		if u.Entries[i].Key == key {
			return &u.Entries[i]
		}
	}
	for i := range u.Events {
		if u.Events[i].Entry.Key == key {
			return &u.Events[i].Entry
		}
	}
	return nil
}

func gunzip(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, maxValueBytes+1))
	if err == nil && len(out) > maxValueBytes {
		err = errTooLarge
	}
	return out, err
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
