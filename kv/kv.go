// Package kv defines the interface to the platform's key-value service, which
// holds all state that must survive the loss of a host.
package kv

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that every KV implementation returns, wrapped or not.
var (
	// ErrNotFound reports that the key does not exist.
	ErrNotFound = errors.New("kv: key not found")
	// ErrConflict reports that a key does not have the expected revision.
	ErrConflict = errors.New("kv: revision conflict")
	// ErrLeaseNotFound reports that a lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("kv: lease not found")
	// ErrCompacted reports that changes after the requested revision are no longer
	// kept.
	ErrCompacted = errors.New("kv: revision compacted")
	// ErrTooLarge reports a value larger than MaxValueBytes.
	ErrTooLarge = errors.New("kv: value too large")
	// ErrUnavailable reports that the call certainly had no effect.
	ErrUnavailable = errors.New("kv: service unavailable")
	// ErrUnknown reports that the call may or may not have taken effect.
	ErrUnknown = errors.New("kv: outcome unknown")
)

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Entry is one key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store revision of the last write to the key. Revisions rise
	// across the whole store, so they can be used as fencing tokens.
	Revision int64 `json:"revision"`
	// Lease is the lease whose end deletes the key; zero if there is none.
	Lease LeaseID `json:"lease,omitempty"`
}

// Event is one change of a key.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// KV is the platform's key-value service.
type KV interface {
	// Get returns ErrNotFound for an absent key.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under prefix, ordered by key, and the store revision.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// CompareAndSwap writes value if the key's revision equals expect; zero means
	// that the key must be absent. It returns the new revision, or ErrConflict.
	CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease LeaseID) (int64, error)
	// Delete removes the key if its revision equals expect. Otherwise it returns
	// ErrNotFound or ErrConflict.
	Delete(ctx context.Context, key string, expect int64) error
	// GrantLease creates a lease that expires ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch sends the changes under prefix with revisions greater than after. The
	// channel is closed when ctx ends or the watch is lost.
	Watch(ctx context.Context, prefix string, after int64) (<-chan Event, error)
}

// Write is one write of a transaction.
type Write struct {
	Key string
	// Expect is the revision that the key must have; zero means that the key must
	// be absent.
	Expect int64
	Value  []byte
}

// Feed is the interface through which a host follows the changes made by others:
// listings and long polls for changes. Unlike a Watch, each reply states up to
// which revision it is complete.
type Feed interface {
	// List returns the entries under prefix and a revision. The listing includes at
	// least the changes up to that revision.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Changes returns the changes under prefix with revisions greater than after,
	// and the revision up to which they are complete. If there are none, it waits
	// for one, for at most wait. It returns ErrCompacted if the changes are no
	// longer kept.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Commit makes all writes or none and returns the new revision. It returns
	// ErrConflict if a key does not have the expected revision.
	Commit(ctx context.Context, writes []Write) (int64, error)
}
