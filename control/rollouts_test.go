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

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// host is one host's view of a shared store.
type host struct {
	state    *control.State
	rollouts *control.Rollouts
	fleet    *fleet.Registry
	revision int64 // revision up to which the state is applied
}

// testCluster is a store and the hosts that follow it, in virtual time.
type testCluster struct {
	t           *testing.T
	store       *memkv.Store
	hosts       []*host
	coordinator atomic.Int64 // index of the active coordinator
	// heartbeat is the time between two exchanges of the hosts' counts, gossiped the time
	// of the last one.
	heartbeat time.Duration
	gossiped  time.Time
	// refused, if set, is called for each request that run could send nowhere.
	refused func()
}

func newTestCluster(t *testing.T, n int) *testCluster {
	tc := &testCluster{t: t, store: memkv.New(clockwork.NewRealClock())}
	for i := range n {
		h := &host{fleet: fleet.NewRegistry(time.Second)}
		stage := func() rollout.StageConfig { return rollout.StageConfig{ExposureShare: 0.15, ExposureTolerance: 30} }
		h.rollouts = control.NewRollouts(hostName(i), h.fleet, stage, func() int { return n }, clockwork.NewRealClock(), discardLog)
		h.state = control.NewState(platform.Records{}, h.fleet, h.rollouts, clockwork.NewRealClock(), discardLog)
		tc.hosts = append(tc.hosts, h)
	}
	for i, id := range []string{"av1", "bv1", "av2", "bv2"} {
		tc.store.Put("servers/"+id, fmt.Appendf(nil,
			`{"Service":"s","Address":"10.0.0.1:%d","Zone":"z","Version":%q,"Slots":4,"State":"ready"}`, 100+i, id[1:]))
	}
	return tc
}

func hostName(i int) string { return fmt.Sprint("host-", i) }

// sync applies to each host the store changes after its revision.
func (tc *testCluster) sync() {
	for _, h := range tc.hosts {
		events, revision, err := tc.store.Changes(context.Background(), "", h.revision, 0)
		if err != nil {
			tc.t.Fatal(err)
		}
		h.state.Apply(events, false)
		h.revision = max(h.revision, revision)
	}
}

// gossip delivers each host's reports, canary tallies and sessions to all others.
func (tc *testCluster) gossip() {
	for i, a := range tc.hosts {
		for j, b := range tc.hosts {
			if i != j {
				b.rollouts.MergeReports(hostName(i), a.rollouts.Reports())
				b.rollouts.MergeCanaryTallies(hostName(i), a.rollouts.CanaryTallies())
				b.rollouts.MergeBaselineSessions(a.rollouts.BaselineSessions())
			}
		}
	}
}

// announceSessions delivers the sessions that a host announces to all others at once.
func (tc *testCluster) announceSessions() {
	for _, h := range tc.hosts {
		h.rollouts.OnBaselineSession = func(service string, key uint32) {
			for _, other := range tc.hosts {
				if other != h {
					other.rollouts.MergeBaselineSessions(map[string][]uint32{service: {key}})
				}
			}
		}
	}
}

// run advances the time by d, with a coordinator at each host, of which one is
// active, and one request per host every 100 ms.
func (tc *testCluster) run(d time.Duration, store kv.Feed, request func(h *host, version string)) {
	ctx, cancel := context.WithCancel(context.Background())
	for i, h := range tc.hosts {
		c := &control.Coordinator{Rollouts: h.rollouts, Store: store, Codec: platform.Records{}, IsCoordinator: func() bool { return tc.coordinator.Load() == int64(i) }, Announce: func(service string, step control.Step) {
			for _, other := range tc.hosts {
				other.rollouts.MergeStep(service, step, hostName(i))
			}
		}}
		go func() { _ = c.Run(ctx) }()
	}
	point := 0.0
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		tc.sync()
		if time.Since(tc.gossiped) >= tc.heartbeat {
			tc.gossiped = time.Now()
			tc.gossip()
		}
		for _, h := range tc.hosts {
			point += 0.618
			if version, ok := send(h, "s", point-float64(int(point))); ok {
				request(h, version)
			} else if tc.refused != nil {
				tc.refused()
			}
		}
	}
	cancel()
	synctest.Wait()
	tc.sync()
}

// send chooses the version for a session and counts an attempt there, as the relay does. It
// returns false if the attempt is refused.
func send(h *host, service string, point float64) (version string, ok bool) {
	version = h.rollouts.Pick(service, point)
	a := h.rollouts.Admit(service, version, point)
	if a.Admitted || a.Instead == "" {
		return version, a.Admitted
	}
	return a.Instead, h.rollouts.Admit(service, a.Instead, point).Admitted
}

func (tc *testCluster) status() string {
	e, err := tc.store.Get(context.Background(), "status/rollout/s")
	if err != nil {
		return ""
	}
	return string(e.Value)
}

const order = `{"Service":"s","Target":"v2","DurationS":10}`

// TestGoodVersionCompletes guards against a good version that is not published as
// completed within the ordered time, and against a host that still uses the old
// version afterwards.
func TestGoodVersionCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		tc.store.Put("op/rollout/s", []byte(order))
		tc.run(9500*time.Millisecond, tc.store, func(h *host, version string) {
			h.rollouts.Observe("s", version, rollout.Observation{Latency: 10 * time.Millisecond})
		})
		if got := tc.status(); got != `{"State":"completed","Target":"v2"}` {
			t.Errorf("got status %s, want completed", got)
		}
		for i, h := range tc.hosts {
			if v := h.rollouts.Pick("s", 0.99); v != "v2" {
				t.Errorf("host %d uses %q, want v2", i, v)
			}
		}
	})
}

// TestBadVersionIsReverted guards against a bad version that stays in use at hosts
// with few samples of it, and against a new host that does not learn the verdict.
func TestBadVersionIsReverted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		tc.store.Put("op/rollout/s", []byte(order))
		exposed := 0
		tc.run(9500*time.Millisecond, tc.store, func(h *host, version string) {
			bad := version == "v2"
			if bad {
				exposed++
			}
			h.rollouts.Observe("s", version, rollout.Observation{Bad: bad})
		})
		if got := tc.status(); got != `{"State":"reverted","Target":"v2"}` || exposed > 15 {
			t.Errorf("got status %s after %d requests to v2, want reverted after at most 15", got, exposed)
		}
		newHost := newTestCluster(t, 1)
		newHost.store = tc.store
		newHost.sync()
		for _, h := range append(tc.hosts, newHost.hosts...) {
			if v := h.rollouts.Pick("s", 0); v != "v1" {
				t.Errorf("a host uses %q, want v1", v)
			}
		}
	})
}

// lossy applies every write and loses its reply.
type lossy struct{ *memkv.Store }

func (l lossy) Commit(ctx context.Context, writes []kv.Write) (int64, error) {
	if _, err := l.Store.Commit(ctx, writes); err != nil {
		return 0, err
	}
	return 0, errors.Wrap(kv.ErrUnknown, "reply lost")
}

// TestRolloutCompletesWithLostRepliesAndNewCoordinators guards against a roll-out
// that halts when the replies to its writes are lost or the coordinator changes.
func TestRolloutCompletesWithLostRepliesAndNewCoordinators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		tc.store.Put("op/rollout/s", []byte(order))
		steps := 0
		tc.run(9500*time.Millisecond, lossy{tc.store}, func(h *host, version string) {
			if steps++; steps%20 == 0 {
				tc.coordinator.Store((tc.coordinator.Load() + 1) % int64(len(tc.hosts)))
			}
			h.rollouts.Observe("s", version, rollout.Observation{Latency: 10 * time.Millisecond})
		})
		if got := tc.status(); got != `{"State":"completed","Target":"v2"}` {
			t.Errorf("got status %s, want completed", got)
		}
	})
}

// TestHostWithoutStoreLearnsVerdictFromPeers guards against a host without access
// to the store that keeps sending requests to a reverted version.
func TestHostWithoutStoreLearnsVerdictFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		tc.sync()
		tc.store.Put("op/rollout/s", []byte(order))
		tc.sync()
		isolated := tc.hosts[2]
		tc.hosts = tc.hosts[:2]
		tc.run(5*time.Second, tc.store, func(h *host, version string) {
			h.rollouts.Observe("s", version, rollout.Observation{Bad: version == "v2"})
		})
		isolated.rollouts.MergeReports(hostName(0), tc.hosts[0].rollouts.Reports())
		if v := isolated.rollouts.Pick("s", 0); v != "v1" {
			t.Errorf("host without the store uses %q, want v1", v)
		}
	})
}

// TestConfigurationVersionNeverFalls guards against an older configuration that
// replaces a newer one, and against a deleted or malformed one that leaves none.
func TestConfigurationVersionNeverFalls(t *testing.T) {
	tc := newTestCluster(t, 1)
	s := tc.hosts[0].state
	put := func(value string, deleted bool) {
		s.Apply([]kv.Event{{Entry: kv.Entry{Key: "op/config", Value: []byte(value)}, Deleted: deleted}}, false)
	}
	if _, ok := s.Table(); ok {
		t.Error("got a routing table before the first configuration")
	}
	put(`{"Version":5}`, false)
	put(`{"Version":3}`, false)
	put(`{"Version":`, false)
	put(`{"Version":9,"Routes":[{"Prefix":"nowhere","Service":"s"}]}`, false)
	put("", true)
	if table, ok := s.Table(); !ok || table.Version() != 5 {
		t.Errorf("got table %+v, %v, want version 5", table, ok)
	}
	put(`{"Version":6}`, false)
	if table, _ := s.Table(); table.Version() != 6 {
		t.Errorf("got version %d, want 6", table.Version())
	}
}

// TestMalformedEntryRemovesEndpoint guards against requests to an endpoint whose
// entry another writer has replaced with one that cannot be decoded.
func TestMalformedEntryRemovesEndpoint(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.sync()
	tc.store.Put("servers/av1", []byte(`{"Service":"s"}`))
	tc.sync()
	if _, ok := tc.hosts[0].fleet.Endpoint("av1"); ok || tc.hosts[0].fleet.Len() != 3 {
		t.Error("endpoint av1 is still registered, or another one was removed")
	}
}

// TestCanaryTalliesAreForwarded guards against a bad version that stays in use in
// a large fleet: each host gets too few bad answers to stop it if it receives
// tallies only from the hosts that report to it directly.
func TestCanaryTalliesAreForwarded(t *testing.T) {
	const hosts = 12
	tc := newTestCluster(t, hosts)
	revision := tc.store.Put("op/rollout/s", []byte(order))
	tc.sync()
	last := tc.hosts[hosts-1].rollouts
	last.MergeStep("s", control.Step{Order: revision, Target: "v2", State: rollout.OrderRunning, Share: 0.5}, hostName(0))
	if got := last.Pick("s", 0.1); got != "v2" {
		t.Fatalf("got version %s while the roll-out runs, want v2", got)
	}
	for _, h := range tc.hosts {
		for range 10 {
			h.rollouts.Observe("s", "v1", rollout.Observation{})
		}
		h.rollouts.Observe("s", "v2", rollout.Observation{Bad: true})
	}
	for i := 1; i < hosts; i++ { // each host receives only from the one before it
		tc.hosts[i].rollouts.MergeReports(hostName(i-1), tc.hosts[i-1].rollouts.Reports())
		tc.hosts[i].rollouts.MergeCanaryTallies(hostName(i-1), tc.hosts[i-1].rollouts.CanaryTallies())
	}
	known := last.CanaryTallies()["s"]
	const header, entry = 8, 7
	if got := (len(known) - header) / entry; got != hosts {
		t.Errorf("the last host has the tallies of %d hosts, itself included; want all", got)
	}
	if got := last.Pick("s", 0.1); got != "v1" {
		t.Errorf("the last host uses %s after %d bad answers, want v1", got, hosts)
	}
	last.MergeReports(hostName(0), tc.hosts[0].rollouts.Reports())
	last.MergeCanaryTallies(hostName(0), tc.hosts[0].rollouts.CanaryTallies())
	for digest := last.CanaryTallies()["s"][header:]; len(digest) > 0; digest = digest[entry:] {
		if digest[4] != 0 || digest[5] != 1 || digest[6] != 0 {
			t.Errorf("one bad answer counted as %d good, %d bad, %d slow", digest[4], digest[5], digest[6])
		}
	}
}

// TestSessionsKeepTheirVersionWhenRolloutBegins guards against sessions that change
// their version in the first half of a roll-out: each of their requests reaches
// another host, and the canary stage exposes the points below its share.
func TestSessionsKeepTheirVersionWhenRolloutBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 6
		tc := newTestCluster(t, hosts)
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
			host := tc.hosts[(turn/len(points)+i)%hosts]
			got := cmp.Or(host.rollouts.Pick("s", points[i]), "v1")
			if was, ok := versions[points[i]]; ok && was != got {
				t.Errorf("session %.6f moved from %s to %s", points[i], was, got)
			}
			versions[points[i]] = got
			served[got]++
		}
		tc.run(15*time.Second, tc.store, request)
		tc.store.Put("op/rollout/s", []byte(`{"Service":"s","Target":"v2","DurationS":60}`))
		tc.run(28*time.Second, tc.store, request)
		if served["v2"] == 0 {
			t.Error("no new session was served by the target")
		}
	})
}

// TestRestartedCoordinatorKeepsElapsedTime guards against a good version that
// completes too late, because the coordinator has restarted and takes the order
// for a new one.
func TestRestartedCoordinatorKeepsElapsedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		tc.store.Put("op/rollout/s", []byte(order))
		request := func(h *host, version string) { h.rollouts.Observe("s", version, rollout.Observation{}) }
		tc.run(5*time.Second, tc.store, request)
		tc.hosts[0] = newTestCluster(t, 1).hosts[0]
		tc.run(5*time.Second, tc.store, request)
		if got := tc.status(); !strings.Contains(got, "completed") {
			t.Errorf("status after the ordered time: %s, want completed", got)
		}
	})
}

// TestAnswersBeforeAndAfterARestartCount guards against a bad version that stays in use, and
// against requests that do not count towards its exposure, because a host that has
// restarted counts anew and its counts stay below those from before for a while.
func TestAnswersBeforeAndAfterARestartCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 2)
		revision := tc.store.Put("op/rollout/s", []byte(order))
		tc.sync()
		observer := tc.hosts[0].rollouts
		observer.MergeStep("s", control.Step{Order: revision, Target: "v2", State: rollout.OrderRunning, Share: 0.5}, hostName(1))
		for range 2 {
			for range 20 {
				tc.hosts[1].rollouts.Observe("s", "v1", rollout.Observation{})
			}
			for range 3 {
				tc.hosts[1].rollouts.Observe("s", "v2", rollout.Observation{Bad: true})
			}
			tc.gossip()
			time.Sleep(time.Second)
			restarted := newTestCluster(t, 2).hosts[1]
			tc.hosts[1] = restarted
			tc.sync()
		}
		if got := observer.Pick("s", 0.1); got != "v1" {
			t.Errorf("uses %s after six bad answers of a host that has restarted, want v1", got)
		}
	})
}
