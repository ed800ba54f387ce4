package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

// TestAtMostOnce guards against a second run of a key that several hosts claim
// under lost replies, outages, stale reads, pauses between read and write, kills,
// clock skew and removed pages; and against claims that are never undone although
// nothing ran.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(3)
		index := rapid.IntRange(0, 2)
		rt.Repeat(map[string]func(*rapid.T){
			"claim": func(rt *rapid.T) {
				h, n := w.hosts[index.Draw(rt, "host")], rapid.IntRange(0, 3).Draw(rt, "key")
				if o, err := h.submit(w.keys[n]); err == nil {
					h.ops = append(h.ops, &pendingClaim{o, w.keys[n], n})
					h.keys[n] = true
				}
			},
			"settle": func(rt *rapid.T) {
				h := w.hosts[index.Draw(rt, "host")]
				w.flush(h)
				w.collect(rt, h, rapid.IntRange(0, 3).Draw(rt, "abandon") == 0)
			},
			"race": func(rt *rapid.T) {
				h, other := w.hosts[index.Draw(rt, "host")], w.hosts[index.Draw(rt, "other")]
				if h != other {
					h.hook.before = func() { w.flush(other); w.collect(rt, other, false) }
				}
			},
			"pause between read and write": func(rt *rapid.T) {
				h, other := w.hosts[index.Draw(rt, "host")], w.hosts[index.Draw(rt, "other")]
				hours := rapid.SampledFrom([]int{0, 1, 1, 25}).Draw(rt, "hours")
				if h == other {
					return
				}
				h.hook.before = func() {
					w.flush(other)
					w.collect(rt, other, false)
					w.clock.Advance(time.Duration(hours) * time.Hour)
					_ = other.Sweep(bg)
				}
			},
			"leave": func(rt *rapid.T) {
				h := w.hosts[index.Draw(rt, "host")]
				if len(h.ops) > 0 && len(h.ops[0].done) == 0 {
					ctx, cancel := context.WithCancel(bg)
					cancel()
					o := h.ops[0]
					h.ops = h.ops[1:]
					if _, err := h.await(ctx, o.op); err == nil {
						rt.Fatal("await with a cancelled context returned no error")
					}
				}
			},
			"kill": func(rt *rapid.T) {
				i := index.Draw(rt, "host")
				for n := range w.hosts[i].keys {
					w.orphaned[n] = true
				}
				w.start(i)
			},
			"fault": func(rt *rapid.T) {
				fault := rapid.SampledFrom([]memkv.Fault{memkv.Outage, memkv.ReplyLost, memkv.RequestLost, memkv.StaleReads}).Draw(rt, "fault")
				calls := rapid.SampledFrom([]int{1, 2, 3, 100}).Draw(rt, "calls")
				w.hosts[index.Draw(rt, "host")].kv.Inject(fault, calls)
			},
			"tidy": func(rt *rapid.T) { w.hosts[index.Draw(rt, "host")].CleanUp() },
			"sweep": func(rt *rapid.T) {
				w.clock.Advance(rapid.SampledFrom([]time.Duration{time.Second, time.Second, time.Minute, 12 * time.Hour}).Draw(rt, "d"))
				_ = w.hosts[index.Draw(rt, "host")].Sweep(bg)
			},
		})
		w.checkConverged(rt)
	})
}

// checkConverged ends the faults and checks that a key that never ran can be
// claimed, unless a killed host may have claimed it, and that expired pages are
// removed.
func (w *world) checkConverged(rt *rapid.T) {
	for _, h := range w.hosts {
		h.kv.ClearAll()
		h.hook.before = nil
	}
	for _, h := range w.hosts {
		w.flush(h)
		w.collect(rt, h, false)
		h.CleanUp()
	}
	for n, key := range w.keys {
		h := w.hosts[0]
		o, err := h.submit(key)
		if errors.Is(err, ErrTooOld) {
			continue
		}
		w.flush(h)
		if out := <-o.done; out.result.Won != (w.runs[n] == 0) && !w.orphaned[n] {
			rt.Fatalf("key %d: won %v (error %v) after %d runs, want won exactly if it never ran", n, out.result.Won, out.err, w.runs[n])
		}
	}
	w.clock.Advance(Retention + removalGrace + 2*pageWindow)
	if err := w.hosts[1].Sweep(bg); err != nil {
		rt.Fatal(err)
	}
	left, _, _ := w.store.List(bg, keyPrefix)
	if w.clock.Since(w.started) < sweepLookback && len(left) > 0 {
		rt.Fatalf("%d expired pages left after the sweep, want 0", len(left))
	}
}

// TestUncertainClaim guards against a won claim that is reported as a retry because
// the reply of its write was lost, against a claim that stays in the store although
// its caller got not_run, and against a claim written after its undo.
func TestUncertainClaim(t *testing.T) {
	w := newWorld(2)
	a, b := w.hosts[0], w.hosts[1]
	claim := func(h *host, n int) outcome {
		o, err := h.submit(w.keys[n])
		if err != nil {
			t.Fatal(err)
		}
		w.flush(h)
		return <-o.done
	}
	a.kv.Inject(memkv.ReplyLost, 1)
	if out := claim(a, 0); !out.result.Won {
		t.Fatalf("claim whose write reply was lost: got %+v, want won", out)
	}
	for n, fault := range map[int]memkv.Fault{1: memkv.ReplyLost, 2: memkv.RequestLost} {
		lost := false
		a.kv.OnCall(func(call memkv.Call, _ string) memkv.Fault {
			if lost {
				return memkv.Outage
			}
			lost = call == memkv.CallCompareAndSwap
			if lost {
				return fault
			}
			return memkv.None
		})
		location, _ := a.locate(w.keys[n])
		before, _ := w.store.Get(bg, location.page)
		if out := claim(a, n); !errors.Is(out.err, ErrNotClaimed) {
			t.Fatalf("%s, then outage: got %+v, want ErrNotClaimed", fault, out)
		}
		a.kv.ClearAll()
		a.CleanUp()
		if _, err := w.store.CompareAndSwap(bg, location.page, before.Revision, nil, 0); !errors.Is(err, kv.ErrConflict) {
			t.Fatalf("%s: late write after the undo: got error %v, want ErrConflict", fault, err)
		}
		if out := claim(b, n); !out.result.Won {
			t.Fatalf("%s: retry after not_run: got %+v, want won", fault, out)
		}
	}
}

// TestPauseOverRemoval guards against a second run by a host that read an absent
// page, stalled until another host had written the page and a sweep had removed
// it, and then wrote it.
func TestPauseOverRemoval(t *testing.T) {
	w := newWorld(2)
	a, b := w.hosts[0], w.hosts[1]
	o, _ := a.submit(w.keys[0])
	a.hook.before = func() {
		ob, _ := b.submit(w.keys[0])
		w.flush(b)
		if out := <-ob.done; !out.result.Won {
			t.Errorf("first claim: got %v, want won", out)
		}
		w.clock.Advance(Retention + removalGrace + 2*pageWindow)
		_ = b.Sweep(bg)
	}
	w.flush(a)
	if out := <-o.done; !errors.Is(out.err, ErrTooOld) {
		t.Fatalf("claim after the removal of the page: got %+v, want ErrTooOld", out)
	}
}

// TestKeys guards against accepting a key without a time, accepting a key older
// than the retention time, and giving different requests the same id.
func TestKeys(t *testing.T) {
	w := newWorld(1)
	now, c := w.clock.Now(), w.hosts[0]
	for name, k := range map[string]struct {
		key  Key
		want error
	}{
		"v4":     {Key{IdempotencyKey: uuid.NewString()}, ErrBadKey},
		"text":   {Key{IdempotencyKey: "x"}, ErrBadKey},
		"old":    {keyAt(now.Add(-Retention-time.Second), 1), ErrTooOld},
		"future": {keyAt(now.Add(time.Hour), 1), ErrBadKey},
		"good":   {keyAt(now.Add(-Retention+time.Second), 1), nil},
	} {
		if _, err := c.submit(k.key); !errors.Is(err, k.want) {
			t.Errorf("key %s: got error %v, want %v", name, err, k.want)
		}
	}
	a, _ := Key{Team: "ab", Service: "c", IdempotencyKey: w.keys[0].IdempotencyKey}.ID()
	b, _ := Key{Team: "a", Service: "bc", IdempotencyKey: w.keys[0].IdempotencyKey}.ID()
	if a == b {
		t.Error("keys of different requests have the same id")
	}
}

// TestBatch guards against one compare-and-swap for each claim instead of one for
// each page of a batch.
func TestBatch(t *testing.T) {
	w := newWorld(1)
	var ops []*op
	for n := range 200 {
		o, _ := w.hosts[0].submit(keyAt(w.clock.Now(), byte(n)))
		ops = append(ops, o)
	}
	w.flush(w.hosts[0])
	for _, o := range ops {
		if out := <-o.done; !out.result.Won {
			t.Fatalf("claim: got %+v, want won", out)
		}
	}
	if n := w.hosts[0].kv.Counts()[memkv.CallCompareAndSwap]; n > shardCount {
		t.Fatalf("%d writes for the pages of one window, want at most one per shard", n)
	}
}

// TestConcurrentClaims guards against data races between callers and against two
// winners among hosts that claim a key at the same time.
func TestConcurrentClaims(t *testing.T) {
	clock := clockwork.NewRealClock()
	kv := memkv.NewFaulty(memkv.New(clock), clock)
	var hosts []*Claimer
	for i := range 3 {
		hosts = append(hosts, New(kv, clock, rand.New(rand.NewPCG(1, uint64(i))), fmt.Sprint(i), quiet))
	}
	const keys = 40
	var won [keys]atomic.Int64
	var wg sync.WaitGroup
	for n := range keys {
		key := keyAt(clock.Now(), byte(n))
		for _, h := range hosts {
			wg.Go(func() {
				r, err := h.Claim(bg, key)
				if err != nil {
					t.Error(err)
				}
				if r.Won {
					won[n].Add(1)
				}
			})
		}
	}
	wg.Wait()
	for n := range won {
		if won[n].Load() != 1 {
			t.Errorf("key %d was won %d times, want once", n, won[n].Load())
		}
	}
}
