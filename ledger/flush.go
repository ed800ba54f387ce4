package ledger

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// maxBatchRecords keeps a batch well under the largest value; a record takes
// about 60 bytes after compression and at most about 400 before.
const maxBatchRecords = 2000

// batch is a value that is being written under its own key. Its content never
// changes, so it can be written again after a lost reply.
type batch struct {
	key   string
	value []byte
	ids   []ID
}

// Flush writes all records that are ready. It returns ErrPending, with the
// cause, if some could not be written; they stay in memory.
func (l *Ledger) Flush(ctx context.Context) error {
	l.flushing.Lock()
	defer l.flushing.Unlock()
	if err := l.makeBatches(); err != nil {
		return err
	}
	l.mu.Lock()
	todo := slices.Clone(l.batches)
	l.mu.Unlock()
	for _, b := range todo {
		if err := l.write(ctx, b); err != nil {
			l.mu.Lock()
			l.stats.FlushErrors++
			l.mu.Unlock()
			return errors.Mark(errors.Wrap(err, "ledger: write batch"), ErrPending)
		}
		l.written(ctx, b)
	}
	return nil
}

// makeBatches puts records that are ready into batches by filing minute.
func (l *Ledger) makeBatches() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	byMinute := make(map[time.Time][]*entry)
	for _, e := range l.entries {
		if e.done && e.batch == nil {
			byMinute[e.record.FilingMinute] = append(byMinute[e.record.FilingMinute], e)
		}
	}
	for minute, list := range byMinute {
		for part := range slices.Chunk(list, maxBatchRecords) {
			if err := l.makeBatch(minute, part); err != nil {
				return err
			}
		}
	}
	return nil
}

func (l *Ledger) makeBatch(minute time.Time, list []*entry) error {
	b := &batch{key: l.nextKey(minute)}
	records := make([]Record, 0, len(list))
	for _, e := range list {
		records = append(records, e.record)
		b.ids = append(b.ids, e.record.ID)
	}
	var err error
	if b.value, err = pack(records); err != nil {
		return err
	}
	for _, e := range list {
		e.batch = b
	}
	l.batches = append(l.batches, b)
	return nil
}

// write stores a batch. A conflict means that an earlier write, whose reply
// was lost, took effect, because no other process uses the key.
func (l *Ledger) write(ctx context.Context, b *batch) error {
	_, err := l.store.CompareAndSwap(ctx, b.key, 0, b.value, 0)
	if !errors.Is(err, kv.ErrConflict) && !errors.Is(err, kv.ErrUnknown) {
		return err
	}
	stored, getErr := l.store.Get(ctx, b.key)
	switch {
	case getErr == nil && bytes.Equal(stored.Value, b.value):
		return nil
	case getErr == nil:
		return errors.Newf("key %s holds another batch", b.key)
	case errors.Is(err, kv.ErrConflict):
		return getErr
	}
	return err // unknown, and not stored as far as one can see: written again later
}

// written drops the records of a stored batch and releases their copies.
func (l *Ledger) written(ctx context.Context, b *batch) {
	byPeer := make(map[string][]ID)
	l.mu.Lock()
	for _, id := range b.ids {
		if e := l.entries[id]; e != nil && e.batch == b {
			for _, peer := range e.holders() {
				byPeer[peer] = append(byPeer[peer], id)
			}
			delete(l.entries, id)
		}
	}
	l.batches = slices.DeleteFunc(l.batches, func(x *batch) bool { return x == b })
	l.stats.Written += int64(len(b.ids))
	l.mu.Unlock()
	l.release(ctx, byPeer)
}
