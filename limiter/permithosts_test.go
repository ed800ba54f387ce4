package limiter_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/membership"
)

const (
	permitStep = 20 * time.Millisecond
	// toldAfter is the time after which a host that has passed on an answer with a limit
	// counts.
	toldAfter = 500 * time.Millisecond
)

// disturbedPermits simulates hosts that are killed, frozen and cut off and send to one
// endpoint with a rate limit.
type disturbedPermits struct {
	hostFaults
	names   []string
	permits []*limiter.Permits
	// incarnations rise at the end of each fault, as if others had suspected the host.
	incarnations []int64
	told         []time.Time // when each host first passed on an answer; zero for never
	rate         float64
	sent         []time.Time // by the hosts in touch that were told
}

func newDisturbedPermits(seed uint64, hosts int, rate float64) *disturbedPermits {
	f := &disturbedPermits{hostFaults: hostFaults{clock: clockwork.NewFakeClockAt(epoch), rng: rand.New(rand.NewPCG(seed, 1))}, rate: rate}
	f.incarnations = make([]int64, hosts)
	f.faults, f.told, f.permits = make([]hostFault, hosts), make([]time.Time, hosts), make([]*limiter.Permits, hosts)
	for host := range hosts {
		f.names = append(f.names, fmt.Sprint(host))
		f.faults[host].noticeAfter = time.Second/2 + time.Duration(f.rng.Int64N(int64(4*time.Second)))
		f.startHost(host)
	}
	return f
}

func (f *disturbedPermits) startHost(host int) {
	f.permits[host] = limiter.NewPermits(f.clock, slog.New(slog.DiscardHandler), disturbedPeers{f, host})
	f.told[host] = time.Time{}
}

// disturbedPeers is the limiter.PermitPeers of one host.
type disturbedPeers struct {
	fleet *disturbedPermits
	host  int
}

func (p disturbedPeers) members() []membership.Member {
	var out []membership.Member
	for other := range p.fleet.faults {
		if other == p.host || p.fleet.seesAlive(p.host, other) {
			out = append(out, membership.Member{Host: p.fleet.names[other]})
		}
	}
	return out
}

func (p disturbedPeers) Granter(endpoint string) (string, bool) {
	members := p.members()
	if 2*len(members) <= len(p.fleet.names) {
		return "", false
	}
	m, _ := membership.Responsible(endpoint, members)
	if m.Host == p.fleet.names[p.host] {
		return "", true
	}
	return m.Host, true
}

func (p disturbedPeers) Ask(_ context.Context, host string, req limiter.PermitRequest) (limiter.PermitReply, error) {
	other := slices.Index(p.fleet.names, host)
	if f := p.fleet; f.faults[p.host].kind == hostSound && f.faults[other].kind == hostSound {
		return f.permits[other].Grant(req), nil
	}
	return limiter.PermitReply{}, errNoAnswer
}

func (p disturbedPeers) SharesCold(string) bool { return p.host < 3 }

func (p disturbedPeers) Hosts() int { return len(p.fleet.faults) }

func (p disturbedPeers) Incarnation() int64 { return p.fleet.incarnations[p.host] }

// step lets hosts end their faults and send.
func (f *disturbedPermits) step() {
	f.clock.Advance(permitStep)
	f.end(func(host int, kind hostFaultKind) {
		f.incarnations[host]++
		if kind == hostKilled {
			f.startHost(host)
		}
	})
	for range 3 { // 150 attempts a second
		f.send(f.rng.IntN(len(f.permits)))
	}
}

func (f *disturbedPermits) send(host int) {
	now := f.clock.Now()
	if f.faults[host].kind.stopsHost() || f.permits[host].Acquire(context.Background(), "e") > 0 {
		return
	}
	if told := f.told[host]; !told.IsZero() && now.Sub(told) >= toldAfter && f.inTouch(host) {
		f.sent = append(f.sent, now)
	}
	if f.told[host].IsZero() {
		f.told[host] = now
	}
	f.permits[host].Observe("e", now, f.rate)
}

// mostIn returns the most requests sent in a window.
func mostIn(sent []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// check disturbs the hosts every few steps. The endpoint must not get more in some 4 s than
// one and a half times its limit and five requests.
func (f *disturbedPermits) check(t rapid.TB, faultEvery int) {
	const window = 4 * time.Second
	for n := range 1500 {
		if n%faultEvery == faultEvery-1 {
			f.start()
		}
		f.step()
	}
	if n, allowed := mostIn(f.sent, window), 1.5*window.Seconds()*f.rate+5; float64(n) > allowed {
		t.Errorf("%d hosts sent %d requests in %v, want at most %v", len(f.permits), n, window, allowed)
	}
}

// TestDisturbedHostsKeepTheNamedLimit guards against an endpoint that gets more than its
// limit while hosts are killed, frozen, cut off and started anew, and the others notice
// it and their return at different times, so that several hosts grant its permits.
func TestDisturbedHostsKeepTheNamedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newDisturbedPermits(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{7, 12, 60}).Draw(t, "hosts"),
			rapid.SampledFrom([]float64{0.3, 1, 1.1, 5, 40}).Draw(t, "rate")).check(t, rapid.IntRange(50, 400).Draw(t, "steps between faults"))
	})
}

// TestDisturbedHostsKeepTheNamedLimitInFoundCases guards against cases found in fleets of 7 to
// 295 hosts: a granter that returns grants beside its successor, and hosts that were cut off
// grant to themselves until they have noticed the others.
func TestDisturbedHostsKeepTheNamedLimitInFoundCases(t *testing.T) {
	for _, c := range []struct {
		seed              uint64
		hosts, faultEvery int
		rate              float64
	}{
		{seed: 15, hosts: 7, rate: 5, faultEvery: 360},
		{seed: 12, hosts: 12, rate: 40, faultEvery: 300},
		{seed: 5, hosts: 60, rate: 40, faultEvery: 160},
		{seed: 2, hosts: 295, rate: 1, faultEvery: 100},
	} {
		newDisturbedPermits(c.seed, c.hosts, c.rate).check(t, c.faultEvery)
	}
}
