package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/peer"
	"github.com/corianderlever/corianderlever/resource"
)

// world runs stores of several hosts over one key-value service in virtual time.
type world struct {
	clock *clockwork.FakeClock
	// ctx and applies end the applies of a test that fails.
	ctx     context.Context
	cancel  context.CancelFunc
	applies sync.WaitGroup
	kv      *memkv.Store
	rng     *rand.Rand

	mu       sync.Mutex
	nodes    []*node
	cut      func(a, b int) bool
	past     []kv.Entry // earlier values of KeyCurrent, for stale reads
	problems []string
}

type node struct {
	*Store
	w        *world
	id       int
	up       bool
	kv       *faultKV
	handlers map[string]peer.Handler
	heard    map[int]time.Time // last heartbeat by host
	seen     map[int]int64     // revision in it
	highest  int64
	cancel   context.CancelFunc
	done     chan struct{}
}

// step is the resolution of virtual time, heartbeatEvery and heardFor are the
// values of membership.
const (
	step           = 25 * time.Millisecond
	heartbeatEvery = 500 * time.Millisecond
	heardFor       = 3 * time.Second
	simHistory     = 5
)

func newWorld(n int, seed uint64) *world {
	w := &world{clock: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(seed, 3)), cut: func(a, b int) bool { return false }}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.kv = memkv.New(w.clock)
	w.nodes = make([]*node, n)
	for i := range n {
		w.boot(i)
	}
	w.run(3 * time.Second)
	return w
}

// boot starts a host, with faults from the beginning.
func (w *world) boot(i int, faults ...func(*faultKV)) *node {
	w.mu.Lock()
	seed := w.rng.Uint64()
	w.mu.Unlock()
	n := &node{w: w, id: i, up: true, handlers: make(map[string]peer.Handler), heard: make(map[int]time.Time),
		seen: make(map[int]int64), done: make(chan struct{}), kv: &faultKV{KV: w.kv, w: w}}
	for _, f := range faults {
		n.kv.set(f)
	}
	s, err := New(Options{KV: n.kv, Group: n, Caller: n, Registrar: n, Clock: w.clock, HistoryLength: simHistory,
		Rand: rand.New(rand.NewPCG(seed, 4)), Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		panic(err)
	}
	n.Store = s
	s.Subscribe(func(snap *resource.Snapshot) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if snap.Revision <= n.highest {
			w.problems = append(w.problems, fmt.Sprintf("host %d went from revision %d to %d", i, n.highest, snap.Revision))
		}
		n.highest = snap.Revision
	})
	w.mu.Lock()
	w.nodes[i] = n
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { defer close(n.done); _ = n.Run(ctx) }()
	return n
}

func (w *world) kill(n *node) {
	w.mu.Lock()
	n.up = false
	w.mu.Unlock()
	n.cancel()
	<-n.done
}

func (w *world) stop() {
	w.cancel()
	w.applies.Wait()
	for _, n := range w.nodes {
		w.kill(n)
	}
}

// run lets virtual time pass, with heartbeats.
func (w *world) run(d time.Duration) {
	synctest.Wait()
	for ; d > 0; d -= step {
		w.clock.Advance(min(d, step))
		if w.clock.Now().UnixNano()%int64(heartbeatEvery) == 0 {
			w.heartbeat()
		}
		synctest.Wait()
	}
}

func (w *world) heartbeat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if a != b && a.up && b.up && !w.cut(a.id, b.id) {
				a.heard[b.id] = w.clock.Now()
				a.seen[b.id] = b.Current().Revision
			}
		}
	}
}

func (n *node) Handle(method string, h peer.Handler) { n.handlers[method] = h }

func (n *node) peer(i int) Peer {
	return Peer{Host: fmt.Sprint("host-", i), Address: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 2), Revision: n.seen[i], Alive: true}
}

// Self, Peers, HasMajority, QuorumMembers and SetRevision implement Group.
func (n *node) Self() Peer {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.peer(n.id)
}

func (n *node) Peers() []Peer {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	var out []Peer
	for i := range n.w.nodes {
		if at, ok := n.heard[i]; ok && n.w.clock.Since(at) <= heardFor {
			out = append(out, n.peer(i))
		}
	}
	return out
}

func (n *node) HasMajority() bool { return 2*(len(n.Peers())+1) > n.QuorumMembers() }
func (n *node) QuorumMembers() int      { return len(n.w.nodes) }
func (n *node) SetRevision(int64) {}

// Call implements peer.Caller.
func (n *node) Call(ctx context.Context, addr, method string, params, result any) error {
	raw, _ := json.Marshal(params)
	n.w.mu.Lock()
	i := slices.IndexFunc(n.w.nodes, func(o *node) bool { return fmt.Sprint(o.id) == addr })
	to := n.w.nodes[i]
	lost, down := n.w.cut(n.id, i), !to.up || !n.up
	n.w.mu.Unlock()
	if down {
		return peer.ErrUnreachable
	}
	if lost {
		<-ctx.Done()
		return peer.ErrNoReply
	}
	out, err := to.handlers[method](ctx, "", raw)
	if err != nil {
		return err
	}
	raw, _ = json.Marshal(out)
	return json.Unmarshal(raw, result)
}

// faultKV injects faults between one host and the service.
type faultKV struct {
	kv.KV
	w *world

	mu sync.Mutex
	// outage refuses all calls, stale answers reads from the past, mute holds
	// back watch events.
	outage, stale, mute bool
	// loseReply makes the next writes take effect without an answer, loseCall
	// makes them vanish.
	loseReply, loseCall int
}

func (f *faultKV) set(change func(*faultKV)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *faultKV) Get(ctx context.Context, key string) (kv.Entry, error) {
	f.mu.Lock()
	outage, stale := f.outage, f.stale
	f.mu.Unlock()
	if outage {
		return kv.Entry{}, kv.ErrUnavailable
	}
	if stale && key == KeyCurrent {
		f.w.mu.Lock()
		defer f.w.mu.Unlock()
		if len(f.w.past) == 0 {
			return kv.Entry{}, kv.ErrNotFound
		}
		return f.w.past[f.w.rng.IntN(len(f.w.past))], nil
	}
	return f.KV.Get(ctx, key)
}

func (f *faultKV) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return nil, 0, kv.ErrUnavailable
	}
	return f.KV.List(ctx, prefix)
}

func (f *faultKV) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, id kv.LeaseID) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return 0, kv.ErrUnavailable
	}
	if f.loseCall > 0 {
		f.loseCall--
		return 0, kv.ErrUnknown
	}
	old, oldErr := f.KV.Get(ctx, key)
	revision, err := f.KV.CompareAndSwap(ctx, key, expect, value, id)
	if err == nil && oldErr == nil && key == KeyCurrent {
		f.w.mu.Lock()
		f.w.past = append(f.w.past, old)
		f.w.mu.Unlock()
	}
	if f.loseReply > 0 {
		f.loseReply--
		return 0, kv.ErrUnknown
	}
	return revision, err
}

func (f *faultKV) Watch(ctx context.Context, prefix string, from int64) (<-chan kv.Event, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return nil, kv.ErrUnavailable
	}
	in, err := f.KV.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	out := make(chan kv.Event)
	go f.forward(ctx, in, out)
	return out, nil
}

// forward passes events on, except during a fault: the watch is then silent.
func (f *faultKV) forward(ctx context.Context, in <-chan kv.Event, out chan<- kv.Event) {
	defer close(out)
	for ev := range in {
		f.mu.Lock()
		silent := f.mute || f.outage
		f.mu.Unlock()
		if silent {
			continue
		}
		select {
		case out <- ev:
		case <-ctx.Done():
			return
		}
	}
}
