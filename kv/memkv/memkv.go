// Package memkv provides an in-memory implementation of the platform's key-value
// service, and a wrapper that injects faults for tests.
package memkv

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv"
)

// Store is an in-memory kv.KV and kv.Feed. It is safe for concurrent use.
type Store struct {
	clock clockwork.Clock

	mu        sync.Mutex
	revision  int64
	nextLease kv.LeaseID
	entries   map[string]kv.Entry
	leases    map[kv.LeaseID]*lease
	watches   map[*watch]struct{}

	history      []kv.Event
	historyBytes int
	compacted    int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type watch struct {
	prefix string
	ch     chan kv.Event
}

var _ kv.KV = (*Store)(nil)

// watchBuffer is the number of events by which a slow watcher may lag behind before
// its watch is closed.
const watchBuffer = 256

// Bounds of the history that new watches can replay, in events and in bytes. A watch
// from an older revision gets ErrCompacted.
const (
	historyEvents = 4096
	historyBytes  = 16 << 20
)

// New returns an empty store.
func New(clock clockwork.Clock) *Store {
	return &Store{
		clock:   clock,
		entries: make(map[string]kv.Entry),
		leases:  make(map[kv.LeaseID]*lease),
		watches: make(map[*watch]struct{}),
	}
}

// Get implements kv.KV.
func (s *Store) Get(_ context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if !ok {
		return kv.Entry{}, kv.ErrNotFound
	}
	return cloneEntry(e), nil
}

// List implements kv.KV.
func (s *Store) List(_ context.Context, prefix string) ([]kv.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var out []kv.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, cloneEntry(e))
		}
	}
	slices.SortFunc(out, func(a, b kv.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision, nil
}

// CompareAndSwap implements kv.KV.
func (s *Store) CompareAndSwap(_ context.Context, key string, expect int64, value []byte, id kv.LeaseID) (int64, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, kv.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.entries[key].Revision != expect {
		return 0, kv.ErrConflict
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, kv.ErrLeaseNotFound
	}
	s.revision++
	e := kv.Entry{Key: key, Value: slices.Clone(value), Revision: s.revision, Lease: id}
	s.entries[key] = e
	s.publish(kv.Event{Entry: e})
	return s.revision, nil
}

// Delete implements kv.KV.
func (s *Store) Delete(_ context.Context, key string, expect int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if !ok {
		return kv.ErrNotFound
	}
	if e.Revision != expect {
		return kv.ErrConflict
	}
	s.remove(key)
	return nil
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.entries, key)
	s.publish(kv.Event{Entry: kv.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

// GrantLease implements kv.KV.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	return s.nextLease, nil
}

// KeepAlive implements kv.KV.
func (s *Store) KeepAlive(_ context.Context, id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return kv.ErrLeaseNotFound
	}
	l.expires = s.clock.Now().Add(l.ttl)
	return nil
}

// RevokeLease implements kv.KV.
func (s *Store) RevokeLease(_ context.Context, id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[id]; !ok {
		return kv.ErrLeaseNotFound
	}
	s.endLease(id)
	return nil
}

// expire ends the leases whose TTL has passed.
func (s *Store) expire() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id kv.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.Lease == id {
			s.remove(key)
		}
	}
}
