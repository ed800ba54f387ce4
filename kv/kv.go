// Package kv defines the interface to the platform's key-value service,
// the only place where state outlives a host.
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
	// ErrConflict reports that a compare-and-swap saw another revision.
	ErrConflict = errors.New("kv: revision conflict")
	// ErrLeaseNotFound reports that a lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("kv: lease not found")
	// ErrCompacted reports that a watch asked for a revision that is no longer kept.
	ErrCompacted = errors.New("kv: revision compacted")
	// ErrTooLarge reports a value over MaxValueBytes.
	ErrTooLarge = errors.New("kv: value too large")
	// ErrUnavailable reports that the call certainly had no effect.
	ErrUnavailable = errors.New("kv: service unavailable")
	// ErrUnknown reports that the call may or may not have taken effect.
	ErrUnknown = errors.New("kv: outcome unknown")
)

// MaxValueBytes is the largest value the service accepts.
const MaxValueBytes = 1 << 20

// LeaseID names a lease. Zero means no lease.
type LeaseID int64

// Entry is one key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store revision of the last write to the key. It only
	// rises over the whole store, so it can serve as a fencing number.
	Revision int64   `json:"revision"`
	Lease    LeaseID `json:"lease,omitempty"`
}

// Event is one change seen by a watch.
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
	// CompareAndSwap writes value if the key's revision equals expect; zero
	// expects an absent key. It returns the new revision, or ErrConflict.
	CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease LeaseID) (int64, error)
	// Delete removes the key if its revision equals expect.
	Delete(ctx context.Context, key string, expect int64) error
	// GrantLease creates a lease that lapses ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch sends the changes under prefix with revisions above from. The
	// channel is closed when ctx ends or the watch is lost.
	Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error)
}

// Write is one write of a transaction.
type Write struct {
	Key string
	// Expect is the revision that the key must have; zero expects an absent key.
	Expect int64
	Value  []byte
}

// Feed is the part of a key-value service by which a host follows what others
// write: a listing and bounded waits for changes, which unlike a Watch show how
// recent an answer is.
type Feed interface {
	// List returns the entries under prefix and a revision that the listing
	// contains at least.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Changes returns the changes under prefix after a revision, and the revision
	// up to which they are complete. It waits for at most wait if there are none.
	// It returns ErrCompacted if the history is no longer kept.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Commit makes all writes or none; it returns ErrConflict if a key has
	// another revision than expected.
	Commit(ctx context.Context, writes []Write) (int64, error)
}
