package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/ledger"
)

// Billing is the cost of one batch of billing records.
type Billing struct {
	Records int
	// BatchBytes is the size of the stored batch.
	BatchBytes float64
	// CPUSeconds is the processor time to open, finish and write the records,
	// without the calls to peers.
	CPUSeconds float64
	// MemoryBytes is the heap size of the records until they are written.
	MemoryBytes float64
	// CopyCalls and CopyBytes are the number of calls to peers and the bytes of
	// their bodies, both per request.
	CopyCalls, CopyBytes float64
}

// copyCounter is a replicator that accepts every copy and counts the calls.
type copyCounter struct{ calls, bytes int }

// Pick implements ledger.Replicator.
func (c *copyCounter) Pick(...string) string { return "peer" }

// Hold implements ledger.Replicator.
func (c *copyCounter) Hold(_ context.Context, _ string, v ledger.Copies) error { return c.count(v) }

// Release implements ledger.Replicator.
func (c *copyCounter) Release(_ context.Context, _ string, v ledger.Released) error {
	return c.count(v)
}

func (c *copyCounter) count(v any) error {
	data, err := json.Marshal(v)
	c.calls++
	c.bytes += len(data)
	return err
}

// record returns a final billing record with random content.
func record(rng *rand.Rand, now time.Time) ledger.Record {
	version := rng.IntN(versions)
	return ledger.Record{
		ID: ledger.RecordID("team", uuid.NewString()), FilingMinute: now.UTC().Truncate(time.Minute), Completed: now,
		Team: teamName(rng.IntN(teams)), Model: fmt.Sprintf("model-%d", version/2),
		Version: fmt.Sprintf("model-%d-v%d", version/2, version%2), Rank: rankName(rng.IntN(ranks)),
		InputTokens: int64(rng.IntN(4000)), OutputTokens: int64(rng.IntN(400)), Cost: float64(rng.IntN(100_000)) / 1000,
		State: ledger.StateFinal,
	}
}

// MeasureBilling measures opening, finishing and writing one batch of n records.
func MeasureBilling(n int) (Billing, error) {
	ctx := context.Background()
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 5, 12, 0, 10, 0, time.UTC))
	kv := memkv.New(clock)
	rng := rand.New(rand.NewPCG(3, 3))
	records := make([]ledger.Record, 0, n)
	for range n {
		records = append(records, record(rng, clock.Now()))
	}
	peers := &copyCounter{}
	l := ledger.New(kv, clock, peers, ledger.Config{Host: "host-0001.20260105T120000.000000", Logger: discardLogger()})
	before, cpu := heap(), cpuSeconds()
	for _, r := range records {
		if err := l.Open(ctx, r); err != nil {
			return Billing{}, errors.Wrap(err, "capacity: open billing record")
		}
		l.Finish(ctx, r)
	}
	cpu = cpuSeconds() - cpu
	out := Billing{Records: n, MemoryBytes: heap() - before}
	runtime.KeepAlive(records)
	flushStart := cpuSeconds()
	if err := l.Flush(ctx); err != nil {
		return Billing{}, errors.Wrap(err, "capacity: write batch")
	}
	out.CPUSeconds = cpu + cpuSeconds() - flushStart
	out.CopyCalls, out.CopyBytes = float64(peers.calls)/float64(n), float64(peers.bytes)/float64(n)
	entries, _, err := kv.List(ctx, "ledger/")
	for _, e := range entries {
		out.BatchBytes += float64(len(e.Value))
	}
	return out, errors.Wrap(err, "capacity: list batches")
}
