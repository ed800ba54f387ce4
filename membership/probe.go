package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// relayCount is the number of hosts asked to probe a target indirectly.
	relayCount = 2
	// retryPeriod is the time between pings to failed members and to addresses
	// without a known member. They detect the end of a partition from both sides.
	retryPeriod = 2 * time.Second
	// retryFanout bounds the addresses pinged per retryPeriod.
	retryFanout = 3
	// departureTimeout bounds the last messages of a leaving host.
	departureTimeout = 300 * time.Millisecond
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

// nextTargets returns the hosts to ping in one round: hosts that others suspect;
// in a large fleet the successor in the hash ring; the next hosts of a shuffled
// pass over the live members; and once per retryPeriod some unreachable ones. A
// pass pings every member once before it starts again, which bounds the time to
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
	for host := range m.table.suspicions {
		if len(out) < DefaultFanout {
			addHost(host)
		}
	}
	members := m.table.size()
	if members > smallFleet {
		addHost(m.table.successor())
	}
	for range fanout(members) {
		for !addHost(m.nextInPingQueue()) && len(m.pingQueue) > 0 {
			continue
		}
	}
	if len(m.table.records) == 0 || now.Sub(m.lastRetry) >= retryPeriod {
		m.lastRetry = now
		for i, t := range m.unreachableTargets() {
			if i < retryFanout {
				add(t.host, t.addr, t.state)
			}
		}
	}
	return out
}

// nextInPingQueue returns the next host of the shuffled pass and starts a new pass
// at its end. It returns "" if there is no live member.
func (m *Membership) nextInPingQueue() string {
	if len(m.pingQueue) == 0 {
		m.pingQueue = m.table.hostsInState(Alive, Suspect, Leaving)
		m.shuffle(len(m.pingQueue), func(i, j int) { m.pingQueue[i], m.pingQueue[j] = m.pingQueue[j], m.pingQueue[i] })
	}
	if len(m.pingQueue) == 0 {
		return ""
	}
	host := m.pingQueue[0]
	m.pingQueue = m.pingQueue[1:]
	return host
}

func (m *Membership) shuffle(n int, swap func(i, j int)) { m.opts.Rand.Shuffle(n, swap) }

// unreachableTargets returns the failed members and the addresses without a known
// member, in random order.
func (m *Membership) unreachableTargets() []target {
	var out []target
	for _, host := range m.table.hostsInState(Failed) {
		out = append(out, target{host, m.table.records[host].PeerAddress, Failed})
	}
	for addr := range m.hints {
		if !m.table.hasAddress(addr) {
			out = append(out, target{"", addr, Failed})
		}
	}
	slices.SortFunc(out, func(a, b target) int { return compareTargets(a, b) })
	m.shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// compareTargets orders targets collected from maps, so that runs with the same
// seed are equal.
func compareTargets(a, b target) int {
	if a.addr < b.addr || a.addr == b.addr && a.host < b.host {
		return -1
	}
	return 1
}

// probe pings a host. If it does not answer, it is pinged again directly and
// through relays before it is suspected.
func (m *Membership) probe(ctx context.Context, t target) {
	start := m.opts.Clock.Now()
	if m.probeDirectly(ctx, t) || t.state == Failed || ctx.Err() != nil {
		return
	}
	// A refused connection fails at once. The second attempt waits for the rest of
	// the timeout, so that a short interruption does not cause a suspicion.
	select {
	case <-ctx.Done():
		return
	case <-m.opts.Clock.After(DefaultProbeTimeout - m.opts.Clock.Since(start)):
	}
	if m.retryWithRelays(ctx, t) || ctx.Err() != nil {
		return
	}
	m.change(func(now time.Time) []Member { return asList(m.table.RecordProbeFailure(now, t.host)) })
}

// probeDirectly pings the host and reports whether its address answers. If another
// host answers there, the target is recorded as replaced.
func (m *Membership) probeDirectly(ctx context.Context, t target) bool {
	got, err := m.ping(ctx, t.host, t.addr)
	if err != nil {
		return false
	}
	if t.host == "" || got.Host == t.host {
		return true
	}
	m.change(func(now time.Time) []Member { return asList(m.table.RecordReplacement(now, t.host)) })
	return true
}

// retryWithRelays pings directly and through relays at the same time, and reports
// whether the host answered on any path.
func (m *Membership) retryWithRelays(ctx context.Context, t target) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, DefaultProbeTimeout)
	defer cancel()
	via := m.relaysFor(t.host)
	results := make(chan bool, len(via)+1)
	go func() { results <- m.probeDirectly(ctx, t) }()
	for _, addr := range via {
		go func() {
			var got Member
			err := m.opts.Caller.Call(ctx, addr, MethodProbe, probeRequest{Address: t.addr}, &got)
			ok := err == nil && got.Host == t.host && got.validate() == nil
			if ok {
				m.mergeReply(got)
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

// mergeReply merges a member's record that a relay returned.
func (m *Membership) mergeReply(got Member) {
	m.change(func(now time.Time) []Member { return asList(m.table.Merge(now, got)) })
}

func (m *Membership) relaysFor(host string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts := m.table.hostsInState(Alive)
	hosts = slices.DeleteFunc(hosts, func(h string) bool { return h == host })
	m.shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var out []string
	for _, h := range hosts[:min(relayCount, len(hosts))] {
		out = append(out, m.table.records[h].PeerAddress)
	}
	return out
}

// announceDeparture sends a few peers the final record of a host that has left.
func (m *Membership) announceDeparture(ctx context.Context, wg *sync.WaitGroup) {
	m.mu.Lock()
	m.table.Exit()
	left := m.table.Self().State == Left
	hosts := m.table.hostsInState(Alive)
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
			ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, departureTimeout)
			defer cancel()
			_ = m.opts.Caller.Call(ctx, t.addr, MethodPing, m.compose(t.host, false), nil)
		})
	}
}
