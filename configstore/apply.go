package configstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/resource"
)

// AnyRevision as ExpectRevision applies a change to the revision in force,
// whichever it is.
const AnyRevision = -1

// Change is a change made by an operator. It is applied atomically.
type Change struct {
	// ExpectRevision is the revision that the change is based on, or AnyRevision.
	ExpectRevision int64
	// Set adds or replaces resources.
	Set []resource.Resource
	// Delete removes resources. Absent ones are ignored.
	Delete []resource.Key
	// Author is recorded in the history.
	Author string
}

const (
	// applyTimeout bounds an Apply, including the time to resolve an unknown
	// outcome.
	applyTimeout = 10 * time.Second
	// retryDelay is the delay between attempts to resolve an outcome.
	retryDelay = 200 * time.Millisecond
	// maxStaleReads is the number of stale reads after which Apply gives up.
	maxStaleReads = 3
)

// storedConfig is a configuration read from the store, such as the one that a
// change is based on.
type storedConfig struct {
	envelope
	value         []byte
	storeRevision int64
}

// Apply applies a change and returns its revision. When Apply returns without
// error, the change is stored and in force on a majority of the hosts.
func (s *Store) Apply(ctx context.Context, c Change) (int64, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, applyTimeout)
	defer cancel()
	for {
		revision, err := s.tryApply(ctx, c)
		if !errors.Is(err, ErrConflict) || c.ExpectRevision != AnyRevision || ctx.Err() != nil {
			return revision, err
		}
	}
}

func (s *Store) tryApply(ctx context.Context, c Change) (int64, error) {
	if !s.opts.Group.HasMajority() {
		return 0, errors.Wrap(ErrUnavailable, "a majority of the hosts cannot be reached")
	}
	old, err := s.readBase(ctx)
	if err != nil {
		return 0, err
	}
	if c.ExpectRevision != AnyRevision && c.ExpectRevision != old.Revision {
		return 0, s.conflictError(ctx, c.ExpectRevision, old)
	}
	next := envelope{
		Revision:  old.Revision + 1,
		ChangeID:  uuid.NewString(),
		Author:    c.Author,
		Time:      s.opts.Clock.Now().UTC(),
		Resources: merge(old.Resources, c),
	}
	snapshot, err := resource.NewSnapshot(next.Revision, next.Resources)
	if err != nil {
		return 0, err
	}
	next.Resources = snapshot.Resources()
	value, err := encode(next)
	if err != nil {
		return 0, err
	}
	if len(value) > kv.MaxValueBytes {
		return 0, errors.Wrapf(resource.ErrInvalid, "the encoded configuration has %d bytes, more than the limit of %d", len(value), kv.MaxValueBytes)
	}
	if err := s.ensureHistory(ctx, old); err != nil {
		return 0, err
	}
	if err := s.swap(ctx, old, next, value); err != nil {
		return 0, err
	}
	s.activate(ctx, next, value)
	if err := s.replicate(ctx, next.Revision, value); err != nil {
		return 0, errors.Wrapf(err, "change %s to revision %d", next.ChangeID, next.Revision)
	}
	return next.Revision, nil
}

// activate puts a stored change in force on this host and records it in the
// history. Failures are only logged because the change is already accepted.
func (s *Store) activate(ctx context.Context, next envelope, value []byte) {
	// The stored value is decoded again because the snapshot must not share
	// memory with the caller's resources.
	decoded, err := decode(value)
	if err == nil {
		_, err = s.accept(decoded, value, "apply")
	}
	if err != nil {
		s.log.Error("accepted change not put in force", "revision", next.Revision, "err", err)
	}
	s.recordHistory(ctx, next.Revision, value)
}

// readBase reads the stored configuration that a change is based on. A result
// older than the revision in force on this host is a stale read and is retried.
func (s *Store) readBase(ctx context.Context) (storedConfig, error) {
	for attempt := 1; ; attempt++ {
		got, err := s.readCurrent(ctx)
		if err != nil {
			return storedConfig{}, errors.Mark(errors.Wrap(err, "read the configuration"), ErrUnavailable)
		}
		if got.Revision >= s.Current().Revision {
			return got, nil
		}
		if attempt == maxStaleReads || !s.sleep(ctx, retryDelay) {
			return storedConfig{}, errors.Wrapf(ErrUnavailable, "the store returned revision %d, older than revision %d in force",
				got.Revision, s.Current().Revision)
		}
	}
}

// swap writes the next value and resolves the outcome. Retrying the write after
// a lost reply is safe because only one write can match the expected store
// revision.
func (s *Store) swap(ctx context.Context, old storedConfig, next envelope, value []byte) error {
	outcomeUnknown := false
	for {
		// The majority is checked again right before the write, because only a
		// host with a majority may accept a change.
		if !outcomeUnknown && !s.opts.Group.HasMajority() {
			return errors.Wrap(ErrUnavailable, "a majority of the hosts cannot be reached")
		}
		callCtx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, callTimeout)
		_, err := s.opts.KV.CompareAndSwap(callCtx, KeyCurrent, old.storeRevision, value, 0)
		cancel()
		switch {
		case err == nil:
			return nil
		case errors.Is(err, kv.ErrConflict) && !outcomeUnknown:
			return s.awaitConflict(ctx, next.Revision-1)
		case errors.Is(err, kv.ErrConflict):
			return s.resolveOutcome(ctx, next)
		case errors.Is(err, kv.ErrUnavailable) && !outcomeUnknown:
			return errors.Mark(errors.Wrap(err, "write the configuration"), ErrUnavailable)
		case errors.Is(err, kv.ErrUnavailable):
		default:
			outcomeUnknown = true
		}
		if !s.sleep(ctx, retryDelay) {
			return errors.Wrapf(ErrUnknown, "change %s to revision %d", next.ChangeID, next.Revision)
		}
	}
}

// resolveOutcome determines after a lost reply whether the change stored as
// next.Revision is next itself. A read of an older revision is retried.
func (s *Store) resolveOutcome(ctx context.Context, next envelope) error {
	for {
		got, err := s.readCurrent(ctx)
		if err == nil && got.Revision > next.Revision {
			// Each revision is written to the history before it is replaced.
			got, err = s.readKey(ctx, historyKey(next.Revision))
		}
		switch {
		case err != nil || got.Revision < next.Revision:
		case got.ChangeID == next.ChangeID:
			return nil
		default:
			return s.awaitConflict(ctx, next.Revision-1)
		}
		if !s.sleep(ctx, retryDelay) {
			return errors.Wrapf(ErrUnknown, "change %s to revision %d", next.ChangeID, next.Revision)
		}
	}
}

// awaitConflict reads the store until it shows a revision above expected, and
// returns the conflict with that revision.
func (s *Store) awaitConflict(ctx context.Context, expected int64) error {
	for {
		got, err := s.readCurrent(ctx)
		if err == nil && got.Revision > expected {
			return s.conflictError(ctx, expected, got)
		}
		if !s.sleep(ctx, retryDelay) {
			return &ConflictError{Expected: expected, Actual: s.Current().Revision}
		}
	}
}

func (s *Store) conflictError(ctx context.Context, expected int64, got storedConfig) error {
	e := &ConflictError{Expected: expected, Actual: got.Revision}
	if expected == 0 {
		e.Changed, e.Complete = changedKeys(nil, got.Resources), true
		return e
	}
	if before, err := s.readKey(ctx, historyKey(expected)); err == nil {
		e.Changed, e.Complete = changedKeys(before.Resources, got.Resources), true
	}
	return e
}

// sleep waits for d and reports whether it did so before ctx ended.
func (s *Store) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.opts.Clock.After(d):
		return true
	}
}
