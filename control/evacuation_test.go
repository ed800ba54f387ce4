package control_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderlever/corianderlever/kv"
)

// TestEvacuationFollowsItsKey guards against an order that a host misses, also one that starts
// later, that holds for no endpoint that registers later, that is not passed on to other hosts or
// that ends with a value that cannot be read, in an outage or with the restore of an older copy;
// and against one that outlasts its key.
func TestEvacuationFollowsItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		h, key := tc.hosts[0], "op/evacuate/z"
		expect := func(when string, want bool) {
			t.Helper()
			h.state.Tick()
			for _, e := range h.fleet.Service("s") {
				if e.Evacuated != want {
					t.Errorf("%s: endpoint %s evacuated %v, want %v", when, e.ID, e.Evacuated, want)
				}
			}
		}
		tc.sync()
		backup := tc.store.Copy()
		tc.store.Put(key, []byte("{}"))
		tc.sync()
		expect("after the order", true)
		if old := (kv.Entry{Key: key}); !h.state.Relevant(kv.Event{Entry: old}, &old) {
			t.Error("the order is not passed on to hosts that do not reach the store")
		}
		tc.store.Put(key, []byte("no value"))
		tc.store.Put("servers/new", coldEntry(0, 0).Value)
		tc.list()
		expect("after an outage, with another value and a new endpoint", true)
		tc.store.Restore(backup)
		tc.list()
		time.Sleep(9 * time.Second)
		expect("9 s after a restore", true)
		tc.store.Put(key, []byte("{}"))
		tc.sync()
		time.Sleep(time.Minute)
		expect("ordered again after a restore", true)
		tc.store.Drop(key)
		tc.sync()
		expect("after the removal", false)
	})
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
