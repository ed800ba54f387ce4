package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/configstore"
	"github.com/corianderlever/corianderlever/ledger"
	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/resource"
)

// adminBackend implements admin.Backend over the services of a host.
type adminBackend struct {
	config     *configurationService
	membership *membershipService
	ledger     *ledgerService
	dispatch   *dispatchService

	mu sync.Mutex
	// changed is closed and replaced when a new revision is in force.
	changed  chan struct{}
	revision int64
}

var _ admin.Backend = (*adminBackend)(nil)

func newAdminBackend(c *configurationService, m *membershipService, l *ledgerService, d *dispatchService) *adminBackend {
	b := &adminBackend{config: c, membership: m, ledger: l, dispatch: d, changed: make(chan struct{})}
	c.Subscribe(func(snap *resource.Snapshot) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.revision = snap.Revision
		close(b.changed)
		b.changed = make(chan struct{})
	})
	return b
}

// Current implements admin.Backend.
func (b *adminBackend) Current() *resource.Snapshot { return b.config.Current() }

// Changed implements admin.Backend.
func (b *adminBackend) Changed(revision int64) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.revision > revision {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return b.changed
}

// Apply implements admin.Backend.
func (b *adminBackend) Apply(ctx context.Context, req admin.ApplyRequest) (int64, error) {
	revision, err := b.config.Apply(ctx, configstore.Change{
		ExpectRevision: req.ExpectRevision, Set: req.Set, Delete: req.Delete, Author: req.Author,
	})
	var conflict *configstore.ConflictError
	switch {
	case err == nil:
		return revision, nil
	case errors.As(err, &conflict):
		return 0, b.conflict(ctx, conflict)
	case errors.Is(err, configstore.ErrUnavailable):
		return 0, errors.Mark(err, admin.ErrUnavailable)
	}
	return 0, err
}

// conflictTimeout bounds the wait until this host has the winning revision.
const conflictTimeout = 2 * time.Second

// conflict returns the error for a lost race. It lists the changes since the
// revision that the operator expected, if that revision is in the history.
func (b *adminBackend) conflict(ctx context.Context, c *configstore.ConflictError) error {
	ctx, cancel := context.WithTimeout(ctx, conflictTimeout)
	defer cancel()
	for b.config.Current().Revision < c.Actual && ctx.Err() == nil {
		select {
		case <-b.Changed(c.Actual - 1):
		case <-ctx.Done():
		}
	}
	snap := b.config.Current()
	out := &admin.ConflictError{Revision: snap.Revision}
	history, err := b.config.History(ctx)
	if err != nil {
		return out
	}
	for _, h := range history {
		if h.Revision == c.Expected {
			out.Differences = admin.Compare(h.Resources, snap.Resources())
		}
	}
	return out
}

// Status implements admin.Backend.
func (b *adminBackend) Status() admin.StatusResponse {
	out := admin.StatusResponse{Host: b.membership.Self().Host, Fresh: b.config.Fresh()}
	for _, m := range b.membership.Members() {
		h := admin.HostStatus{
			Host: m.Host, FailureDomain: m.FailureDomain, State: m.State.String(), Revision: m.ConfigRevision, Entry: m.EntryAddress,
		}
		if m.Host == out.Host {
			h.Revision = b.config.Current().Revision
		}
		if m.State == membership.Left {
			continue
		}
		out.Hosts = append(out.Hosts, h)
	}
	return out
}

// History implements admin.Backend.
func (b *adminBackend) History(ctx context.Context) ([]admin.HistoryEntry, error) {
	list, err := b.config.History(ctx)
	if err != nil {
		return nil, err
	}
	var out []admin.HistoryEntry
	var before []resource.Resource
	for _, h := range list {
		entry := admin.HistoryEntry{Revision: h.Revision, Author: h.Author, Time: h.Time}
		for _, d := range admin.Compare(before, h.Resources) {
			entry.Changed = append(entry.Changed, resource.Key{Kind: d.Kind, Name: d.Name})
		}
		out = append(out, entry)
		before = h.Resources
	}
	slices.Reverse(out)
	return out, nil
}

// Bill implements admin.Backend. It writes the records that this host still queues
// first.
func (b *adminBackend) Bill(ctx context.Context, from, to time.Time, by []string) (admin.BillResponse, error) {
	columns, err := columnSelector(by)
	if err != nil {
		return admin.BillResponse{}, err
	}
	if err := b.ledger.Flush(ctx); err != nil {
		return admin.BillResponse{}, err
	}
	rows, err := ledger.Read(ctx, b.ledger.platform.store, from, to)
	if err != nil {
		return admin.BillResponse{}, err
	}
	busiest := ledger.BusiestMinute(rows)
	out := admin.BillResponse{From: from, To: to, BusiestMinute: busiest.Minute, BusiestCost: busiest.Cost, Rows: []admin.BillRow{}}
	for _, r := range ledger.Sum(rows, columns) {
		row := admin.BillRow{
			Team: r.Team, Model: r.Model, Version: r.Version, Rank: r.Rank,
			Requests: r.Requests, InputTokens: r.InputTokens, OutputTokens: r.OutputTokens, Cost: r.Cost,
		}
		if !r.Minute.IsZero() {
			row.Minute = r.Minute.Format(time.RFC3339)
		}
		out.Rows = append(out.Rows, row)
	}
	return out, nil
}

// columnSelector returns a function that keeps only the named columns of a row.
func columnSelector(by []string) (func(ledger.Row) ledger.Row, error) {
	keep := map[string]func(to *ledger.Row, from ledger.Row){
		"team":    func(to *ledger.Row, from ledger.Row) { to.Team = from.Team },
		"model":   func(to *ledger.Row, from ledger.Row) { to.Model = from.Model },
		"version": func(to *ledger.Row, from ledger.Row) { to.Version = from.Version },
		"rank":    func(to *ledger.Row, from ledger.Row) { to.Rank = from.Rank },
		"minute":  func(to *ledger.Row, from ledger.Row) { to.Minute = from.Minute },
	}
	for _, name := range by {
		if keep[name] == nil {
			return nil, errors.Wrapf(resource.ErrInvalid, "unknown column %q", name)
		}
	}
	return func(r ledger.Row) ledger.Row {
		var out ledger.Row
		for _, name := range by {
			keep[name](&out, r)
		}
		return out
	}, nil
}

// Explain implements admin.Backend.
func (b *adminBackend) Explain(_ context.Context, request string) (admin.Explanation, bool) {
	e, ok := b.dispatch.Explain(request)
	if !ok {
		return nil, false
	}
	data, err := json.Marshal(e)
	return data, err == nil
}
