package control_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderlever/corianderlever/kv"
)

// evacuated returns the evacuated endpoints as each host knows them, which must agree.
func (tc *testCluster) evacuated() string {
	out := ""
	for i, h := range tc.hosts {
		ids := ""
		for _, e := range h.fleet.Service("s") {
			if e.Evacuated {
				ids += e.ID + " "
			}
		}
		if i > 0 && ids != out {
			tc.t.Errorf("hosts disagree on the evacuated endpoints: %q and %q", out, ids)
		}
		out = ids
	}
	return out
}

// TestEvacuationFollowsItsKey guards against an order that hosts miss, also those that start
// later and endpoints that register later; against an evacuation that ends in an outage of the
// store, with a value that cannot be read or with the restore of an older copy; and against one
// that outlasts its key.
func TestEvacuationFollowsItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 2)
		tc.sync()
		backup := tc.store.Copy()
		expect := func(when, want string) {
			t.Helper()
			if got := tc.evacuated(); got != want {
				t.Errorf("%s: evacuated endpoints %q, want %q", when, got, want)
			}
		}
		const all = "av1 av2 bv1 bv2 "
		tc.store.Put("op/evacuate/z", []byte("{}"))
		tc.sync()
		expect("after the order", all)
		if old := (kv.Entry{Key: "op/evacuate/z", Value: []byte("{}")}); !tc.hosts[0].state.Relevant(kv.Event{Entry: old}, &old) {
			t.Error("the order is not passed on to hosts that do not reach the store")
		}
		tc.store.Put("op/evacuate/z", []byte("no value"))
		tc.list()
		expect("after an outage, with another value", all)
		tc.store.Put("servers/new", []byte(`{"Service":"s","Address":"10.0.0.1:200","Zone":"z","Version":"v1","Slots":4,"State":"ready"}`))
		tc.sync()
		expect("with a new endpoint", all+"new ")
		tc.store.Restore(backup)
		tc.list()
		time.Sleep(9 * time.Second)
		tc.tick()
		if got := tc.evacuated(); got == "" {
			t.Error("the evacuation ended less than 10 s after a restore")
		}
		tc.store.Put("op/evacuate/z", []byte("{}"))
		tc.sync()
		time.Sleep(time.Minute)
		tc.tick()
		expect("ordered again after a restore", all)
		tc.store.Drop("op/evacuate/z")
		tc.sync()
		expect("after the removal", "")
	})
}

func (tc *testCluster) tick() {
	for _, h := range tc.hosts {
		h.state.Tick()
	}
}

// coldEntry is the entry of an endpoint that is cold for some more milliseconds.
func coldEntry(revision int64, ms int) kv.Entry {
	return kv.Entry{Key: "servers/e", Revision: revision, Value: fmt.Appendf(nil,
		`{"Service":"s","Address":"10.0.0.1:300","Zone":"z","Version":"v1","Slots":4,"State":"ready","ColdRemainingMs":%d}`, ms)}
}

// TestColdTimesReachOtherHosts guards against hosts that do not hear that an endpoint is cold,
// again or for longer, or is cold no more; against each heartbeat of a cold endpoint being
// passed on; and against a cold time that does not end by the host's own clock.
func TestColdTimesReachOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestCluster(t, 1).hosts[0]
		var old *kv.Entry
		var passedOn []int
		for i, step := range []struct {
			wait time.Duration
			ms   int
		}{
			{0, 0},
			{time.Second, 10_000},             // 1: cold
			{time.Second, 9_000},              // as expected
			{time.Second, 8_300},              // late, within the tolerance
			{time.Second, 8_200},              // 4: later by more than the tolerance since it was passed on
			{7 * time.Second, 3_000},          // 5: cold again, with a shorter time left than was passed on
			{2 * time.Second, 1_000},          // as expected
			{1200 * time.Millisecond, 0},      // 7: no longer cold
			{1200 * time.Millisecond, 0},      // as before
			{1200 * time.Millisecond, 30_000}, // 9: cold again
		} {
			time.Sleep(step.wait)
			entry := coldEntry(int64(100+i), step.ms)
			if h.state.Relevant(kv.Event{Entry: entry}, old) {
				old = &entry
				passedOn = append(passedOn, i)
			}
			h.state.Apply([]kv.Event{{Entry: entry}}, false)
			e, _ := h.fleet.Endpoint("e")
			want := time.Duration(step.ms) * time.Millisecond
			if cold := !e.ColdUntil.IsZero(); cold != (step.ms > 0) || cold && time.Until(e.ColdUntil) != want {
				t.Errorf("step %d: cold until %v, want %v from now on", i, e.ColdUntil, want)
			}
		}
		if want := []int{0, 1, 4, 5, 7, 9}; !slices.Equal(passedOn, want) {
			t.Errorf("passed on the entries %v, want %v", passedOn, want)
		}
	})
}
