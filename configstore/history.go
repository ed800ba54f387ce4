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

// HistoryEntry is one revision in the history.
type HistoryEntry struct {
	// Revision is the revision.
	Revision int64
	// ChangeID is the random id of the change.
	ChangeID string
	// Author is the operator who made the change.
	Author string
	// Time is when the change was made, by the clock of the host that applied it.
	Time time.Time
	// Resources holds all resources of the revision.
	Resources []resource.Resource
}

// historyKey returns the key of a revision. The padding makes the lexical order
// of the keys equal to the order of the revisions.
func historyKey(revision int64) string { return fmt.Sprintf("%s%019d", KeyHistory, revision) }

// ensureHistory writes a revision to the history before it is replaced, so that
// a writer whose reply was lost can still find its change.
func (s *Store) ensureHistory(ctx context.Context, old storedConfig) error {
	s.mu.Lock()
	done := old.Revision <= s.historyRevision
	s.mu.Unlock()
	if done || old.Revision == 0 {
		return nil
	}
	if err := s.writeHistory(ctx, old.Revision, old.value); err != nil {
		return errors.Mark(errors.Wrap(err, "write the history"), ErrUnavailable)
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
	s.historyRevision = max(s.historyRevision, revision)
	return nil
}

// pruneExtra is the number of revisions past the history length that each change
// removes. It is above 1 to retry removals that failed before.
const pruneExtra = 3

// recordHistory writes an accepted revision to the history and removes old ones.
// The next change makes up for failures.
func (s *Store) recordHistory(ctx context.Context, revision int64, value []byte) {
	if err := s.writeHistory(ctx, revision, value); err != nil {
		s.log.Warn("history not written", "revision", revision, "err", err)
		return
	}
	for old := revision - s.opts.HistoryLength; old > 0 && old > revision-s.opts.HistoryLength-pruneExtra; old-- {
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

// History returns the revisions in the history, oldest first.
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

// readKey reads the configuration stored under key. An absent key yields revision
// 0.
func (s *Store) readKey(ctx context.Context, key string) (storedConfig, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, callTimeout)
	defer cancel()
	e, err := s.opts.KV.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return storedConfig{}, nil
	}
	if err != nil {
		return storedConfig{}, err
	}
	// Decoding is most of the cost of a change, so a value that is already in
	// force is not decoded again.
	if now := s.active.Load(); len(e.Value) > 0 && bytes.Equal(e.Value, now.value) {
		return storedConfig{envelope: now.envelope, value: e.Value, storeRevision: e.Revision}, nil
	}
	env, err := decode(e.Value)
	if err != nil {
		return storedConfig{}, errors.Wrapf(err, "key %s", key)
	}
	return storedConfig{envelope: env, value: e.Value, storeRevision: e.Revision}, nil
}
