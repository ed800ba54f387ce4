package crashreports_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/crashreports"
	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/limiter"
)

// TestCrashingPartIsKnownAfterTheLossOfAllHosts guards against hosts that all start anew
// and let a part crash endpoints again until it has been found once more.
func TestCrashingPartIsKnownAfterTheLossOfAllHosts(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))
	store := memkv.New(clock)
	newRecorder := func() *crashreports.Recorder {
		logger := slog.New(slog.DiscardHandler)
		return &crashreports.Recorder{
			Guard: limiter.NewPartGuard(clock, logger, true), Writes: func() bool { return true }, Clock: clock, Logger: logger,
			Write: func(ctx context.Context, expect int64, record []byte) (int64, error) {
				return store.CompareAndSwap(ctx, "crashes", expect, record, 0)
			},
		}
	}
	bad, other := limiter.Hash(1), limiter.Hash(2)
	before := newRecorder()
	before.Update(context.Background())
	if _, err := store.Get(context.Background(), "crashes"); err == nil {
		t.Error("a record was written although nothing is rejected")
	}
	for endpoint := limiter.Hash(10); endpoint < 15; endpoint++ {
		before.Guard.Start(endpoint, []limiter.Hash{bad}).End()
		before.Guard.RecordCrash(endpoint)
		clock.Advance(time.Second)
	}
	before.Update(context.Background())
	clock.Advance(time.Minute)

	after := newRecorder()
	entry, err := store.Get(context.Background(), "crashes")
	if err != nil {
		t.Fatal(err)
	}
	after.Apply(entry)
	if _, rejected := after.Guard.Rejects([]limiter.Hash{bad}); !rejected {
		t.Error("a host that has just started does not reject the part")
	}
	if _, rejected := after.Guard.Rejects([]limiter.Hash{other}); rejected {
		t.Error("a host that has just started rejects another part")
	}
	after.Update(context.Background())
	if again, _ := store.Get(context.Background(), "crashes"); again.Revision != entry.Revision {
		t.Error("a host that has just started wrote the same record again")
	}
	clock.Advance(limiter.CrashMarkTTL)
	if _, err := after.Guard.Marks(); err != nil {
		t.Fatal(err)
	}
	after.Update(context.Background())
	last := newRecorder()
	if entry, err = store.Get(context.Background(), "crashes"); err != nil {
		t.Fatal(err)
	}
	last.Apply(entry)
	if stored := last.Stored(); len(last.Guard.Rejected()) > 0 || len(stored) > 0 {
		t.Errorf("the record still rejects %v after the crashes have expired", stored)
	}
}

// TestHostThatTakesOverWritingReadsTheRecordFirst guards against a record that still rejects
// a part which was cleared, because the host that writes it now never read it: hosts that
// start later would reject the part.
func TestHostThatTakesOverWritingReadsTheRecordFirst(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))
	store := memkv.New(clock)
	writer := ""
	newRecorder := func(host string) *crashreports.Recorder {
		logger := slog.New(slog.DiscardHandler)
		return &crashreports.Recorder{
			Guard: limiter.NewPartGuard(clock, logger, true), Writes: func() bool { return writer == host }, Clock: clock, Logger: logger,
			Read: func(ctx context.Context) (kv.Entry, error) { return store.Get(ctx, "crashes") },
			Write: func(ctx context.Context, expect int64, record []byte) (int64, error) {
				return store.CompareAndSwap(ctx, "crashes", expect, record, 0)
			},
		}
	}
	part := []limiter.Hash{1}
	first, second := newRecorder("first"), newRecorder("second")
	second.Update(t.Context())
	for endpoint := limiter.Hash(10); endpoint < 15; endpoint++ {
		first.Guard.Start(endpoint, part).End()
		first.Guard.RecordCrash(endpoint)
		clock.Advance(time.Second)
	}
	writer = "first"
	first.Update(t.Context())
	if stored := first.Stored(); len(stored) != 1 {
		t.Fatalf("the record rejects %v, want one part", stored)
	}
	second.Guard.Start(20, part).Prove()
	writer = "second"
	second.Update(t.Context())
	if stored := second.Stored(); len(stored) != 0 {
		t.Errorf("the record still rejects %v after another host has seen it sound", stored)
	}
	entry, err := store.Get(t.Context(), "crashes")
	if err != nil {
		t.Fatal(err)
	}
	later := newRecorder("later")
	later.Apply(entry)
	if _, rejected := later.Guard.Rejects(part); rejected {
		t.Error("a host that starts later rejects the part")
	}
}

// TestRecordIsWrittenAgainAfterARestore guards against a record that is lost for good when
// the store is restored from a copy that does not have it, because each write expects the
// revision from before.
func TestRecordIsWrittenAgainAfterARestore(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))
	store := memkv.New(clock)
	store.Put("other", nil)
	logger := slog.New(slog.DiscardHandler)
	r := &crashreports.Recorder{
		Guard: limiter.NewPartGuard(clock, logger, true), Writes: func() bool { return true }, Clock: clock, Logger: logger,
		Write: func(ctx context.Context, expect int64, record []byte) (int64, error) {
			return store.CompareAndSwap(ctx, "crashes", expect, record, 0)
		},
	}
	for endpoint := limiter.Hash(10); endpoint < 15; endpoint++ {
		r.Guard.Start(endpoint, []limiter.Hash{1}).End()
		r.Guard.RecordCrash(endpoint)
		clock.Advance(time.Second)
	}
	backup := store.Copy()
	r.Update(context.Background())
	store.Restore(backup)
	r.Missing(store.Revision())
	r.Update(context.Background())
	if _, err := store.Get(context.Background(), "crashes"); err != nil {
		t.Errorf("record after the restore: %v", err)
	}
}
