package claim

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

var (
	bg    = context.Background()
	quiet = slog.New(slog.DiscardHandler)
)

// keyAt returns a key whose UUIDv7 has the time at and ends in n.
func keyAt(at time.Time, n byte) Key {
	var u uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8], u[15] = 0x70, 0x80, n
	return Key{Team: "t", Service: "booking", Operation: "book", IdempotencyKey: u.String()}
}

// autoAdvanceClock ends each wait immediately and never fires a timer, so that
// only the test decides when a batch is flushed.
type autoAdvanceClock struct {
	*clockwork.FakeClock
	skew time.Duration
}

func (c autoAdvanceClock) Now() time.Time                  { return c.FakeClock.Now().Add(c.skew) }
func (c autoAdvanceClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

func (c autoAdvanceClock) After(d time.Duration) <-chan time.Time {
	ch := c.FakeClock.After(d)
	c.Advance(d)
	return ch
}

func (c autoAdvanceClock) AfterFunc(time.Duration, func()) clockwork.Timer {
	t := c.NewTimer(time.Hour)
	t.Stop()
	return t
}

// hookedKV runs a function between a host's read of a page and its write.
type hookedKV struct {
	kv.KV
	before func()
	busy   *bool // set while a hook runs; hooks do not nest
}

func (h *hookedKV) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, id kv.LeaseID) (int64, error) {
	if f := h.before; f != nil && !*h.busy {
		h.before = nil
		*h.busy = true
		f()
		*h.busy = false
	}
	return h.KV.CompareAndSwap(ctx, key, expect, value, id)
}

type host struct {
	*Claimer
	kv   *memkv.Faulty
	hook *hookedKV
	ops  []*pendingClaim
	keys map[int]bool // claimed by this incarnation
}

// pendingClaim is a claim whose outcome the test has not received yet.
type pendingClaim struct {
	*op
	key Key
	n   int
}

type world struct {
	clock *clockwork.FakeClock
	store *memkv.Store
	hosts []*host
	keys  []Key
	// runs counts the dispatches of each key; orphaned marks keys that a killed
	// host may have claimed.
	runs     map[int]int
	orphaned map[int]bool
	next     uint64
	busy     bool
	started  time.Time
}

func newWorld(n int) *world {
	w := &world{clock: clockwork.NewFakeClock(), runs: map[int]int{}, orphaned: map[int]bool{}}
	w.started = w.clock.Now()
	w.store = memkv.New(w.clock)
	for i := range n {
		w.hosts = append(w.hosts, nil)
		w.start(i)
	}
	for i := range 4 {
		w.keys = append(w.keys, keyAt(w.clock.Now(), byte(i)))
	}
	return w
}

// start starts a new incarnation of host i. The clocks of the hosts differ by up
// to 1 s.
func (w *world) start(i int) {
	w.next++
	h := &host{hook: &hookedKV{KV: w.store, busy: &w.busy}, keys: map[int]bool{}}
	h.kv = memkv.NewFaulty(h.hook, w.clock)
	clock := autoAdvanceClock{w.clock, time.Duration(i) * 500 * time.Millisecond}
	h.Claimer = New(h.kv, clock, rand.New(rand.NewPCG(7, w.next)), fmt.Sprint("h", i), quiet)
	w.hosts[i] = h
}

func (w *world) flush(h *host) {
	for s := range shardCount {
		h.flush(s)
	}
}

// collect receives the outcomes of h's claims and handles each.
func (w *world) collect(rt *rapid.T, h *host, abandon bool) {
	ops := h.ops
	h.ops = nil
	for _, o := range ops {
		select {
		case out := <-o.done:
			w.outcome(rt, h, o, out, abandon)
		default:
			h.ops = append(h.ops, o)
		}
	}
}

func (w *world) outcome(rt *rapid.T, h *host, o *pendingClaim, out outcome, abandon bool) {
	if !out.result.Won {
		if a := out.result.Answer; a != nil && (a.Status != 200 || string(a.Body) != o.key.IdempotencyKey) {
			rt.Fatalf("key %d: got the stored answer %v of another key", o.n, a)
		}
		return
	}
	if abandon {
		w.flushUntilDone(h, func() error { return h.Abandon(bg, o.key) })
		return
	}
	if w.runs[o.n]++; w.runs[o.n] > 1 {
		rt.Fatalf("key %d ran twice, want at most once", o.n)
	}
	answer := Answer{Status: 200, Body: []byte(o.key.IdempotencyKey)}
	w.flushUntilDone(h, func() error { return h.Complete(bg, o.key, answer) })
}

// flushUntilDone starts a call that waits for a flush, and flushes until it
// returns.
func (w *world) flushUntilDone(h *host, call func() error) {
	done := make(chan struct{})
	go func() {
		_ = call()
		close(done)
	}()
	for {
		select {
		case <-done:
			return
		default:
			w.flush(h)
		}
	}
}
