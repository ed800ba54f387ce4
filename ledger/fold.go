package ledger

import (
	"context"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// FoldAge is the time between the first pass that sees a batch and the one that
// folds it into a summary. A host that takes over the records of another may
// write an interrupted record before a third host writes the final one, so a
// batch is never folded immediately, however old its filing minute is.
const FoldAge = 3 * Window

// summary is the stored aggregate of the folded batches of a filing minute.
type summary struct {
	Rows []Row `json:"rows"`
	// IDs holds the sorted, concatenated binary ids of the records in the rows, so
	// that a record in a late batch is not counted twice.
	IDs []byte `json:"ids"`
	// Folded holds the keys of the batches that are included in the rows but not
	// yet deleted.
	Folded []string `json:"folded,omitempty"`
	// Seen maps the key of each batch that is not folded yet to the time at which
	// a pass first saw it.
	Seen map[string]time.Time `json:"seen,omitempty"`
}

func (s *summary) has(id ID) bool {
	raw, err := hex.DecodeString(string(id))
	if err != nil || len(raw) != idBytes {
		return false
	}
	lo, hi := 0, len(s.IDs)/idBytes
	for lo < hi {
		mid := (lo + hi) / 2
		switch current := s.IDs[mid*idBytes : (mid+1)*idBytes]; slices.Compare(current, raw) {
		case 0:
			return true
		case -1:
			lo = mid + 1
		default:
			hi = mid
		}
	}
	return false
}

// addIDs adds the ids of the records and keeps IDs sorted.
func (s *summary) addIDs(records []Record) error {
	all := make([][]byte, 0, len(s.IDs)/idBytes+len(records))
	all = slices.AppendSeq(all, slices.Chunk(s.IDs, idBytes))
	for _, r := range records {
		raw, err := hex.DecodeString(string(r.ID))
		if err != nil || len(raw) != idBytes {
			return errors.Wrapf(ErrFormat, "record id %q", r.ID)
		}
		all = append(all, raw)
	}
	slices.SortFunc(all, slices.Compare)
	s.IDs = slices.Concat(all...)
	return nil
}

// Fold aggregates the batches of each filing minute into its summary, oldest
// minute first. It is idempotent and may be interrupted at any point. Only one
// host should run it at a time; if two do, the compare-and-swap of the summary
// lets only one of them succeed.
func Fold(ctx context.Context, store kv.KV, now time.Time) error {
	pages, err := load(ctx, store, now.Add(-KeyAge-FoldAge), now.Add(keySkew))
	if err != nil {
		return err
	}
	for i, p := range pages {
		if len(p.batches) == 0 {
			continue
		}
		if err := p.fold(ctx, store, pages, i, now); err != nil {
			return err
		}
	}
	return nil
}

// fold folds the batches of a page that were first seen at least FoldAge ago.
func (p *page) fold(ctx context.Context, store kv.KV, pages []*page, i int, now time.Time) error {
	next := summary{Rows: slices.Clone(p.summary.Rows), IDs: p.summary.IDs, Seen: make(map[string]time.Time)}
	due := make(map[ID]bool)
	changed := false
	for _, b := range p.batches {
		seen, ok := p.summary.Seen[b.entry.Key]
		folded := slices.Contains(p.summary.Folded, b.entry.Key)
		switch {
		case folded:
			next.Folded = append(next.Folded, b.entry.Key)
		case !ok:
			next.Seen[b.entry.Key] = now
			changed = true
		case now.Sub(seen) < FoldAge || b.neededBy(pages[:i], p.minute.Add(-Window)):
			next.Seen[b.entry.Key] = seen
		default:
			next.Folded = append(next.Folded, b.entry.Key)
			changed = true
			for _, r := range b.records {
				due[r.ID] = true
			}
		}
	}
	if changed {
		if err := p.store(ctx, store, next, filterDue(p.billable(pages, i), due)); err != nil {
			return err
		}
	}
	return p.deleteFolded(ctx, store)
}

// neededBy reports whether an earlier page, not older than since, has an unfolded
// record of an id in the batch. A record in the batch may supersede that one, so
// the batch must not be folded before it.
func (b storedBatch) neededBy(earlier []*page, since time.Time) bool {
	for _, p := range slices.Backward(earlier) {
		if p.minute.Before(since) {
			return false
		}
		for _, r := range b.records {
			if _, ok := p.records[r.ID]; ok && !p.summary.has(r.ID) {
				return true
			}
		}
	}
	return false
}

func filterDue(records []Record, due map[ID]bool) []Record {
	return slices.DeleteFunc(records, func(r Record) bool { return !due[r.ID] })
}

// store adds the records to the summary and writes it.
func (p *page) store(ctx context.Context, store kv.KV, next summary, records []Record) error {
	for _, r := range records {
		next.Rows = append(next.Rows, rowOf(r))
	}
	next.Rows = Sum(next.Rows, func(r Row) Row { return r })
	if err := next.addIDs(records); err != nil {
		return err
	}
	value, err := encode(next)
	if err != nil {
		return err
	}
	key := minutePrefix(p.minute) + summaryName
	revision, err := store.CompareAndSwap(ctx, key, p.revision, value, 0)
	if err != nil {
		return errors.Wrapf(err, "ledger: store summary of %s", p.minute.Format(minuteLayout))
	}
	// Later pages of this pass must see the updated summary.
	p.summary, p.revision = next, revision
	return nil
}

// deleteFolded deletes the batches that are part of the summary.
func (p *page) deleteFolded(ctx context.Context, store kv.KV) error {
	for _, b := range p.batches {
		if !slices.Contains(p.summary.Folded, b.entry.Key) {
			continue
		}
		err := store.Delete(ctx, b.entry.Key, b.entry.Revision)
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			return errors.Wrap(err, "ledger: delete folded batch")
		}
	}
	return nil
}
