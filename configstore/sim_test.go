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

// simCluster runs the stores of several hosts over one key-value service in virtual
// time.
type simCluster struct {
	clock *clockwork.FakeClock
	// ctx bounds the applies, and applies waits for them, also when a test fails.
	ctx     context.Context
	cancel  context.CancelFunc
	applies sync.WaitGroup
	kv      *memkv.Store
	rng     *rand.Rand

	mu          sync.Mutex
	hosts       []*simHost
	partitioned func(a, b int) bool
	pastValues  []kv.Entry // earlier values of KeyCurrent, for stale reads
	violations  []string
}

type simHost struct {
	*Store
	cluster           *simCluster
	id                int
	up                bool
	kv                *faultKV
	handlers          map[string]peer.Handler
	lastHeartbeat     map[int]time.Time // time of the last heartbeat by host
	heartbeatRevision map[int]int64     // revision in that heartbeat
	highestRevision   int64
	cancel            context.CancelFunc
	done              chan struct{}
}

// step is the resolution of virtual time. heartbeatInterval and contactTimeout are
// the values of membership.
const (
	step              = 25 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	contactTimeout    = 3 * time.Second
	simHistory        = 5
)

func newSimCluster(n int, seed uint64) *simCluster {
	sim := &simCluster{clock: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(seed, 3)), partitioned: func(a, b int) bool { return false }}
	sim.ctx, sim.cancel = context.WithCancel(context.Background())
	sim.kv = memkv.New(sim.clock)
	sim.hosts = make([]*simHost, n)
	for i := range n {
		sim.startHost(i)
	}
	sim.run(3 * time.Second)
	return sim
}

// startHost starts a host. The faults apply from its start.
func (sim *simCluster) startHost(i int, faults ...func(*faultKV)) *simHost {
	sim.mu.Lock()
	seed := sim.rng.Uint64()
	sim.mu.Unlock()
	n := &simHost{cluster: sim, id: i, up: true, handlers: make(map[string]peer.Handler), lastHeartbeat: make(map[int]time.Time),
		heartbeatRevision: make(map[int]int64), done: make(chan struct{}), kv: &faultKV{KV: sim.kv, cluster: sim}}
	for _, f := range faults {
		n.kv.set(f)
	}
	s, err := New(Options{KV: n.kv, Group: n, Caller: n, Registrar: n, Clock: sim.clock, HistoryLength: simHistory,
		Rand: rand.New(rand.NewPCG(seed, 4)), Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		panic(err)
	}
	n.Store = s
	s.Subscribe(func(snap *resource.Snapshot) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if snap.Revision <= n.highestRevision {
			sim.violations = append(sim.violations, fmt.Sprintf("host %d changed from revision %d to %d", i, n.highestRevision, snap.Revision))
		}
		n.highestRevision = snap.Revision
	})
	sim.mu.Lock()
	sim.hosts[i] = n
	sim.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { defer close(n.done); _ = n.Run(ctx) }()
	return n
}

func (sim *simCluster) stopHost(n *simHost) {
	sim.mu.Lock()
	n.up = false
	sim.mu.Unlock()
	n.cancel()
	<-n.done
}

func (sim *simCluster) stop() {
	sim.cancel()
	sim.applies.Wait()
	for _, n := range sim.hosts {
		sim.stopHost(n)
	}
}

// run advances virtual time by d, with heartbeats.
func (sim *simCluster) run(d time.Duration) {
	synctest.Wait()
	for ; d > 0; d -= step {
		sim.clock.Advance(min(d, step))
		if sim.clock.Now().UnixNano()%int64(heartbeatInterval) == 0 {
			sim.exchangeHeartbeats()
		}
		synctest.Wait()
	}
}

func (sim *simCluster) exchangeHeartbeats() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, a := range sim.hosts {
		for _, b := range sim.hosts {
			if a != b && a.up && b.up && !sim.partitioned(a.id, b.id) {
				a.lastHeartbeat[b.id] = sim.clock.Now()
				a.heartbeatRevision[b.id] = b.Current().Revision
			}
		}
	}
}

func (n *simHost) Handle(method string, h peer.Handler) { n.handlers[method] = h }

func (n *simHost) peer(i int) Peer {
	return Peer{Host: fmt.Sprint("host-", i), Address: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 2), Revision: n.heartbeatRevision[i], Alive: true}
}

// Self, Peers, HasMajority, QuorumMembers and SetRevision implement Group.
func (n *simHost) Self() Peer {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.peer(n.id)
}

func (n *simHost) Peers() []Peer {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var out []Peer
	for i := range n.cluster.hosts {
		if at, ok := n.lastHeartbeat[i]; ok && n.cluster.clock.Since(at) <= contactTimeout {
			out = append(out, n.peer(i))
		}
	}
	return out
}

func (n *simHost) HasMajority() bool  { return 2*(len(n.Peers())+1) > n.QuorumMembers() }
func (n *simHost) QuorumMembers() int { return len(n.cluster.hosts) }
func (n *simHost) SetRevision(int64)  {}

// Call implements peer.Caller.
func (n *simHost) Call(ctx context.Context, addr, method string, params, result any) error {
	raw, _ := json.Marshal(params)
	n.cluster.mu.Lock()
	i := slices.IndexFunc(n.cluster.hosts, func(o *simHost) bool { return fmt.Sprint(o.id) == addr })
	to := n.cluster.hosts[i]
	lost, down := n.cluster.partitioned(n.id, i), !to.up || !n.up
	n.cluster.mu.Unlock()
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

// faultKV injects faults between one host and the key-value service.
type faultKV struct {
	kv.KV
	cluster *simCluster

	mu sync.Mutex
	// outage rejects all calls. stale makes Get return earlier values. silent drops
	// watch events.
	outage, stale, silent bool
	// lostReplies is the number of next writes that take effect without a reply.
	// lostCalls is the number of next writes that are lost.
	lostReplies, lostCalls int
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
		f.cluster.mu.Lock()
		defer f.cluster.mu.Unlock()
		if len(f.cluster.pastValues) == 0 {
			return kv.Entry{}, kv.ErrNotFound
		}
		return f.cluster.pastValues[f.cluster.rng.IntN(len(f.cluster.pastValues))], nil
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
	if f.lostCalls > 0 {
		f.lostCalls--
		return 0, kv.ErrUnknown
	}
	old, oldErr := f.KV.Get(ctx, key)
	revision, err := f.KV.CompareAndSwap(ctx, key, expect, value, id)
	if err == nil && oldErr == nil && key == KeyCurrent {
		f.cluster.mu.Lock()
		f.cluster.pastValues = append(f.cluster.pastValues, old)
		f.cluster.mu.Unlock()
	}
	if f.lostReplies > 0 {
		f.lostReplies--
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

// forward passes events on and drops them during a fault.
func (f *faultKV) forward(ctx context.Context, in <-chan kv.Event, out chan<- kv.Event) {
	defer close(out)
	for ev := range in {
		f.mu.Lock()
		silent := f.silent || f.outage
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
