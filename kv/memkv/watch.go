package memkv

import (
	"context"
	"slices"
	"strings"

	"github.com/corianderlever/corianderlever/kv"
)

// Watch implements kv.KV. It replays the kept changes with revisions greater than
// after in order, and then sends new ones. The watch is closed if its reader lags
// more than watchBuffer events behind.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (<-chan kv.Event, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.compacted {
		return nil, kv.ErrCompacted
	}
	replay := s.replay(prefix, after)
	w := &watch{prefix: prefix, ch: make(chan kv.Event, len(replay)+watchBuffer)}
	for _, ev := range replay {
		w.ch <- ev
	}
	s.watches[w] = struct{}{}
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closeWatch(w)
	})
	return w.ch, nil
}

// Compact drops the changes up to revision, so that a watch from a lower revision
// returns ErrCompacted.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = max(s.compacted, min(revision, s.revision))
	for len(s.history) > 0 && s.history[0].Entry.Revision <= s.compacted {
		s.dropOldest()
	}
}

func (s *Store) replay(prefix string, after int64) []kv.Event {
	var out []kv.Event
	for _, ev := range s.history {
		if ev.Entry.Revision > after && strings.HasPrefix(ev.Entry.Key, prefix) {
			out = append(out, cloneEvent(ev))
		}
	}
	return out
}

// publish adds the change to the history and sends it to the open watches.
func (s *Store) publish(ev kv.Event) {
	s.history = append(s.history, ev)
	s.historyBytes += len(ev.Entry.Value)
	for len(s.history) > historyEvents || s.historyBytes > historyBytes {
		s.compacted = s.history[0].Entry.Revision
		s.dropOldest()
	}
	for w := range s.watches {
		if strings.HasPrefix(ev.Entry.Key, w.prefix) {
			s.send(w, ev)
		}
	}
}

func (s *Store) dropOldest() {
	s.historyBytes -= len(s.history[0].Entry.Value)
	s.history[0] = kv.Event{}
	s.history = s.history[1:]
}

func (s *Store) send(w *watch, ev kv.Event) {
	select {
	case w.ch <- cloneEvent(ev):
	default:
		s.closeWatch(w)
	}
}

func (s *Store) closeWatch(w *watch) {
	if _, ok := s.watches[w]; ok {
		delete(s.watches, w)
		close(w.ch)
	}
}

// cloneEntry copies the value, so that callers cannot modify the stored one.
func cloneEntry(e kv.Entry) kv.Entry {
	e.Value = slices.Clone(e.Value)
	return e
}

func cloneEvent(ev kv.Event) kv.Event {
	ev.Entry = cloneEntry(ev.Entry)
	return ev
}
