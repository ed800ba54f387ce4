package control_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/control"
	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/platform"
	"github.com/corianderlever/corianderlever/rollout"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// host is one host's beliefs over a shared store.
type host struct {
	state    *control.State
	rollouts *control.Rollouts
	fleet    *fleet.Registry
	seen     int64
}

// world is a store with hosts in virtual time.
type world struct {
	t     *testing.T
	store *memkv.Store
	hosts []*host
	leads atomic.Int64
}

func newWorld(t *testing.T, n int) *world {
	w := &world{t: t, store: memkv.New(clockwork.NewRealClock())}
	for i := range n {
		h := &host{fleet: fleet.NewRegistry(time.Second)}
		stage := func() rollout.StageConfig { return rollout.StageConfig{ExposureShare: 0.15} }
		h.rollouts = control.NewRollouts(hostName(i), h.fleet, stage, func() int { return n }, clockwork.NewRealClock(), quiet)
		h.state = control.NewState(platform.Records{}, h.fleet, h.rollouts, clockwork.NewRealClock(), quiet)
		w.hosts = append(w.hosts, h)
	}
	for i, id := range []string{"av1", "bv1", "av2", "bv2"} {
		w.store.Put("servers/"+id, fmt.Appendf(nil,
			`{"Service":"s","Address":"10.0.0.1:%d","Zone":"z","Version":%q,"Slots":4,"State":"ready"}`, 100+i, id[1:]))
	}
	return w
}

func hostName(i int) string { return fmt.Sprint("host-", i) }

// sync hands each host what it has not seen of the store.
func (w *world) sync() {
	for _, h := range w.hosts {
		events, at, err := w.store.Changes(context.Background(), "", h.seen, 0)
		if err != nil {
			w.t.Fatal(err)
		}
		h.state.Apply(events, false)
		h.seen = max(h.seen, at)
	}
}

// gossip hands each host what the others know.
func (w *world) gossip() {
	for i, a := range w.hosts {
		for j, b := range w.hosts {
			if i != j {
				b.rollouts.MergeReports(hostName(i), a.rollouts.Reports())
				b.rollouts.MergeCanaryTallies(hostName(i), a.rollouts.CanaryTallies())
				b.rollouts.MergeBaselineSessions(a.rollouts.BaselineSessions())
			}
		}
	}
}

// run lets time pass with one coordinator and requests at each host.
func (w *world) run(d time.Duration, store kv.Feed, request func(h *host, version string)) {
	ctx, cancel := context.WithCancel(context.Background())
	for i, h := range w.hosts {
		c := &control.Coordinator{Rollouts: h.rollouts, Store: store, Codec: platform.Records{}, IsCoordinator: func() bool { return w.leads.Load() == int64(i) }, Announce: func(service string, step control.Step) {
			for _, other := range w.hosts {
				other.rollouts.MergeStep(service, step, hostName(i))
			}
		}}
		go func() { _ = c.Run(ctx) }()
	}
	point := 0.0
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		w.sync()
		w.gossip()
		for _, h := range w.hosts {
			point += 0.618
			request(h, h.rollouts.Pick("s", point-float64(int(point))))
		}
	}
	cancel()
	synctest.Wait()
	w.sync()
}

func (w *world) status() string {
	e, err := w.store.Get(context.Background(), "status/rollout/s")
	if err != nil {
		return ""
	}
	return string(e.Value)
}

const order = `{"Service":"s","Target":"v2","DurationS":10}`

// TestGoodVersionIsDone guards against a good version that is not published as
// done in its time, and against a host that still uses the old version then.
func TestGoodVersionIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.store.Put("op/rollout/s", []byte(order))
		w.run(9500*time.Millisecond, w.store, func(h *host, version string) {
			h.rollouts.Observe("s", version, rollout.Observation{Latency: 10 * time.Millisecond})
		})
		if got := w.status(); got != `{"State":"completed","Target":"v2"}` {
			t.Errorf("status %s", got)
		}
		for i, h := range w.hosts {
			if v := h.rollouts.Pick("s", 0.99); v != "v2" {
				t.Errorf("host %d uses %q", i, v)
			}
		}
	})
}

// TestBadVersionIsReverted guards against a bad version that goes on at hosts
// which saw little of it, and a verdict that a new host does not know.
func TestBadVersionIsReverted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.store.Put("op/rollout/s", []byte(order))
		exposed := 0
		w.run(9500*time.Millisecond, w.store, func(h *host, version string) {
			bad := version == "v2"
			if bad {
				exposed++
			}
			h.rollouts.Observe("s", version, rollout.Observation{Bad: bad})
		})
		if got := w.status(); got != `{"State":"reverted","Target":"v2"}` || exposed > 15 {
			t.Errorf("status %s after %d requests", got, exposed)
		}
		late := newWorld(t, 1)
		late.store = w.store
		late.sync()
		for _, h := range append(w.hosts, late.hosts...) {
			if v := h.rollouts.Pick("s", 0); v != "v1" {
				t.Errorf("a host uses %q", v)
			}
		}
	})
}

// lossy makes every write take effect and loses its answer.
type lossy struct{ *memkv.Store }

func (l lossy) Commit(ctx context.Context, writes []kv.Write) (int64, error) {
	if _, err := l.Store.Commit(ctx, writes); err != nil {
		return 0, err
	}
	return 0, errors.Wrap(kv.ErrUnknown, "answer lost")
}

// TestRolloutSurvivesLostAnswersAndNewCoordinators guards against a roll-out
// that halts when the answers of its writes are lost or its host is replaced.
func TestRolloutSurvivesLostAnswersAndNewCoordinators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.store.Put("op/rollout/s", []byte(order))
		steps := 0
		w.run(9500*time.Millisecond, lossy{w.store}, func(h *host, version string) {
			if steps++; steps%20 == 0 {
				w.leads.Store((w.leads.Load() + 1) % int64(len(w.hosts)))
			}
			h.rollouts.Observe("s", version, rollout.Observation{Latency: 10 * time.Millisecond})
		})
		if got := w.status(); got != `{"State":"completed","Target":"v2"}` {
			t.Errorf("status %s", got)
		}
	})
}

// TestCutOffHostLearnsOfTheVerdict guards against a host without the store that
// goes on sending requests to a reverted version.
func TestCutOffHostLearnsOfTheVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.sync()
		w.store.Put("op/rollout/s", []byte(order))
		w.sync()
		cut := w.hosts[2]
		w.hosts = w.hosts[:2]
		w.run(5*time.Second, w.store, func(h *host, version string) {
			h.rollouts.Observe("s", version, rollout.Observation{Bad: version == "v2"})
		})
		cut.rollouts.MergeReports(hostName(0), w.hosts[0].rollouts.Reports())
		if v := cut.rollouts.Pick("s", 0); v != "v1" {
			t.Errorf("the cut off host uses %q", v)
		}
	})
}

// TestConfigurationNeverReverts guards against an older configuration that
// replaces a newer one, and against a deleted or unreadable one that leaves none.
func TestConfigurationNeverReverts(t *testing.T) {
	w := newWorld(t, 1)
	s := w.hosts[0].state
	put := func(value string, deleted bool) {
		s.Apply([]kv.Event{{Entry: kv.Entry{Key: "op/config", Value: []byte(value)}, Deleted: deleted}}, false)
	}
	if _, ok := s.Table(); ok {
		t.Error("a table before the first configuration")
	}
	put(`{"Version":5}`, false)
	put(`{"Version":3}`, false)
	put(`{"Version":`, false)
	put(`{"Version":9,"Routes":[{"Prefix":"nowhere","Service":"s"}]}`, false)
	put("", true)
	if table, ok := s.Table(); !ok || table.Version() != 5 {
		t.Errorf("table %+v, %v", table, ok)
	}
	put(`{"Version":6}`, false)
	if table, _ := s.Table(); table.Version() != 6 {
		t.Errorf("version %d", table.Version())
	}
}

// TestUnreadableEntryRemovesItsEndpoint guards against requests to an endpoint
// whose entry another writer has replaced.
func TestUnreadableEntryRemovesItsEndpoint(t *testing.T) {
	w := newWorld(t, 1)
	w.sync()
	w.store.Put("servers/av1", []byte(`{"Service":"s"}`))
	w.sync()
	if _, ok := w.hosts[0].fleet.Endpoint("av1"); ok || w.hosts[0].fleet.Len() != 3 {
		t.Error("the endpoint is still used")
	}
}

// TestEvidenceTravelsThroughHosts guards against a large fleet in which each
// host sees too few bad answers to stop a version, because it hears of others
// only directly.
func TestEvidenceTravelsThroughHosts(t *testing.T) {
	const hosts = 12
	w := newWorld(t, hosts)
	revision := w.store.Put("op/rollout/s", []byte(order))
	w.sync()
	last := w.hosts[hosts-1].rollouts
	last.MergeStep("s", control.Step{Order: revision, Target: "v2", State: rollout.OrderRunning, Share: 0.5}, hostName(0))
	if got := last.Pick("s", 0.1); got != "v2" {
		t.Fatalf("uses %s on trial", got)
	}
	for _, h := range w.hosts {
		for range 10 {
			h.rollouts.Observe("s", "v1", rollout.Observation{})
		}
		h.rollouts.Observe("s", "v2", rollout.Observation{Bad: true})
	}
	for i := 1; i < hosts; i++ { // each host hears of the one before it alone
		w.hosts[i].rollouts.MergeReports(hostName(i-1), w.hosts[i-1].rollouts.Reports())
		w.hosts[i].rollouts.MergeCanaryTallies(hostName(i-1), w.hosts[i-1].rollouts.CanaryTallies())
	}
	known := last.CanaryTallies()["s"]
	const header, entry = 8, 6
	if got := (len(known) - header) / entry; got != hosts {
		t.Errorf("the last host knows of %d hosts, itself included", got)
	}
	if got := last.Pick("s", 0.1); got != "v1" {
		t.Errorf("the last host uses %s after %d bad answers", got, hosts)
	}
	last.MergeReports(hostName(0), w.hosts[0].rollouts.Reports())
	last.MergeCanaryTallies(hostName(0), w.hosts[0].rollouts.CanaryTallies())
	for again := last.CanaryTallies()["s"][header:]; len(again) > 0; again = again[entry:] {
		if again[4] != 0 || again[5] != 1 {
			t.Errorf("one bad answer counted as %d good, %d bad", again[4], again[5])
		}
	}
}

// TestSessionsKeepTheirVersionWhenARolloutBegins guards against sessions that
// change their version in the first half of a roll-out: each of their requests
// comes to another host, and the first stage takes those whose points lie low.
func TestSessionsKeepTheirVersionWhenARolloutBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 6
		w := newWorld(t, hosts)
		points := make([]float64, 240) // each session makes a request every 4 s
		for i := range points {
			points[i] = 0.001 * float64(i)
		}
		versions := make(map[float64]string)
		served := make(map[string]int)
		turn := 0
		request := func(*host, string) {
			turn++
			i := turn % len(points)
			if i == 0 { // a new session begins
				points[i] += 1e-6
			}
			host := w.hosts[(turn/len(points)+i)%hosts]
			got := cmp.Or(host.rollouts.Pick("s", points[i]), "v1")
			if was, ok := versions[points[i]]; ok && was != got {
				t.Errorf("session %.6f moved from %s to %s", points[i], was, got)
			}
			versions[points[i]] = got
			served[got]++
		}
		w.run(15*time.Second, w.store, request)
		w.store.Put("op/rollout/s", []byte(`{"Service":"s","Target":"v2","DurationS":60}`))
		w.run(28*time.Second, w.store, request)
		if served["v2"] == 0 {
			t.Error("no new session used the target")
		}
	})
}

// TestRestartedCoordinatorKeepsTheTime guards against a good version that is
// done too late: the host that coordinates has started again and takes the order
// for a new one.
func TestRestartedCoordinatorKeepsTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.store.Put("op/rollout/s", []byte(order))
		request := func(h *host, version string) { h.rollouts.Observe("s", version, rollout.Observation{}) }
		w.run(5*time.Second, w.store, request)
		w.hosts[0] = newWorld(t, 1).hosts[0]
		w.run(5*time.Second, w.store, request)
		if got := w.status(); !strings.Contains(got, "completed") {
			t.Errorf("status after the time of the order: %s", got)
		}
	})
}
