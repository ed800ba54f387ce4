package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/peer"
)

// callOverheadBytes is the overhead of one call and its response on the wire in
// addition to their bodies: framing, method name, authentication code, TCP and
// IP headers.
const callOverheadBytes = 400

// network delivers calls between hosts in one process and counts their bytes.
type network struct {
	mu       sync.RWMutex
	handlers map[string]map[string]peer.Handler
	bytes    atomic.Int64
	calls    atomic.Int64
	// sampled counts the sampled messages; observations and signals are the total
	// bytes of these parts of the sampled messages.
	sampled, observations, signals atomic.Int64
}

// sampleEvery is the number of messages per sampled message.
const sampleEvery = 32

// sample adds the sizes of the parts of a message. It ignores syncs of the full
// member table, which happen once per minute.
func (n *network) sample(data []byte) {
	var parts struct {
		Sync         bool                       `json:"sync"`
		Observations json.RawMessage            `json:"obs"`
		Signals      map[string]json.RawMessage `json:"sig"`
	}
	if json.Unmarshal(data, &parts) != nil || parts.Sync {
		return
	}
	n.sampled.Add(1)
	n.observations.Add(int64(len(parts.Observations)))
	for _, s := range parts.Signals {
		n.signals.Add(int64(len(s)))
	}
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
	if c.net.calls.Add(1)%sampleEvery == 0 {
		c.net.sample(data)
	}
	c.net.bytes.Add(int64(len(data) + len(reply) + callOverheadBytes))
	if result == nil {
		return nil
	}
	return json.Unmarshal(reply, result)
}

// Heartbeats is the cost of membership for one host of a fleet.
type Heartbeats struct {
	Hosts int
	// CoreShare is the share of one core that a host uses.
	CoreShare float64
	// CallsPerSecond is the rate of calls that a host makes; it answers calls at
	// the same rate.
	CallsPerSecond float64
	// BytesPerSecond is the rate at which a host sends and receives, in total.
	BytesPerSecond float64
	// ObservationBytes and SignalBytes are the mean sizes of these parts of a
	// message. The fleet has just started, so each message carries as many
	// observations as fit.
	ObservationBytes, SignalBytes float64
	// MemoryBytes is the heap size of one host.
	MemoryBytes float64
	// MembersSeconds is the processor time of one copy of the member list.
	MembersSeconds float64
}

const (
	settleTime  = 3 * time.Second
	measureTime = 3 * time.Second
	// membersRounds is the number of copies of the member list over which the
	// processor time is averaged.
	membersRounds = 50
)

// SteadyBytes returns the bytes that a host sends and receives per second once
// the observations from the start of the fleet have propagated, without syncs of
// the full table. It subtracts the observations from the measured bytes.
func (h Heartbeats) SteadyBytes() float64 {
	const messagesPerCall, ends = 2, 2
	return h.BytesPerSecond - h.CallsPerSecond*messagesPerCall*ends*h.ObservationBytes
}

// MeasureHeartbeats measures the heartbeats of n hosts, with or without the
// signals of other components.
func MeasureHeartbeats(n int, signals bool) (Heartbeats, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	before := heap()
	net := newNetwork()
	var members []*membership.Membership
	for i := range n {
		m, err := newMember(net, i, signals)
		if err != nil {
			return Heartbeats{}, err
		}
		members = append(members, m)
		wg.Go(func() { _ = m.Run(ctx) }) // returns when ctx is done
	}
	time.Sleep(settleTime)
	cpu, bytes, calls := cpuSeconds(), net.bytes.Load(), net.calls.Load()
	time.Sleep(measureTime)
	perHost := float64(n) * measureTime.Seconds()
	sampled := max(float64(net.sampled.Load()), 1)
	out := Heartbeats{
		Hosts:          n,
		CoreShare:      (cpuSeconds() - cpu) / perHost,
		CallsPerSecond: float64(net.calls.Load()-calls) / perHost,
		// The bytes of each call count for both the sender and the receiver.
		BytesPerSecond:   2 * float64(net.bytes.Load()-bytes) / perHost,
		ObservationBytes: float64(net.observations.Load()) / sampled,
		SignalBytes:      float64(net.signals.Load()) / sampled,
	}
	cancel()
	wg.Wait()
	out.MemoryBytes = (heap() - before) / float64(n)
	cpu = cpuSeconds()
	for range membersRounds {
		members[0].Members()
	}
	out.MembersSeconds = (cpuSeconds() - cpu) / membersRounds
	return out, nil
}

func newMember(net *network, i int, signals bool) (*membership.Membership, error) {
	addr := func(i int) string { return fmt.Sprintf("10.%d.%d.%d:7080", i>>16, i>>8&255, i&255) }
	host := fmt.Sprintf("host-%04d", i)
	m, err := membership.New(membership.Options{
		Self: membership.Member{
			Host: host, PeerAddress: addr(i), EntryAddress: addr(i),
			FailureDomain: fmt.Sprintf("domain-%02d", i%Domains), Region: fmt.Sprintf("region-%d", i%6),
		},
		Seeds:     []string{addr(0), addr(1), addr(2)},
		Caller:    caller{net, host},
		Registrar: registrar{net, addr(i)},
		Rand:      rand.New(rand.NewPCG(1, uint64(i))),
		Logger:    discardLogger(),
	})
	if err != nil || !signals {
		return m, errors.Wrap(err, "capacity: membership")
	}
	d, err := newHostState(host, rand.New(rand.NewPCG(2, uint64(i))))
	if err != nil {
		return nil, err
	}
	d.attach(m)
	return m, nil
}

// heap returns the bytes of live heap objects after a garbage collection.
func heap() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
