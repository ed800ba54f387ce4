package control_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderlever/corianderlever/feed"
	"github.com/corianderlever/corianderlever/rollout"
)

// list applies a listing of the store to each host.
func (tc *testCluster) list() {
	for _, h := range tc.hosts {
		entries, revision, err := tc.store.List(context.Background(), "")
		if err != nil {
			tc.t.Fatal(err)
		}
		h.state.Reset(feed.Listing{Entries: entries, Revision: revision, AfterOutage: true})
		h.revision = revision
	}
}

// TestRevertedVersionStaysRevertedOverARestore guards against a bad version that gets
// requests once more, because the store was restored from a copy from before its verdict,
// its order was written again, or both.
func TestRevertedVersionStaysRevertedOverARestore(t *testing.T) {
	for _, c := range []struct{ copied, rewritten bool }{{true, false}, {false, true}, {true, true}} {
		synctest.Test(t, func(t *testing.T) {
			tc := newTestCluster(t, 3)
			backup := tc.store.Copy()
			if c.copied {
				tc.store.Put("op/rollout/s", []byte(order))
				backup = tc.store.Copy()
			} else {
				tc.store.Put("op/rollout/s", []byte(order))
			}
			exposed := 0
			request := func(h *host, version string) {
				if version == "v2" {
					exposed++
				}
				h.rollouts.Observe("s", version, rollout.Observation{Bad: version == "v2"})
			}
			tc.run(5*time.Second, tc.store, request)
			if got := tc.status(); got != `{"State":"reverted","Target":"v2"}` {
				t.Fatalf("got status %s, want reverted", got)
			}
			exposed = 0
			tc.store.Restore(backup)
			tc.list()
			tc.run(time.Second, tc.store, request)
			if c.rewritten {
				tc.store.Put("op/rollout/s", []byte(order))
			}
			tc.run(5*time.Second, tc.store, request)
			if got := tc.status(); got != `{"State":"reverted","Target":"v2"}` || exposed > 0 {
				t.Errorf("order in the copy %t, written again %t: got status %q after %d more requests to v2, want reverted after none", c.copied, c.rewritten, got, exposed)
			}
		})
	}
}

// TestRolloutGoesOnOverARestore guards against a good version that misses its time or gets
// its share twice, because the store was restored from a copy from before a step, or
// before the order.
func TestRolloutGoesOnOverARestore(t *testing.T) {
	for _, copyAfter := range []time.Duration{0, 2 * time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			tc := newTestCluster(t, 3)
			request := func(h *host, version string) { h.rollouts.Observe("s", version, rollout.Observation{}) }
			backup := tc.store.Copy()
			tc.store.Put("op/rollout/s", []byte(order))
			if copyAfter > 0 {
				tc.run(copyAfter, tc.store, request)
				backup = tc.store.Copy()
			}
			tc.run(6*time.Second-copyAfter, tc.store, request)
			tc.store.Restore(backup)
			tc.list()
			if copyAfter == 0 {
				tc.store.Put("op/rollout/s", []byte(order))
			}
			tc.run(3500*time.Millisecond, tc.store, request)
			if got := tc.status(); !strings.Contains(got, "completed") {
				t.Errorf("copy %v after the order: status at the end of its time %q, want completed", copyAfter, got)
			}
		})
	}
}

// TestNewestOrderIsKeptOverARestore guards against an order that was replaced and is
// carried out once more, because the store was restored from a copy that holds it, and
// against an order after the restore that is ignored.
func TestNewestOrderIsKeptOverARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		for i := range 2 {
			tc.store.Put(fmt.Sprint("servers/cv3", i), fmt.Appendf(nil,
				`{"Service":"s","Address":"10.0.0.2:%d","Zone":"z","Version":"v3","Slots":4,"State":"ready"}`, 100+i))
		}
		third, bad := `{"Service":"s","Target":"v3","DurationS":10}`, "v2"
		served := make(map[string]int)
		request := func(h *host, version string) {
			served[version]++
			h.rollouts.Observe("s", version, rollout.Observation{Bad: version == bad})
		}
		tc.store.Put("op/rollout/s", []byte(order))
		tc.run(5*time.Second, tc.store, request)
		backup := tc.store.Copy()
		tc.store.Put("op/rollout/s", []byte(third))
		tc.run(4*time.Second, tc.store, request)
		tc.store.Restore(backup)
		tc.list()
		clear(served)
		tc.run(time.Second, tc.store, request)
		tc.store.Put("op/rollout/s", []byte(third))
		tc.run(4700*time.Millisecond, tc.store, request)
		if got := tc.status(); got != `{"State":"completed","Target":"v3"}` || served["v2"] > 0 {
			t.Errorf("status %s after %d requests to v2, want v3 completed after none", got, served["v2"])
		}
		tc.store.Put("op/rollout/s", []byte(`{"Service":"s","Target":"v2","DurationS":20}`))
		bad = ""
		tc.run(20*time.Second, tc.store, request)
		if got := tc.status(); got != `{"State":"completed","Target":"v2"}` {
			t.Errorf("status %s after a new order for v2, want completed", got)
		}
	})
}

// TestWithdrawnOrderIsNotCarriedOutOverARestore guards against requests to a version whose
// order was withdrawn, because the store was restored from a copy that still holds it.
func TestWithdrawnOrderIsNotCarriedOutOverARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		exposed := 0
		request := func(h *host, version string) {
			if version == "v2" {
				exposed++
			}
			h.rollouts.Observe("s", version, rollout.Observation{})
		}
		tc.store.Put("op/rollout/s", []byte(order))
		backup := tc.store.Copy()
		tc.run(time.Second, tc.store, request)
		tc.store.Drop("op/rollout/s")
		tc.run(time.Second, tc.store, request)
		exposed = 0
		tc.store.Restore(backup)
		tc.list()
		tc.run(5*time.Second, tc.store, request)
		if exposed > 0 {
			t.Errorf("%d requests to v2 after its order was withdrawn", exposed)
		}
	})
}
