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

// AnyRevision as ExpectRevision applies a change to whatever is in force.
const AnyRevision = -1

// Change is one operator's change, applied as a whole or not at all.
type Change struct {
	// ExpectRevision is the revision that the change is based on.
	ExpectRevision int64
	// Set adds or replaces resources.
	Set []resource.Resource
	// Delete removes resources; absent ones are ignored.
	Delete []resource.Key
	// Author is recorded in the history.
	Author string
}

const (
	// applyTimeout bounds an apply, also while its outcome is unknown.
	applyTimeout = 10 * time.Second
	// retryDelay spaces attempts to settle an outcome.
	retryDelay = 200 * time.Millisecond
	// maxStaleReads is how often an answer from the past is asked again.
	maxStaleReads = 3
)

// base is the stored configuration that a change builds on.
type base struct {
	envelope
	value         []byte
	storeRevision int64
}

// Apply applies a change and returns its revision. The change is stored and in
// force at a majority of the hosts when Apply returns without error.
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
		return 0, errors.Wrap(ErrUnavailable, "no majority of the hosts in reach")
	}
	old, err := s.readBase(ctx)
	if err != nil {
		return 0, err
	}
	if c.ExpectRevision != AnyRevision && c.ExpectRevision != old.Revision {
		return 0, s.conflict(ctx, c.ExpectRevision, old)
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
		return 0, errors.Wrapf(resource.ErrInvalid, "the configuration takes %d bytes, more than %d", len(value), kv.MaxValueBytes)
	}
	if err := s.keepHistory(ctx, old); err != nil {
		return 0, err
	}
	if err := s.swap(ctx, old, next, value); err != nil {
		return 0, err
	}
	s.applied(ctx, next, value)
	if err := s.spread(ctx, next.Revision, value); err != nil {
		return 0, errors.Wrapf(err, "change %s to revision %d", next.ChangeID, next.Revision)
	}
	return next.Revision, nil
}

// applied puts a stored change in force here. What fails from here on does
// not make the change look refused.
func (s *Store) applied(ctx context.Context, next envelope, value []byte) {
	// The value is the store's, so it is decoded again: the snapshot must not
	// share memory with the caller's resources.
	own, err := decode(value)
	if err == nil {
		_, err = s.accept(own, value, "apply")
	}
	if err != nil {
		s.log.Error("accepted change not put in force", "revision", next.Revision, "err", err)
	}
	s.recordHistory(ctx, next.Revision, value)
}

// readBase reads the stored configuration. An answer older than what is in
// force here comes from the past and is asked again.
func (s *Store) readBase(ctx context.Context) (base, error) {
	for attempt := 1; ; attempt++ {
		got, err := s.read(ctx)
		if err != nil {
			return base{}, errors.Mark(errors.Wrap(err, "read the configuration"), ErrUnavailable)
		}
		if got.Revision >= s.Current().Revision {
			return got, nil
		}
		if attempt == maxStaleReads || !s.pause(ctx, retryDelay) {
			return base{}, errors.Wrapf(ErrUnavailable, "the store shows revision %d, older than %d in force",
				got.Revision, s.Current().Revision)
		}
	}
}

// swap writes the next value and settles its outcome. Writing again after a
// lost reply is safe: the expected store revision admits one write.
func (s *Store) swap(ctx context.Context, old base, next envelope, value []byte) error {
	unknown := false
	for {
		// The check is repeated right before the write: only a host with a
		// majority may accept a change.
		if !unknown && !s.opts.Group.HasMajority() {
			return errors.Wrap(ErrUnavailable, "no majority of the hosts in reach")
		}
		callCtx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, callTimeout)
		_, err := s.opts.KV.CompareAndSwap(callCtx, KeyCurrent, old.storeRevision, value, 0)
		cancel()
		switch {
		case err == nil:
			return nil
		case errors.Is(err, kv.ErrConflict) && !unknown:
			return s.lost(ctx, next.Revision-1)
		case errors.Is(err, kv.ErrConflict):
			return s.settle(ctx, next)
		case errors.Is(err, kv.ErrUnavailable) && !unknown:
			return errors.Mark(errors.Wrap(err, "write the configuration"), ErrUnavailable)
		case errors.Is(err, kv.ErrUnavailable):
		default:
			unknown = true
		}
		if !s.pause(ctx, retryDelay) {
			return errors.Wrapf(ErrUnknown, "change %s to revision %d", next.ChangeID, next.Revision)
		}
	}
}

// settle finds out after a lost reply whether the change that holds its
// revision is this one. An answer from before that revision is asked again.
func (s *Store) settle(ctx context.Context, next envelope) error {
	for {
		got, err := s.read(ctx)
		if err == nil && got.Revision > next.Revision {
			// The revision was kept in the history before it was replaced.
			got, err = s.readKey(ctx, historyKey(next.Revision))
		}
		switch {
		case err != nil || got.Revision < next.Revision:
		case got.ChangeID == next.ChangeID:
			return nil
		default:
			return s.lost(ctx, next.Revision-1)
		}
		if !s.pause(ctx, retryDelay) {
			return errors.Wrapf(ErrUnknown, "change %s to revision %d", next.ChangeID, next.Revision)
		}
	}
}

// lost returns the conflict with the configuration that won.
func (s *Store) lost(ctx context.Context, expected int64) error {
	for {
		got, err := s.read(ctx)
		if err == nil && got.Revision > expected {
			return s.conflict(ctx, expected, got)
		}
		if !s.pause(ctx, retryDelay) {
			return &ConflictError{Expected: expected, Actual: s.Current().Revision}
		}
	}
}

func (s *Store) conflict(ctx context.Context, expected int64, got base) error {
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

// pause waits and reports whether ctx is still valid.
func (s *Store) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.opts.Clock.After(d):
		return true
	}
}
