package memkv_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

var bg = context.Background()

func setup() (*clockwork.FakeClock, *memkv.Store, *memkv.Faulty) {
	clock := clockwork.NewFakeClock()
	store := memkv.New(clock)
	return clock, store, memkv.NewFaulty(store, clock)
}

// TestWriteFaults guards against an injected fault whose error does not match its
// effect on the store, and against a call that is not counted.
func TestWriteFaults(t *testing.T) {
	for _, c := range []struct {
		fault   memkv.Fault
		want    error
		written bool
	}{
		{memkv.Outage, kv.ErrUnavailable, false},
		{memkv.RequestLost, kv.ErrUnknown, false},
		{memkv.ReplyLost, kv.ErrUnknown, true},
	} {
		_, store, client := setup()
		client.Inject(c.fault, 1)
		_, err := client.CompareAndSwap(bg, "k", 0, []byte("v"), 0)
		_, absent := store.Get(bg, "k")
		if !errors.Is(err, c.want) || (absent == nil) != c.written {
			t.Errorf("%s: got error %v and written %v, want the error and effect of the fault", c.fault, err, absent == nil)
		}
		if _, err := client.GrantLease(bg, time.Second); err != nil {
			t.Errorf("%s: the fault affects more calls than injected: %v", c.fault, err)
		}
		if n := client.Counts(); n[memkv.CallCompareAndSwap] != 1 || n[memkv.CallGrantLease] != 1 {
			t.Errorf("%s: counts %v, want one compare-and-swap and one grant", c.fault, n)
		}
	}
}

// TestStaleReads guards against stale reads that show later writes, and against a
// write that succeeds on a stale revision.
func TestStaleReads(t *testing.T) {
	_, _, client := setup()
	old, _ := client.CompareAndSwap(bg, "k", 0, []byte("old"), 0)
	client.Inject(memkv.StaleReads, memkv.Always)
	if _, err := client.CompareAndSwap(bg, "k", old, []byte("new"), 0); err != nil {
		t.Fatal(err)
	}
	e, _ := client.Get(bg, "k")
	list, rev, _ := client.List(bg, "")
	if string(e.Value) != "old" || string(list[0].Value) != "old" || rev != old {
		t.Fatalf("stale Get and List return %q and %q at revision %d, want the old value and revision", e.Value, list[0].Value, rev)
	}
	if _, err := client.CompareAndSwap(bg, "k", e.Revision, nil, 0); !errors.Is(err, kv.ErrConflict) {
		t.Fatalf("write on a stale revision: got error %v, want ErrConflict", err)
	}
}

// TestSlowCall guards against a delay that ignores the clock or the context.
func TestSlowCall(t *testing.T) {
	clock, _, client := setup()
	client.SetDelay(time.Second)
	done := make(chan error)
	call := func(ctx context.Context) {
		_, err := client.CompareAndSwap(ctx, "k", 0, nil, 0)
		done <- err
	}
	go call(bg)
	_ = clock.BlockUntilContext(bg, 1)
	clock.Advance(time.Second)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(bg)
	go call(ctx)
	cancel()
	if err := <-done; !errors.Is(err, kv.ErrUnknown) && !errors.Is(err, kv.ErrUnavailable) {
		t.Fatal(err)
	}
}

// TestSilentWatch guards against a silent watch that still delivers events or that
// closes, and against an open watch that is not counted.
func TestSilentWatch(t *testing.T) {
	_, _, client := setup()
	ctx, cancel := context.WithCancel(bg)
	ch, err := client.Watch(ctx, "", 0)
	if err != nil || client.OpenWatches() != 1 || client.Counts()[memkv.CallWatch] != 1 {
		t.Fatalf("Watch: error %v, open watches %d, want no error and one counted watch", err, client.OpenWatches())
	}
	client.Inject(memkv.SilentWatch, memkv.Always)
	if _, err := client.CompareAndSwap(bg, "k", 0, nil, 0); err != nil {
		t.Fatal(err)
	}
	cancel()
	if ev, ok := <-ch; ok {
		t.Fatalf("silent watch sent %v, want nothing", ev)
	}
	client.Inject(memkv.Compacted, 1)
	if _, err := client.Watch(bg, "", 0); !errors.Is(err, kv.ErrCompacted) {
		t.Fatal(err)
	}
}

func ExampleFaulty() {
	clock := clockwork.NewFakeClock()
	client := memkv.NewFaulty(memkv.New(clock), clock)
	client.Inject(memkv.ReplyLost, 1)
	_, err := client.CompareAndSwap(context.Background(), "k", 0, []byte("v"), 0)
	e, _ := client.Get(context.Background(), "k")
	fmt.Println(errors.Is(err, kv.ErrUnknown), string(e.Value))
	// Output: true v
}

// TestFeed guards against a Feed that misses changes, shows an incomplete
// transaction, or does not report that the history has been compacted.
func TestFeed(t *testing.T) {
	_, store, _ := setup()
	if _, err := store.Commit(bg, []kv.Write{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}}); err != nil {
		t.Fatal(err)
	}
	events, at, err := store.Changes(bg, "", 0, 0)
	if err != nil || len(events) != 2 || at != 1 {
		t.Fatalf("Changes = %v at revision %d, error %v, want two events at revision 1", events, at, err)
	}
	if _, err := store.Commit(bg, []kv.Write{{Key: "c"}, {Key: "a", Expect: 7}}); !errors.Is(err, kv.ErrConflict) {
		t.Errorf("transaction on an old revision: got error %v, want ErrConflict", err)
	}
	if _, err := store.Get(bg, "c"); !errors.Is(err, kv.ErrNotFound) {
		t.Errorf("part of a failed transaction was stored: got error %v, want ErrNotFound", err)
	}
	go store.Drop("a")
	if events, _, err = store.Changes(bg, "", at, time.Hour); err != nil || len(events) != 1 || !events[0].Deleted {
		t.Errorf("Changes after a delete = %v, error %v, want one deletion", events, err)
	}
	store.Put("d", nil)
	store.Compact(3)
	if _, _, err := store.Changes(bg, "", 1, 0); !errors.Is(err, kv.ErrCompacted) {
		t.Errorf("changes from before the compaction: got error %v, want ErrCompacted", err)
	}
}
