package memkv

import (
	"context"
	"time"

	"github.com/corianderlever/corianderlever/kv"
)

var _ kv.Feed = (*Store)(nil)

// Changes implements kv.Feed.
func (s *Store) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	ctx, cancel := kv.WithTimeout(ctx, s.clock, wait)
	defer cancel()
	for {
		events, at, changed, err := s.changesSince(ctx, prefix, after)
		if err != nil || len(events) > 0 {
			return events, at, err
		}
		select {
		case <-changed: // also at a restore, after which the revision is compacted
		case <-ctx.Done():
			return nil, at, nil
		}
	}
}

// changesSince returns the kept changes after a revision, the current revision, and
// a channel that receives the next change.
func (s *Store) changesSince(ctx context.Context, prefix string, after int64) ([]kv.Event, int64, <-chan kv.Event, error) {
	changed, err := s.Watch(ctx, prefix, s.Revision())
	if err != nil {
		return nil, 0, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.compacted {
		return nil, 0, nil, kv.ErrCompacted
	}
	return s.replay(prefix, after), s.revision, changed, nil
}

// Revision returns the current revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Commit implements kv.Feed.
func (s *Store) Commit(_ context.Context, writes []kv.Write) (int64, error) {
	for _, w := range writes {
		if len(w.Value) > kv.MaxValueBytes {
			return 0, kv.ErrTooLarge
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, w := range writes {
		if s.entries[w.Key].Revision != w.Expect {
			return 0, kv.ErrConflict
		}
	}
	s.revision++
	for _, w := range writes {
		e := kv.Entry{Key: w.Key, Value: w.Value, Revision: s.revision}
		s.entries[w.Key] = cloneEntry(e)
		s.publish(kv.Event{Entry: cloneEntry(e)})
	}
	return s.revision, nil
}

// Put writes a key unconditionally, as an operator or an endpoint would.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.revision++
	e := kv.Entry{Key: key, Value: value, Revision: s.revision}
	s.entries[key] = cloneEntry(e)
	s.publish(kv.Event{Entry: cloneEntry(e)})
	return s.revision
}

// Drop deletes a key if it exists.
func (s *Store) Drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[key]; ok {
		s.remove(key)
	}
}
