package ledger_test

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/ledger"
)

// noPeers is the Replicator of a host without peers.
type noPeers struct{}

func (noPeers) Pick(...string) string                                  { return "" }
func (noPeers) Hold(context.Context, string, ledger.Copies) error      { return nil }
func (noPeers) Release(context.Context, string, ledger.Released) error { return nil }

func Example() {
	ctx := context.Background()
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC))
	store := memkv.New(clock)
	l := ledger.New(store, clock, noPeers{}, ledger.Config{Host: "entry-1", Logger: slog.New(slog.DiscardHandler)})
	r := ledger.Record{
		ID: ledger.RecordID("workshop", "key-1"), FilingMinute: ledger.FilingMinute("key-1", clock.Now()), Completed: clock.Now(),
		Team: "workshop", Version: "small-1", State: ledger.StateOpen,
	}
	if err := l.Open(ctx, r); err != nil {
		fmt.Println(err)
		return
	}
	r.State, r.Cost = ledger.StateFinal, 0.25
	l.Finish(ctx, r)
	if err := l.Flush(ctx); err != nil {
		fmt.Println(err)
		return
	}
	rows, err := ledger.Read(ctx, store, clock.Now().Add(-time.Hour), clock.Now().Add(time.Hour))
	fmt.Println(len(rows), rows[0].Team, rows[0].Requests, rows[0].Cost, err)
	// Output: 1 workshop 1 0.25 <nil>
}
