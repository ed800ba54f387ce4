package membership

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

	"github.com/corianderlever/corianderlever/peer"
	"github.com/jonboulle/clockwork"
)

// cluster runs memberships over an in-memory network in virtual time.
type cluster struct {
	clock *clockwork.FakeClock

	mu    sync.Mutex
	rng   *rand.Rand
	loss  float64
	delay time.Duration              // upper bound; drawn per message, so that messages are reordered
	cut   func(from, to string) bool // reports whether messages on a link are lost
	up    map[string]*host           // running hosts by peer address
	seeds []string
	bytes int
	// highest is the highest incarnation that each process has seen of each host.
	// A restarted process starts without one.
	highest   map[[2]string]int64
	violation string
}

type host struct {
	*Membership
	c        *cluster
	addr     string
	handlers map[string]peer.Handler
	cancel   context.CancelFunc
	done     chan struct{}
}

func newCluster(seed uint64) *cluster {
	return &cluster{
		clock:   clockwork.NewFakeClock(),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		delay:   2 * time.Millisecond,
		cut:     func(string, string) bool { return false },
		up:      make(map[string]*host),
		highest: make(map[[2]string]int64),
	}
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func (h *host) Handle(method string, f peer.Handler) { h.handlers[method] = f }

func (c *cluster) start(i int, name string) *host {
	c.mu.Lock()
	seed := c.rng.Uint64()
	c.mu.Unlock()
	h := &host{c: c, addr: addrOf(i), handlers: make(map[string]peer.Handler), done: make(chan struct{})}
	m, err := New(Options{
		Self:   Member{Host: name, PeerAddress: h.addr, EntryAddress: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250+1), FailureDomain: fmt.Sprint(i % 3)},
		Seeds:  c.seeds,
		Caller: h, Registrar: h, Clock: c.clock,
		Rand:   rand.New(rand.NewPCG(seed, 2)),
		Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		panic(err)
	}
	h.Membership = m
	m.OnChange(func(seen Member) { c.observe(fmt.Sprint(name, " ", seed), seen) })
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	c.mu.Lock()
	c.up[h.addr] = h
	c.mu.Unlock()
	go func() { defer close(h.done); _ = m.Run(ctx) }()
	return h
}

func (c *cluster) observe(by string, seen Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := [2]string{by, seen.Host}
	if seen.Incarnation < c.highest[key] {
		c.violation = fmt.Sprintf("%s saw the incarnation of %s fall from %d to %d", by, seen.Host, c.highest[key], seen.Incarnation)
	}
	c.highest[key] = seen.Incarnation
}

// kill stops a host without an announcement.
func (c *cluster) kill(h *host) {
	c.mu.Lock()
	delete(c.up, h.addr)
	c.mu.Unlock()
	h.cancel()
	<-h.done
}

// stopGracefully stops a leaving host after it has announced its departure.
func (c *cluster) stopGracefully(h *host) {
	h.cancel()
	c.run(departureTimeout)
	c.kill(h)
}

func (c *cluster) stopAll() {
	for _, h := range c.hosts() {
		c.kill(h)
	}
}

func (c *cluster) hosts() []*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*host
	for i := range 1000 {
		if h, ok := c.up[addrOf(i)]; ok {
			out = append(out, h)
		}
	}
	return out
}

// Call implements peer.Caller over the in-memory network.
func (h *host) Call(ctx context.Context, addr, method string, params, result any) error {
	raw, _ := json.Marshal(params)
	h.c.mu.Lock()
	running := h.c.up[h.addr] == h
	h.c.mu.Unlock()
	if !running {
		return peer.ErrUnreachable
	}
	if err := h.c.transmit(ctx, h.addr, addr, len(raw)); err != nil {
		return err
	}
	h.c.mu.Lock()
	to := h.c.up[addr]
	h.c.mu.Unlock()
	if to == nil {
		return peer.ErrUnreachable
	}
	out, err := to.handlers[method](ctx, h.addr, raw)
	if err != nil {
		return err
	}
	raw, _ = json.Marshal(out)
	if err := h.c.transmit(ctx, addr, h.addr, len(raw)); err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(raw, result)
}

func (c *cluster) transmit(ctx context.Context, from, to string, size int) error {
	c.mu.Lock()
	c.bytes += size
	lost := c.cut(from, to) || c.rng.Float64() < c.loss
	delay := time.Duration(c.rng.Int64N(int64(c.delay)))
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return peer.ErrNoReply
	}
	select {
	case <-ctx.Done():
		return peer.ErrNoReply
	case <-c.clock.After(delay):
		return nil
	}
}

// startHosts starts n hosts and gives them 5 s to find each other.
func (c *cluster) startHosts(n int) {
	c.seeds = []string{addrOf(0), addrOf(1), addrOf(2)}
	for i := range n {
		c.start(i, fmt.Sprintf("host-%03d", i))
	}
	c.run(5 * time.Second)
}

// clockStep is the resolution of the virtual time.
const clockStep = 10 * time.Millisecond

// run advances virtual time. It does not use the runtime's own timers of a synctest
// bubble, because select on one that is due crashes the race detector
// (Go 1.26.8: SIGSEGV in runtime.(*timer).maybeRunChan).
func (c *cluster) run(d time.Duration) {
	synctest.Wait()
	for ; d > 0; d -= clockStep {
		c.clock.Advance(min(d, clockStep))
		synctest.Wait()
	}
}

func (h *host) state(name string) State {
	for _, m := range h.Members() {
		if m.Host == name {
			return m.State
		}
	}
	return Left
}

type errorReporter interface {
	Helper()
	Errorf(string, ...any)
}

// checkConverged checks that every running host sees all running hosts as alive
// and no other host as live, lists exactly these, and has a majority unless failed
// members or, before the first contact, absent seeds are at least as many as the
// running hosts.
func (c *cluster) checkConverged(t errorReporter) {
	t.Helper()
	hosts := c.hosts()
	for _, h := range hosts {
		running := make(map[string]bool)
		absent := 0
		for _, o := range hosts {
			running[o.Self().Host] = true
			if s := h.state(o.Self().Host); s != Alive {
				t.Errorf("%s sees the running %s as %v, want alive", h.Self().Host, o.Self().Host, s)
			}
		}
		for _, m := range h.Members() {
			if m.State == Failed {
				absent++
			}
			if m.State.Live() && !running[m.Host] {
				t.Errorf("%s sees the stopped %s as %v", h.Self().Host, m.Host, m.State)
			}
		}
		if n := len(h.Entries(c.clock.Now()).Entries); n != len(hosts) {
			t.Errorf("%s lists %d hosts, want %d", h.Self().Host, n, len(hosts))
		}
		if !h.table.everContacted {
			absent = len(c.seeds)
			if slices.Contains(c.seeds, h.addr) {
				absent--
			}
		}
		if got := h.HasMajority(); got != (len(hosts) > absent) {
			t.Errorf("%s has HasMajority %v with %d hosts running and %d absent", h.Self().Host, got, len(hosts), absent)
		}
	}
	if c.violation != "" {
		t.Errorf("%s", c.violation)
	}
}

func (c *cluster) setFaults(loss float64, delay time.Duration, cut func(a, b string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss, c.delay, c.cut = loss, delay, cut
	if cut == nil {
		c.cut = func(string, string) bool { return false }
	}
}
