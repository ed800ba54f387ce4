package crashreports

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/background"
	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/limiter"
)

const (
	// recordInterval is the time between two checks whether the stored record of
	// rejected prompt parts is current.
	recordInterval = 500 * time.Millisecond
	// recordTimeout bounds the write of the record.
	recordTimeout = time.Second
)

// Recorder keeps the prompt parts that crash endpoints in the store, so that they
// are known after the loss of all hosts.
type Recorder struct {
	Guard *limiter.PartGuard
	// Read reads the stored record. It is nil for a host that follows the store and
	// calls Apply at each change.
	Read func(ctx context.Context) (kv.Entry, error)
	// Write replaces the stored record of a revision, 0 for none, and returns the new
	// revision.
	Write func(ctx context.Context, expect int64, record []byte) (int64, error)
	// Writes reports whether this host is the one that writes the record.
	Writes func() bool
	Clock  clockwork.Clock
	Logger *slog.Logger

	mu       sync.Mutex
	revision int64          // of the stored record; 0 for none
	stored   []limiter.Hash // the parts that it rejects
	// loaded is set while this host need not read the record, wrote if it was the one
	// that writes it at the last check.
	loaded, wrote bool
}

// Apply takes over the stored record.
func (r *Recorder) Apply(e kv.Entry) {
	stored, err := r.Guard.Restore(e.Value)
	if err != nil {
		r.Logger.Warn("entry rejected", "key", e.Key, "revision", e.Revision, "error", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Revision > r.revision {
		r.revision, r.stored = e.Revision, stored
	}
}

// Missing takes over that a listing of the store at a revision holds no record.
func (r *Recorder) Missing(revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revision <= revision {
		r.revision, r.stored = 0, nil
	}
}

// Run takes over the stored record and writes it when the rejected parts have changed,
// until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	r.Update(ctx)
	return background.Every(ctx, r.Clock, recordInterval, func() { r.Update(ctx) })
}

// load takes over the stored record if this host does not know it. It reports whether
// the host knows it now.
func (r *Recorder) load(ctx context.Context) bool {
	if r.Read == nil || r.loaded {
		return true
	}
	ctx, cancel := kv.WithTimeout(ctx, r.Clock, recordTimeout)
	defer cancel()
	entry, err := r.Read(ctx)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		r.Logger.Warn("part record not read", "error", err)
		return false
	}
	if err == nil {
		r.Apply(entry)
	}
	r.loaded = true
	return true
}

// Update writes the record if it is not current. A read or write that fails is made again
// at the next check.
func (r *Recorder) Update(ctx context.Context) {
	writes := r.Writes()
	if writes && !r.wrote {
		r.loaded = false // another host may have changed the record
	}
	r.wrote = writes
	if r.load(ctx) && writes {
		r.write(ctx)
	}
}

func (r *Recorder) write(ctx context.Context) {
	rejected := r.Guard.Rejected()
	r.mu.Lock()
	revision, current := r.revision, slices.Equal(rejected, r.stored)
	r.mu.Unlock()
	if current {
		return
	}
	data, err := r.Guard.Record()
	if err != nil {
		r.Logger.Error("part record not written", "error", err)
		return
	}
	ctx, cancel := kv.WithTimeout(ctx, r.Clock, recordTimeout)
	defer cancel()
	written, err := r.Write(ctx, revision, data)
	if err != nil {
		r.loaded = false // the record may have changed
		r.Logger.Warn("part record not written", "error", errors.Wrap(err, "crashreports: write"))
		return
	}
	r.Logger.Info("part record written", "parts", len(rejected), "revision", written)
	r.mu.Lock()
	defer r.mu.Unlock()
	if written > r.revision {
		r.revision, r.stored = written, rejected
	}
}

// Stored returns the parts that the stored record rejects.
func (r *Recorder) Stored() []limiter.Hash {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.stored)
}
