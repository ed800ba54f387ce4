package configstore

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/resource"
)

// HistoryEntry is one earlier or current revision.
type HistoryEntry struct {
	// Revision is the revision.
	Revision int64
	// ChangeID is the random id of the change.
	ChangeID string
	// Author made the change.
	Author string
	// Time is when the change was made, by the clock of the host that made it.
	Time time.Time
	// Resources are all resources of the revision.
	Resources []resource.Resource
}

// historyKey orders revisions as text.
func historyKey(revision int64) string { return fmt.Sprintf("%s%019d", KeyHistory, revision) }

// keepHistory makes sure that a revision is in the history before it is
// replaced, so that a writer whose reply was lost can still find its change.
func (s *Store) keepHistory(ctx context.Context, old base) error {
	s.mu.Lock()
	done := old.Revision <= s.historyDone
	s.mu.Unlock()
	if done || old.Revision == 0 {
		return nil
	}
	if err := s.writeHistory(ctx, old.Revision, old.value); err != nil {
		return errors.Mark(errors.Wrap(err, "keep the history"), ErrUnavailable)
	}
	return nil
}

func (s *Store) writeHistory(ctx context.Context, revision int64, value []byte) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, callTimeout)
	defer cancel()
	_, err := s.opts.KV.CompareAndSwap(ctx, historyKey(revision), 0, value, 0)
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyDone = max(s.historyDone, revision)
	return nil
}

// pruneSpan is how many revisions beyond the kept ones are removed with each
// change, which makes up for removals that failed.
const pruneSpan = 3

// recordHistory writes an accepted revision and removes old ones. Failures
// are repaired by the next change.
func (s *Store) recordHistory(ctx context.Context, revision int64, value []byte) {
	if err := s.writeHistory(ctx, revision, value); err != nil {
		s.log.Warn("history not written", "revision", revision, "err", err)
		return
	}
	for old := revision - s.opts.HistoryLength; old > 0 && old > revision-s.opts.HistoryLength-pruneSpan; old-- {
		if err := s.removeHistory(ctx, old); err != nil {
			s.log.Warn("history not pruned", "revision", old, "err", err)
			return
		}
	}
}

func (s *Store) removeHistory(ctx context.Context, revision int64) error {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, callTimeout)
	defer cancel()
	e, err := s.opts.KV.Get(ctx, historyKey(revision))
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	err = s.opts.KV.Delete(ctx, e.Key, e.Revision)
	if errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return err
}

// History returns the kept revisions, oldest first.
func (s *Store) History(ctx context.Context) ([]HistoryEntry, error) {
	entries, _, err := s.opts.KV.List(ctx, KeyHistory)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read the history"), ErrUnavailable)
	}
	var out []HistoryEntry
	for _, e := range entries {
		env, err := decode(e.Value)
		if err != nil {
			s.log.Warn("history entry not read", "key", e.Key, "err", err)
			continue
		}
		out = append(out, HistoryEntry(env))
	}
	return out, nil
}

// readKey reads one stored configuration; an absent key is revision 0.
func (s *Store) readKey(ctx context.Context, key string) (base, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, callTimeout)
	defer cancel()
	e, err := s.opts.KV.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return base{}, nil
	}
	if err != nil {
		return base{}, err
	}
	// Decoding is most of the work of a change, so a value already in force
	// is not decoded again.
	if now := s.state.Load(); len(e.Value) > 0 && bytes.Equal(e.Value, now.value) {
		return base{envelope: now.envelope, value: e.Value, storeRevision: e.Revision}, nil
	}
	env, err := decode(e.Value)
	if err != nil {
		return base{}, errors.Wrapf(err, "key %s", key)
	}
	return base{envelope: env, value: e.Value, storeRevision: e.Revision}, nil
}
