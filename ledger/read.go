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

// Row is a sum of records.
type Row struct {
	// Minute is the billed minute; zero when rows are summed over minutes.
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

// key is a row without its sums.
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

// Sum adds up rows by the columns that by keeps.
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

// BusiestMinute returns the minute of highest cost.
func BusiestMinute(rows []Row) Row {
	var best Row
	for _, r := range Sum(rows, func(r Row) Row { return Row{Minute: r.Minute} }) {
		if r.Cost > best.Cost {
			best = r
		}
	}
	return best
}

// page is what the service holds of one filing minute.
type page struct {
	minute   time.Time
	summary  summary
	revision int64
	// records are the best forms of the records in batches that are not folded.
	records map[ID]Record
	batches []storedBatch
}

type storedBatch struct {
	entry   kv.Entry
	records []Record
}

// known reports whether the id is in the page, folded or not.
func (p *page) known(id ID) bool {
	if p.summary.has(id) {
		return true
	}
	_, ok := p.records[id]
	return ok
}

// Read returns the rows of the requests that ended in [from, to).
func Read(ctx context.Context, store kv.KV, from, to time.Time) ([]Row, error) {
	// A request is filed at most KeyAge before it ends, and ends after its filing.
	pages, err := load(ctx, store, from.Add(-KeyAge), to.Add(keySkew))
	if err != nil {
		return nil, err
	}
	var rows []Row
	for i, p := range pages {
		rows = append(rows, p.summary.Rows...)
		for _, r := range p.settled(pages, i) {
			rows = append(rows, rowOf(r))
		}
	}
	rows = slices.DeleteFunc(rows, func(r Row) bool { return r.Minute.Before(from) || !r.Minute.Before(to) })
	return Sum(rows, func(r Row) Row { return r }), nil
}

// settled returns the records of pages[i] that count: those whose id is in no
// earlier page within the window, each in the best form of all later pages.
func (p *page) settled(pages []*page, i int) []Record {
	out := make([]Record, 0, len(p.records))
	for id, r := range p.records {
		if p.summary.has(id) || knownNear(pages[:i], p.minute.Add(-Window), id) {
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

func knownNear(earlier []*page, since time.Time, id ID) bool {
	for _, p := range slices.Backward(earlier) {
		if p.minute.Before(since) {
			return false
		}
		if p.known(id) {
			return true
		}
	}
	return false
}

// load reads the pages of all filing minutes in [from, to), in order.
func load(ctx context.Context, store kv.KV, from, to time.Time) ([]*page, error) {
	pages := make(map[time.Time]*page)
	for day := from.UTC().Truncate(24 * time.Hour); day.Before(to); day = day.Add(24 * time.Hour) {
		list, _, err := store.List(ctx, keyRoot+day.Format(dayLayout))
		if err != nil {
			return nil, errors.Wrap(err, "ledger: list")
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
		if err := p.unpackBatches(); err != nil {
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
	return unpack(e.Value, &p.summary)
}

// unpackBatches decodes the batches that are not part of the summary yet.
func (p *page) unpackBatches() error {
	for i := range p.batches {
		b := &p.batches[i]
		if slices.Contains(p.summary.Folded, b.entry.Key) {
			continue
		}
		if err := unpack(b.entry.Value, &b.records); err != nil {
			return errors.Wrap(err, b.entry.Key)
		}
		for _, r := range b.records {
			keep(p.records, r)
		}
	}
	return nil
}
