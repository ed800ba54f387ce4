package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/peer"
)

// callOverheadBytes is what one call and its answer add on the wire beside
// the two bodies: framing, method name, authentication code, TCP and IP headers.
const callOverheadBytes = 400

// network carries calls between hosts of one process and counts bytes.
type network struct {
	mu       sync.RWMutex
	handlers map[string]map[string]peer.Handler
	bytes    atomic.Int64
	calls    atomic.Int64
}

func newNetwork() *network {
	return &network{handlers: make(map[string]map[string]peer.Handler)}
}

// registrar registers the handlers of one host.
type registrar struct {
	net  *network
	addr string
}

// Handle implements membership.Registrar.
func (r registrar) Handle(method string, h peer.Handler) {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	if r.net.handlers[r.addr] == nil {
		r.net.handlers[r.addr] = make(map[string]peer.Handler)
	}
	r.net.handlers[r.addr][method] = h
}

// caller makes the calls of one host.
type caller struct {
	net  *network
	from string
}

// Call implements peer.Caller.
func (c caller) Call(ctx context.Context, addr, method string, params, result any) error {
	c.net.mu.RLock()
	h := c.net.handlers[addr][method]
	c.net.mu.RUnlock()
	if h == nil {
		return errors.Wrap(peer.ErrUnreachable, addr)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := h(ctx, c.from, data)
	if err != nil {
		return err
	}
	reply, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	c.net.calls.Add(1)
	c.net.bytes.Add(int64(len(data) + len(reply) + callOverheadBytes))
	if result == nil {
		return nil
	}
	return json.Unmarshal(reply, result)
}

// Heartbeats is the cost of membership for one host of a fleet.
type Heartbeats struct {
	Hosts int
	// CoreShare is the share of one core.
	CoreShare float64
	// BytesPerSecond counts both directions of all calls a host makes, and so
	// as much again as it receives: sent and received bytes of one host.
	BytesPerSecond float64
	// MemoryBytes is the heap of one host.
	MemoryBytes float64
}

const (
	settleTime  = 6 * time.Second
	measureTime = 5 * time.Second
)

// MeasureHeartbeats runs the heartbeats of n hosts. signal returns what each
// heartbeat carries for other parts.
func MeasureHeartbeats(n int, signal func() json.RawMessage) (Heartbeats, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := heap()
	net := newNetwork()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i := range n {
		m, err := newMember(net, i, signal)
		if err != nil {
			return Heartbeats{}, err
		}
		wg.Go(func() { _ = m.Run(ctx) }) // it ends with ctx
	}
	time.Sleep(settleTime)
	memory := heap() - before
	cpu, bytes := cpuSeconds(), net.bytes.Load()
	time.Sleep(measureTime)
	perHost := float64(n) * measureTime.Seconds()
	return Heartbeats{
		Hosts:     n,
		CoreShare: (cpuSeconds() - cpu) / perHost,
		// Each call's bytes are sent or received by both of its ends.
		BytesPerSecond: 2 * float64(net.bytes.Load()-bytes) / perHost,
		MemoryBytes:    memory / float64(n),
	}, nil
}

func newMember(net *network, i int, signal func() json.RawMessage) (*membership.Membership, error) {
	addr := func(i int) string { return fmt.Sprintf("10.%d.%d.%d:7080", i>>16, i>>8&255, i&255) }
	m, err := membership.New(membership.Options{
		Self: membership.Member{
			Host: fmt.Sprintf("host-%04d", i), PeerAddress: addr(i), EntryAddress: addr(i),
			FailureDomain: fmt.Sprintf("domain-%02d", i%Domains),
		},
		Seeds:     []string{addr(0), addr(1), addr(2)},
		Caller:    caller{net, fmt.Sprintf("host-%04d", i)},
		Registrar: registrar{net, addr(i)},
		Rand:      rand.New(rand.NewPCG(1, uint64(i))),
		Logger:    slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		return nil, err
	}
	m.RegisterSignal("capacity", signal, func(membership.Member, json.RawMessage) {})
	return m, nil
}

func heap() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
