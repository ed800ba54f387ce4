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

// keyAt returns a UUIDv7 of the time.
func keyAt(at time.Time, n byte) Key {
	var u uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8], u[15] = 0x70, 0x80, n
	return Key{Team: "t", Service: "booking", Operation: "book", IdempotencyKey: u.String()}
}

// autoClock lets a wait pass at once and never fires a timer by itself, so
// that a test alone decides when a batch is flushed.
type autoClock struct {
	*clockwork.FakeClock
	skew time.Duration
}

func (c autoClock) Now() time.Time                  { return c.FakeClock.Now().Add(c.skew) }
func (c autoClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

func (c autoClock) After(d time.Duration) <-chan time.Time {
	ch := c.FakeClock.After(d)
	c.Advance(d)
	return ch
}

func (c autoClock) AfterFunc(time.Duration, func()) clockwork.Timer {
	t := c.NewTimer(time.Hour)
	t.Stop()
	return t
}

// hooked runs a function between a host's read of a page and its write.
type hooked struct {
	kv.KV
	before func()
	busy   *bool // a hook does not run inside another one
}

func (h *hooked) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, id kv.LeaseID) (int64, error) {
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
	hook *hooked
	ops  []*tracked
	keys map[int]bool // claimed since the start
}

// tracked is a claim whose outcome the test has not taken yet.
type tracked struct {
	*op
	key Key
	n   int
}

type world struct {
	clock *clockwork.FakeClock
	store *memkv.Store
	hosts []*host
	keys  []Key
	// runs counts the dispatches of each key; stuck marks keys that a killed
	// host had claimed or may have claimed.
	runs  map[int]int
	stuck map[int]bool
	next  uint64
	busy  bool
	began time.Time
}

func newWorld(n int) *world {
	w := &world{clock: clockwork.NewFakeClock(), runs: map[int]int{}, stuck: map[int]bool{}}
	w.began = w.clock.Now()
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

// start begins a new incarnation; the hosts' clocks differ by up to 1 s.
func (w *world) start(i int) {
	w.next++
	h := &host{hook: &hooked{KV: w.store, busy: &w.busy}, keys: map[int]bool{}}
	h.kv = memkv.NewFaulty(h.hook, w.clock)
	clock := autoClock{w.clock, time.Duration(i) * 500 * time.Millisecond}
	h.Claimer = New(h.kv, clock, rand.New(rand.NewPCG(7, w.next)), fmt.Sprint("h", i), quiet)
	w.hosts[i] = h
}

func (w *world) flush(h *host) {
	for s := range shards {
		h.flush(s)
	}
}

// collect takes the outcomes of h's claims and dispatches the winners.
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

func (w *world) outcome(rt *rapid.T, h *host, o *tracked, out outcome, abandon bool) {
	if !out.result.Won {
		if a := out.result.Answer; a != nil && (a.Status != 200 || string(a.Body) != o.key.IdempotencyKey) {
			rt.Fatalf("key %d: wrong answer %v", o.n, a)
		}
		return
	}
	if abandon {
		w.finish(h, func() error { return h.Abandon(bg, o.key) })
		return
	}
	if w.runs[o.n]++; w.runs[o.n] > 1 {
		rt.Fatalf("key %d ran twice", o.n)
	}
	answer := Answer{Status: 200, Body: []byte(o.key.IdempotencyKey)}
	w.finish(h, func() error { return h.Complete(bg, o.key, answer) })
}

// finish queues a call, which waits for a flush, and flushes.
func (w *world) finish(h *host, call func() error) {
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
