package ledger

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// maxBatchRecords keeps a batch well below kv.MaxValueBytes: a record takes about
// 60 bytes compressed and at most about 400 uncompressed.
const maxBatchRecords = 2000

// batch is a value that is written under its own key. Its content never changes,
// so the write can be retried after a lost reply.
type batch struct {
	key   string
	value []byte
	ids   []ID
}

// Flush writes all finished records to the store. If a batch cannot be written,
// its records stay in memory and the returned error is marked as ErrPending.
func (l *Ledger) Flush(ctx context.Context) error {
	l.flushing.Lock()
	defer l.flushing.Unlock()
	if err := l.makeBatches(); err != nil {
		return err
	}
	l.mu.Lock()
	pending := slices.Clone(l.batches)
	l.mu.Unlock()
	for _, b := range pending {
		if err := l.write(ctx, b); err != nil {
			l.mu.Lock()
			l.stats.FlushErrors++
			l.mu.Unlock()
			return errors.Mark(errors.Wrap(err, "ledger: write batch"), ErrPending)
		}
		l.markWritten(ctx, b)
	}
	return nil
}

// makeBatches groups the finished records into batches by filing minute.
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
		for chunk := range slices.Chunk(list, maxBatchRecords) {
			if err := l.makeBatch(minute, chunk); err != nil {
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
	if b.value, err = encode(records); err != nil {
		return err
	}
	for _, e := range list {
		e.batch = b
	}
	l.batches = append(l.batches, b)
	return nil
}

// write stores a batch. Because no other process uses the key, a conflict means
// that an earlier write took effect and its reply was lost.
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
		return errors.Newf("key %s already holds a different batch", b.key)
	case errors.Is(err, kv.ErrConflict):
		return getErr
	}
	return err // outcome unknown and the batch not visible: the next flush retries
}

// markWritten drops the records of a stored batch and releases their copies.
func (l *Ledger) markWritten(ctx context.Context, b *batch) {
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
