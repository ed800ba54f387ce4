package ledger

import (
	"context"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// FoldAge is the time between the first sight of a batch and its folding. A
// host that takes over the records of another may write an interrupted record
// before a third host writes the final one, so a batch is not folded at once,
// however old its filing minute is.
const FoldAge = 3 * Window

// summary is the folded form of a filing minute.
type summary struct {
	Rows []Row `json:"rows"`
	// IDs are the ids of the records in the rows, sorted and joined, so that a
	// batch that arrives late is not counted again.
	IDs []byte `json:"ids"`
	// Folded names the batches that are in the rows and not yet deleted.
	Folded []string `json:"folded,omitempty"`
	// Seen holds when a fold first saw each batch that is not folded yet.
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
		switch at := s.IDs[mid*idBytes : (mid+1)*idBytes]; slices.Compare(at, raw) {
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

// addIDs inserts ids and keeps the order.
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

// Fold turns the batches of old filing minutes into summaries, oldest first.
// It is idempotent and may stop at any point; one host runs it at a time, and
// if two do, the swap of the summary lets one of them win.
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

// fold folds the batches of a page that have been seen long enough ago.
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
		if err := p.store(ctx, store, next, dueRecords(p.settled(pages, i), due)); err != nil {
			return err
		}
	}
	return p.deleteFolded(ctx, store)
}

// neededBy reports whether an earlier page has an unfolded record of an id in
// the batch, which may have its best form here.
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

func dueRecords(records []Record, due map[ID]bool) []Record {
	return slices.DeleteFunc(records, func(r Record) bool { return !due[r.ID] })
}

// store writes a summary that also counts the records.
func (p *page) store(ctx context.Context, store kv.KV, next summary, records []Record) error {
	for _, r := range records {
		next.Rows = append(next.Rows, rowOf(r))
	}
	next.Rows = Sum(next.Rows, func(r Row) Row { return r })
	if err := next.addIDs(records); err != nil {
		return err
	}
	value, err := pack(next)
	if err != nil {
		return err
	}
	key := minutePrefix(p.minute) + summaryName
	revision, err := store.CompareAndSwap(ctx, key, p.revision, value, 0)
	if err != nil {
		return errors.Wrapf(err, "ledger: store summary of %s", p.minute.Format(minuteLayout))
	}
	// Later pages of this pass see the summary in place of the records.
	p.summary, p.revision = next, revision
	return nil
}

// deleteFolded removes batches that are part of the summary.
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
