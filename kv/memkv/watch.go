package memkv

import (
	"context"
	"slices"
	"strings"

	"github.com/corianderlever/corianderlever/kv"
)

// Watch implements kv.KV. It replays the kept changes above from, in
// order, and then sends new ones. A watcher that lags more than watchBuffer
// events behind loses its watch.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan kv.Event, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if from < s.compacted {
		return nil, kv.ErrCompacted
	}
	replay := s.replay(prefix, from)
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

// Compact forgets the changes up to revision, so that a watch from below it
// returns ErrCompacted.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = max(s.compacted, min(revision, s.revision))
	for len(s.history) > 0 && s.history[0].Entry.Revision <= s.compacted {
		s.forgetOldest()
	}
}

func (s *Store) replay(prefix string, from int64) []kv.Event {
	var out []kv.Event
	for _, ev := range s.history {
		if ev.Entry.Revision > from && strings.HasPrefix(ev.Entry.Key, prefix) {
			out = append(out, clonedEvent(ev))
		}
	}
	return out
}

// record keeps the change for later watches and sends it to the present ones.
func (s *Store) record(ev kv.Event) {
	s.history = append(s.history, ev)
	s.historyBytes += len(ev.Entry.Value)
	for len(s.history) > historyEvents || s.historyBytes > historyBytes {
		s.compacted = s.history[0].Entry.Revision
		s.forgetOldest()
	}
	for w := range s.watches {
		if strings.HasPrefix(ev.Entry.Key, w.prefix) {
			s.send(w, ev)
		}
	}
}

func (s *Store) forgetOldest() {
	s.historyBytes -= len(s.history[0].Entry.Value)
	s.history[0] = kv.Event{}
	s.history = s.history[1:]
}

func (s *Store) send(w *watch, ev kv.Event) {
	select {
	case w.ch <- clonedEvent(ev):
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

// cloned copies the value, so that a caller cannot change what is stored.
func cloned(e kv.Entry) kv.Entry {
	e.Value = slices.Clone(e.Value)
	return e
}

func clonedEvent(ev kv.Event) kv.Event {
	ev.Entry = cloned(ev.Entry)
	return ev
}
