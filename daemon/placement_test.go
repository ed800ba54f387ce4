package daemon

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/lease"
	"github.com/corianderlever/corianderlever/resource"
)

// placementModel simulates the engines and the lease, and checks each order.
type placementModel struct {
	t       *rapid.T
	clock   *clockwork.FakeClock
	start   time.Time
	token   lease.Token
	state   map[string]resource.VersionState
	since   map[string]time.Time // by version, the time of its withdrawal
	loads   int
	mu      sync.Mutex
	loaded  map[string][]string     // by engine address
	unknown map[string]engine.Order // by engine address, orders without effect yet
	sent    map[string]time.Time
}

const (
	modelLoadsPerMinute = 6
	unfencedEngine      = "10.0.0.3:1"
)

var modelEngines = []string{"10.0.0.1:1", "10.0.0.2:1", unfencedEngine}

func (m *placementModel) Token() (lease.Token, bool) { return m.token, true }

func (m *placementModel) Guard(ctx context.Context, fn func(context.Context, int64) error) error {
	return fn(ctx, m.token.Fencing)
}

func (m *placementModel) Load(_ context.Context, addr string) (engine.LoadReport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return engine.LoadReport{Versions: slices.Clone(m.loaded[addr])}, nil
}

// SendOrder checks the order. It takes effect in settle.
func (m *placementModel) SendOrder(_ context.Context, addr string, o engine.Order) error {
	now := m.clock.Now()
	if addr == unfencedEngine && now.Sub(m.token.AcquiredAt) < lease.DefaultTTL+orderTimeout {
		m.t.Fatalf("order to an engine without fencing %v after the role was taken", now.Sub(m.token.AcquiredAt))
	}
	if last, ok := m.unknown[addr]; ok && m.sent[addr].After(m.token.AcquiredAt) && now.Sub(m.sent[addr]) < effectTimeout {
		m.t.Fatalf("%v to %s while the effect of %v is pending", o, addr, last)
	}
	if o.Fencing != m.token.Fencing {
		m.t.Fatalf("fencing token %d, want %d, the token of the role", o.Fencing, m.token.Fencing)
	}
	withdrawn := m.state[o.Version] == resource.VersionWithdrawn
	if o.Kind == engine.OrderLoad {
		m.loads++
		if allowed := modelLoadsPerMinute * now.Sub(m.start).Minutes(); withdrawn || float64(m.loads) > allowed+1e-9 {
			m.t.Fatalf("load %d of %s (withdrawn %t), the store allows %.2f", m.loads, o.Version, withdrawn, allowed)
		}
	} else if !withdrawn || now.Sub(m.since[o.Version]) < withdrawalGrace {
		m.t.Fatalf("unload of %s in state %s", o.Version, m.state[o.Version])
	}
	m.unknown[addr], m.sent[addr] = o, now
	return nil
}

// settle lets the order at an engine take effect.
func (m *placementModel) settle(addr string) {
	o, ok := m.unknown[addr]
	if !ok {
		return
	}
	delete(m.unknown, addr)
	m.loaded[addr] = slices.DeleteFunc(m.loaded[addr], func(v string) bool { return v == o.Version })
	if o.Kind == engine.OrderLoad {
		m.loaded[addr] = append(m.loaded[addr], o.Version)
	}
}

func (m *placementModel) snapshot() *resource.Snapshot {
	list := []resource.Resource{
		{Kind: resource.KindModel, Name: "m", Spec: &resource.Model{}},
		{Kind: resource.KindRank, Name: "urgent", Spec: &resource.Rank{Deadline: resource.Duration(time.Second), MaxWait: resource.Duration(time.Second), Default: true}},
		{Kind: resource.KindRank, Name: "batch", Spec: &resource.Rank{Priority: 1, Deadline: resource.Duration(time.Minute), MaxWait: resource.Duration(time.Second)}},
	}
	for v, state := range m.state {
		list = append(list, resource.Resource{Kind: resource.KindVersion, Name: v, Spec: &resource.Version{Model: "m", State: state}})
	}
	for _, addr := range modelEngines {
		list = append(list, resource.Resource{Kind: resource.KindEndpoint, Name: "engine-" + addr[:8], Spec: &resource.Endpoint{
			Address: addr, FailureDomain: "a", State: resource.EndpointActive, Versions: []string{"v1", "v2"},
			Concurrency: 4, ChecksFencing: addr != unfencedEngine,
		}})
	}
	snap, err := resource.NewSnapshot(1, list)
	if err != nil {
		m.t.Fatal(err)
	}
	return snap
}

// TestPlacerOrders guards against orders to engines without fencing that could be
// mistaken for orders of an earlier holder, two pending orders at one engine, loads
// above the rate limit of the weight store, withdrawn versions that are loaded or
// stay loaded, and serving versions that stay unloaded on all engines.
func TestPlacerOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		m := &placementModel{
			t: t, clock: clock, start: clock.Now(), token: lease.Token{Fencing: 1, AcquiredAt: clock.Now()},
			state: map[string]resource.VersionState{"v1": resource.VersionServing, "v2": resource.VersionServing},
			since: make(map[string]time.Time), loaded: make(map[string][]string),
			unknown: make(map[string]engine.Order), sent: make(map[string]time.Time),
		}
		opts := &Options{
			Clock: clock, Logger: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
			Settings: config.Settings{Platform: config.Platform{WeightLoadsPerMinute: modelLoadsPerMinute}},
		}
		for _, e := range modelEngines {
			m.loaded[e] = []string{"v1", "v2"}
		}
		demand := newDemandCounter(clock)
		p := newPlacer(opts, m.snapshot, demand, m, m)
		round := func() {
			clock.Advance(placementInterval)
			p.runRound(context.Background())
		}
		engineOf := rapid.SampledFrom(modelEngines)
		version := rapid.SampledFrom([]string{"v1", "v2"})
		t.Repeat(map[string]func(*rapid.T){
			"round":  func(*rapid.T) { round() },
			"settle": func(t *rapid.T) { m.settle(engineOf.Draw(t, "engine")) },
			"ask":    func(t *rapid.T) { demand.Arrived(version.Draw(t, "version"), "batch") },
			"lose": func(t *rapid.T) {
				v, e := version.Draw(t, "version"), engineOf.Draw(t, "engine")
				if o := m.unknown[e]; o.Kind == engine.OrderUnload && o.Version == v {
					m.settle(e) // a report cannot distinguish the loss from the order's effect
				}
				m.loaded[e] = slices.DeleteFunc(m.loaded[e], func(have string) bool { return have == v })
			},
			"withdraw": func(t *rapid.T) {
				v := version.Draw(t, "version")
				if m.state[v] != resource.VersionWithdrawn {
					m.state[v], m.since[v] = resource.VersionWithdrawn, clock.Now()
				}
			},
			"new holder": func(*rapid.T) {
				m.token = lease.Token{Fencing: m.token.Fencing + 1, AcquiredAt: clock.Now()}
				clear(m.unknown) // late orders are fenced or waited for
			},
		})
		for n := range 90 {
			for v := range m.state {
				demand.Arrived(v, "batch")
			}
			round()
			if n%3 == 0 {
				m.settle(modelEngines[n/3%len(modelEngines)])
			}
		}
		for v, state := range m.state {
			n := 0
			for _, e := range modelEngines {
				if slices.Contains(m.loaded[e], v) {
					n++
				}
			}
			if (n > 0) != (state == resource.VersionServing) {
				t.Fatalf("%s version %s is loaded on %d engines: %v", state, v, n, m.loaded)
			}
		}
	})
}
