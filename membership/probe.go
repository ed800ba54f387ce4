package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// relays is the number of hosts asked to probe on behalf of this one.
	relays = 2
	// retryPeriod spaces pings to failed members and to addresses that no
	// known member has, so that a healed partition is noticed from either side.
	retryPeriod = 2 * time.Second
	// retryFanout bounds the addresses tried in one such round.
	retryFanout = 3
	// farewellTimeout bounds the last messages of a leaving host.
	farewellTimeout = 300 * time.Millisecond
)

type target struct {
	host, addr string
	state      State
}

// round advances the table and pings the next hosts.
func (m *Membership) round(ctx context.Context, wg *sync.WaitGroup) {
	var targets []target
	m.change(func(now time.Time) []Member {
		changed := m.table.Tick(now)
		targets = m.nextTargets(now)
		for _, t := range targets {
			m.probing[t.addr] = struct{}{}
		}
		return changed
	})
	for _, t := range targets {
		wg.Go(func() {
			m.probe(ctx, t)
			m.mu.Lock()
			defer m.mu.Unlock()
			delete(m.probing, t.addr)
		})
	}
}

// nextTargets picks the hosts for one round: the accused, in a large fleet the
// next of the ring, the next of a shuffled pass over the live members, and sometimes lost ones. A pass
// reaches every member before any is pinged again, which bounds the time to
// the first probe of a dead host.
func (m *Membership) nextTargets(now time.Time) []target {
	var out []target
	add := func(host, addr string, state State) bool {
		if _, busy := m.probing[addr]; busy || slices.ContainsFunc(out, func(t target) bool { return t.addr == addr }) {
			return false
		}
		out = append(out, target{host, addr, state})
		return true
	}
	addHost := func(host string) bool {
		r, ok := m.table.records[host]
		return ok && add(host, r.PeerAddress, r.State)
	}
	for host := range m.table.accused {
		if len(out) < DefaultFanout {
			addHost(host)
		}
	}
	members := m.table.size()
	if members > smallFleet {
		addHost(m.table.successor())
	}
	for range fanout(members) {
		for !addHost(m.nextInRing()) && len(m.ring) > 0 {
			continue
		}
	}
	if len(m.table.records) == 0 || now.Sub(m.lastRetry) >= retryPeriod {
		m.lastRetry = now
		for i, t := range m.lost() {
			if i < retryFanout {
				add(t.host, t.addr, t.state)
			}
		}
	}
	return out
}

// nextInRing returns the next host of the pass, or "" at its end.
func (m *Membership) nextInRing() string {
	if len(m.ring) == 0 {
		m.ring = m.table.hostsIn(Alive, Suspect, Leaving)
		m.shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
	}
	if len(m.ring) == 0 {
		return ""
	}
	host := m.ring[0]
	m.ring = m.ring[1:]
	return host
}

func (m *Membership) shuffle(n int, swap func(i, j int)) { m.opts.Rand.Shuffle(n, swap) }

// lost returns failed members and unknown addresses in random order.
func (m *Membership) lost() []target {
	var out []target
	for _, host := range m.table.hostsIn(Failed) {
		out = append(out, target{host, m.table.records[host].PeerAddress, Failed})
	}
	for addr := range m.hints {
		if !m.table.knowsAddress(addr) {
			out = append(out, target{"", addr, Failed})
		}
	}
	slices.SortFunc(out, func(a, b target) int { return compareTargets(a, b) })
	m.shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// compareTargets orders map contents, so that a seeded run repeats.
func compareTargets(a, b target) int {
	if a.addr < b.addr || a.addr == b.addr && a.host < b.host {
		return -1
	}
	return 1
}

// probe pings a host and, if it does not answer, asks others to do so before
// the host is suspected.
func (m *Membership) probe(ctx context.Context, t target) {
	start := m.opts.Clock.Now()
	if m.direct(ctx, t) || t.state == Failed || ctx.Err() != nil {
		return
	}
	// A refused connection fails at once. The second attempt waits, so that a
	// short interruption does not cause a suspicion.
	select {
	case <-ctx.Done():
		return
	case <-m.opts.Clock.After(DefaultProbeTimeout - m.opts.Clock.Since(start)):
	}
	if m.again(ctx, t) || ctx.Err() != nil {
		return
	}
	m.change(func(now time.Time) []Member { return one(m.table.RecordProbeFailure(now, t.host)) })
}

// direct pings the host and notices a replacement at its address.
func (m *Membership) direct(ctx context.Context, t target) bool {
	got, err := m.ping(ctx, t.host, t.addr)
	if err != nil {
		return false
	}
	if t.host == "" || got.Host == t.host {
		return true
	}
	m.change(func(now time.Time) []Member { return one(m.table.RecordReplacement(now, t.host)) })
	return true
}

// again pings directly and through relays at the same time.
func (m *Membership) again(ctx context.Context, t target) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, DefaultProbeTimeout)
	defer cancel()
	via := m.relaysFor(t.host)
	results := make(chan bool, len(via)+1)
	go func() { results <- m.direct(ctx, t) }()
	for _, addr := range via {
		go func() {
			var got Member
			err := m.opts.Caller.Call(ctx, addr, MethodProbe, probeRequest{Address: t.addr}, &got)
			ok := err == nil && got.Host == t.host && got.validate() == nil
			if ok {
				m.hear(got)
			}
			results <- ok
		}()
	}
	answered := false
	for range len(via) + 1 {
		if <-results {
			answered = true
			cancel()
		}
	}
	return answered
}

// hear merges what another host says about a member.
func (m *Membership) hear(got Member) {
	m.change(func(now time.Time) []Member { return one(m.table.Merge(now, got)) })
}

func (m *Membership) relaysFor(host string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts := m.table.hostsIn(Alive)
	hosts = slices.DeleteFunc(hosts, func(h string) bool { return h == host })
	m.shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var out []string
	for _, h := range hosts[:min(relays, len(hosts))] {
		out = append(out, m.table.records[h].PeerAddress)
	}
	return out
}

// farewell tells a few peers that a leaving host is gone.
func (m *Membership) farewell(ctx context.Context, wg *sync.WaitGroup) {
	m.mu.Lock()
	m.table.Exit()
	left := m.table.Self().State == Left
	hosts := m.table.hostsIn(Alive)
	m.shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var targets []target
	for _, h := range hosts[:min(DefaultFanout, len(hosts))] {
		targets = append(targets, target{host: h, addr: m.table.records[h].PeerAddress})
	}
	m.mu.Unlock()
	if !left {
		return
	}
	ctx = context.WithoutCancel(ctx)
	for _, t := range targets {
		wg.Go(func() {
			ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, farewellTimeout)
			defer cancel()
			_ = m.opts.Caller.Call(ctx, t.addr, MethodPing, m.compose(t.host, false), nil)
		})
	}
}
