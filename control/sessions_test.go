package control_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderlever/corianderlever/control"
	"github.com/corianderlever/corianderlever/rollout"
)

// activeSession is a session whose requests each reach another host.
type activeSession struct {
	point     float64
	remaining int // requests
	host      int // the next host
	version   string
}

// TestSessionsThatBeginBeforeTheFirstStageKeepTheirVersion guards against a session that begins
// between an order and the first stage, less than a heartbeat before that, and changes its
// version because a host has not heard of it; also while the target has no endpoints at first.
func TestSessionsThatBeginBeforeTheFirstStageKeepTheirVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, active, requests = 6, 12, 20
		tc := newTestCluster(t, hosts)
		tc.heartbeat = 1200 * time.Millisecond
		tc.announceSessions()
		targets := map[string][]byte{}
		for _, id := range []string{"av2", "bv2"} {
			e, err := tc.store.Get(t.Context(), "servers/"+id)
			if err != nil {
				t.Fatal(err)
			}
			targets["servers/"+id] = e.Value
			if err := tc.store.Delete(t.Context(), "servers/"+id, e.Revision); err != nil {
				t.Fatal(err)
			}
		}
		rng := rand.New(rand.NewPCG(1, 1))
		sessions := make([]activeSession, active)
		for i := range sessions {
			sessions[i] = activeSession{point: rng.Float64() / 50, remaining: i * requests / active, host: i}
		}
		served, turn := map[string]int{}, 0
		request := func(*host, string) {
			turn++
			s := &sessions[turn%active]
			if s.remaining == 0 {
				*s = activeSession{point: rng.Float64() / 50, remaining: requests, host: rng.IntN(hosts)}
			}
			got := cmp.Or(tc.hosts[s.host%hosts].rollouts.Pick("s", s.point), "v1")
			if s.version != "" && s.version != got {
				t.Errorf("session %.6f moved from %s to %s", s.point, s.version, got)
			}
			s.version = got
			s.remaining--
			s.host++
			served[got]++
		}
		tc.run(10*time.Second, tc.store, request)
		tc.store.Put("op/rollout/s", []byte(`{"Service":"s","Target":"v2","DurationS":16}`))
		tc.run(600*time.Millisecond, tc.store, request)
		for key, value := range targets {
			tc.store.Put(key, value)
		}
		tc.run(7*time.Second, tc.store, request)
		if served["v2"] == 0 {
			t.Error("no session was served by the target")
		}
	})
}

// orderToTrial orders a roll-out of a service "s" and brings it to its first stage at all hosts.
func (tc *testCluster) orderToTrial(target string) (revision int64) {
	revision = tc.store.Put("op/rollout/s", fmt.Appendf(nil, `{"Service":"s","Target":%q,"DurationS":10}`, target))
	tc.sync()
	tc.mergeStep(control.Step{Order: revision, Target: target, State: rollout.OrderRunning, Share: 0.075})
	tc.gossip()
	time.Sleep(time.Second)
	return revision
}

func (tc *testCluster) mergeStep(step control.Step) {
	for _, h := range tc.hosts {
		h.rollouts.MergeStep("s", step, "coordinator")
	}
}

// TestSessionsOfACompletedRolloutKeepItsTarget guards against a session that moves to the next
// target in the first half of its roll-out, because the version that serves it was itself the
// target of a roll-out when its last request began.
func TestSessionsOfACompletedRolloutKeepItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 2)
		tc.store.Put("servers/av3", []byte(`{"Service":"s","Address":"10.0.0.1:200","Zone":"z","Version":"v3","Slots":4,"State":"ready"}`))
		first := tc.orderToTrial("v2")
		const point = 0.02
		if got := tc.hosts[0].rollouts.Pick("s", point); got != "v2" {
			t.Fatalf("got %s in the first stage, want the target v2", got)
		}
		tc.mergeStep(control.Step{Order: first, Target: "v2", State: rollout.OrderDone, Share: 1})
		for _, id := range []string{"av1", "bv1"} {
			tc.store.Drop("servers/" + id)
		}
		tc.orderToTrial("v3")
		for i, h := range tc.hosts {
			if got := h.rollouts.Pick("s", point); got != "v2" {
				t.Errorf("host %d serves the session with %s, want v2", i, got)
			}
		}
	})
}

// TestEndedSessionsAreForgotten guards against a session that changes its version from host to
// host, because one of them has served it long before the order and the others don't know it.
func TestEndedSessionsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 2)
		tc.sync()
		const point = 0.02
		tc.hosts[0].rollouts.Pick("s", point)
		time.Sleep(time.Minute)
		tc.orderToTrial("v2")
		for i, h := range tc.hosts {
			if got := h.rollouts.Pick("s", point); got != "v2" {
				t.Errorf("host %d serves the session with %s, want v2", i, got)
			}
		}
	})
}
