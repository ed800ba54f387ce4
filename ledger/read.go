package ledger

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// Row is the sum of records that agree in all of the label columns.
type Row struct {
	// Minute is the billed minute; zero if rows are summed over minutes.
	Minute       time.Time `json:"c,omitzero"`
	Team         string    `json:"t,omitempty"`
	Model        string    `json:"m,omitempty"`
	Version      string    `json:"v,omitempty"`
	Rank         string    `json:"r,omitempty"`
	Requests     int64     `json:"n"`
	InputTokens  int64     `json:"i"`
	OutputTokens int64     `json:"o"`
	Cost         float64   `json:"p"`
}

// key returns the row with its sums set to zero.
func (r Row) key() Row {
	r.Requests, r.InputTokens, r.OutputTokens, r.Cost = 0, 0, 0, 0
	return r
}

func rowOf(r Record) Row {
	return Row{
		Minute: r.Completed.UTC().Truncate(time.Minute), Team: r.Team, Model: r.Model, Version: r.Version, Rank: r.Rank,
		Requests: 1, InputTokens: r.InputTokens, OutputTokens: r.OutputTokens, Cost: r.Cost,
	}
}

// Sum adds up the rows for which by returns the same label columns.
func Sum(rows []Row, by func(Row) Row) []Row {
	sums := make(map[Row]*Row)
	for _, r := range rows {
		k := by(r).key()
		s := sums[k]
		if s == nil {
			s = new(k)
			sums[k] = s
		}
		s.Requests += r.Requests
		s.InputTokens += r.InputTokens
		s.OutputTokens += r.OutputTokens
		s.Cost += r.Cost
	}
	out := make([]Row, 0, len(sums))
	for _, s := range sums {
		out = append(out, *s)
	}
	slices.SortFunc(out, compareRows)
	return out
}

func compareRows(a, b Row) int {
	return cmp.Or(a.Minute.Compare(b.Minute), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Version, b.Version), cmp.Compare(a.Rank, b.Rank))
}

// BusiestMinute returns the sums of the minute with the highest cost.
func BusiestMinute(rows []Row) Row {
	var best Row
	for _, r := range Sum(rows, func(r Row) Row { return Row{Minute: r.Minute} }) {
		if r.Cost > best.Cost {
			best = r
		}
	}
	return best
}

// page holds the stored data of one filing minute.
type page struct {
	minute   time.Time
	summary  summary
	revision int64
	// records holds, for each id in a batch that is not folded, the record that
	// supersedes the others.
	records map[ID]Record
	batches []storedBatch
}

type storedBatch struct {
	entry   kv.Entry
	records []Record
}

// contains reports whether the page has a record of the id, folded or not.
func (p *page) contains(id ID) bool {
	if p.summary.has(id) {
		return true
	}
	_, ok := p.records[id]
	return ok
}

// Read returns the sums of the requests that ended in [from, to).
func Read(ctx context.Context, store kv.KV, from, to time.Time) ([]Row, error) {
	// The filing minute of a request is at most KeyAge before its end, and at most
	// keySkew after it.
	pages, err := load(ctx, store, from.Add(-KeyAge), to.Add(keySkew))
	if err != nil {
		return nil, err
	}
	var rows []Row
	for i, p := range pages {
		rows = append(rows, p.summary.Rows...)
		for _, r := range p.billable(pages, i) {
			rows = append(rows, rowOf(r))
		}
	}
	rows = slices.DeleteFunc(rows, func(r Row) bool { return r.Minute.Before(from) || !r.Minute.Before(to) })
	return Sum(rows, func(r Row) Row { return r }), nil
}

// billable returns the records of pages[i] that are billed: those whose id is in
// no earlier page within the window. A record is replaced by one in a later page
// within the window that supersedes it.
func (p *page) billable(pages []*page, i int) []Record {
	out := make([]Record, 0, len(p.records))
	for id, r := range p.records {
		if p.summary.has(id) || knownSince(pages[:i], p.minute.Add(-Window), id) {
			continue
		}
		for _, later := range pages[i+1:] {
			if later.minute.After(p.minute.Add(Window)) {
				break
			}
			if other, ok := later.records[id]; ok && Supersedes(other, r) {
				r = other
			}
		}
		out = append(out, r)
	}
	return out
}

func knownSince(earlier []*page, since time.Time, id ID) bool {
	for _, p := range slices.Backward(earlier) {
		if p.minute.Before(since) {
			return false
		}
		if p.contains(id) {
			return true
		}
	}
	return false
}

// load returns the pages of all filing minutes in [from, to), oldest first.
func load(ctx context.Context, store kv.KV, from, to time.Time) ([]*page, error) {
	pages := make(map[time.Time]*page)
	for day := from.UTC().Truncate(24 * time.Hour); day.Before(to); day = day.Add(24 * time.Hour) {
		list, _, err := store.List(ctx, keyRoot+day.Format(dayLayout))
		if err != nil {
			return nil, errors.Wrap(err, "ledger: list stored records")
		}
		for _, e := range list {
			minute, ok := minuteOf(e.Key)
			if !ok || minute.Before(from) || !minute.Before(to) {
				continue
			}
			p := pages[minute]
			if p == nil {
				p = &page{minute: minute, records: make(map[ID]Record)}
				pages[minute] = p
			}
			if err := p.add(e); err != nil {
				return nil, err
			}
		}
	}
	out := make([]*page, 0, len(pages))
	for _, p := range pages {
		if err := p.decodeBatches(); err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *page) int { return a.minute.Compare(b.minute) })
	return out, nil
}

func (p *page) add(e kv.Entry) error {
	if !strings.HasSuffix(e.Key, "/"+summaryName) {
		p.batches = append(p.batches, storedBatch{entry: e})
		return nil
	}
	p.revision = e.Revision
	return decode(e.Value, &p.summary)
}

// decodeBatches decodes the batches that are not part of the summary yet.
func (p *page) decodeBatches() error {
	for i := range p.batches {
		b := &p.batches[i]
		if slices.Contains(p.summary.Folded, b.entry.Key) {
			continue
		}
		if err := decode(b.entry.Value, &b.records); err != nil {
			return errors.Wrap(err, b.entry.Key)
		}
		for _, r := range b.records {
			keepBest(p.records, r)
		}
	}
	return nil
}
