package control_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderlever/corianderlever/rollout"
)

// lateOrder is an order that the hosts hear of some time after it was given.
type lateOrder struct {
	delay time.Duration
	// silences are the times for which the store was silent at the hosts before its arrival; a
	// negative one is not known.
	silences []time.Duration
}

const lateOrderLimit = 16 * time.Second

// lateResult is what came of a late order.
type lateResult struct {
	done                time.Duration // time from the order to the completion; zero for none
	target, all         int           // requests until the ordered time
	refused, refusedEnd int           // attempts refused before and after the ordered time
}

// playLateOrder plays a roll-out of lateOrderLimit of a good version.
func playLateOrder(t *testing.T, tc *testCluster, o lateOrder) lateResult {
	t.Helper()
	answer := func(h *host, version string) {
		h.rollouts.Observe("s", version, rollout.Observation{Latency: 10 * time.Millisecond})
	}
	tc.heartbeat = 1200 * time.Millisecond
	tc.run(2*time.Second, tc.store, answer)
	ordered := time.Now()
	tc.store.Put("op/rollout/s", fmt.Appendf(nil, `{"Service":"s","Target":"v2","DurationS":%d}`, int(lateOrderLimit.Seconds())))
	time.Sleep(o.delay)
	for i, h := range tc.hosts {
		silence := o.silences[i%len(o.silences)]
		h.state.Silence = func() (time.Duration, bool) { return silence, silence >= 0 }
	}
	var r lateResult
	tc.refused = func() {
		if time.Since(ordered) < lateOrderLimit {
			r.refused++
		} else {
			r.refusedEnd++
		}
	}
	tc.run(lateOrderLimit, tc.store, func(h *host, version string) {
		if r.done == 0 && tc.status() == `{"State":"completed","Target":"v2"}` {
			r.done = time.Since(ordered)
		}
		if time.Since(ordered) < lateOrderLimit {
			r.all++
			if version == "v2" {
				r.target++
			}
		}
		answer(h, version)
	})
	return r
}

// TestRolloutIsDoneInTimeAfterALateOrder guards against a good version that is declared done
// after the operator's deadline, because the hosts heard of the order late and take that moment
// for its time; and against callers that are rejected for it.
func TestRolloutIsDoneInTimeAfterALateOrder(t *testing.T) {
	late := map[string]lateOrder{
		"heard late at all hosts":      {delay: 900 * time.Millisecond, silences: []time.Duration{time.Second}},
		"not known at the coordinator": {delay: 900 * time.Millisecond, silences: []time.Duration{-1, time.Second, time.Second}},
		"given when the silence began": {delay: 900 * time.Millisecond, silences: []time.Duration{900 * time.Millisecond}},
		"heard later at some hosts":    {delay: 900 * time.Millisecond, silences: []time.Duration{5 * time.Second, time.Second}},
		"given in a long silence":      {delay: 900 * time.Millisecond, silences: []time.Duration{1900 * time.Millisecond}},
	}
	for name, o := range late {
		for _, hosts := range []int{7, 24} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := playLateOrder(t, newTestCluster(t, hosts), o)
					if r.done == 0 || r.done >= lateOrderLimit {
						t.Errorf("done after %v, ordered within %v", r.done, lateOrderLimit)
					}
					if allowed := 0.15*float64(r.all) + 30; float64(r.target) > allowed {
						t.Errorf("the target got %d of %d requests, allowed %.0f", r.target, r.all, allowed)
					}
					if r.refused+r.refusedEnd > 0 {
						t.Errorf("%d callers rejected before and %d after the ordered time", r.refused, r.refusedEnd)
					}
				})
			})
		}
	}
}

// TestOrderHeardAtOnceIsPlannedAsBefore guards against a roll-out that is planned for an earlier
// deadline although some hosts, or all, have heard of its order at once.
func TestOrderHeardAtOnceIsPlannedAsBefore(t *testing.T) {
	play := func(silences ...time.Duration) (r lateResult) {
		synctest.Test(t, func(t *testing.T) { r = playLateOrder(t, newTestCluster(t, 7), lateOrder{silences: silences}) })
		return r
	}
	unknown := play(-1)
	for _, silences := range [][]time.Duration{{0}, {200 * time.Millisecond}, {8 * time.Second, 0}, {-1, 0}} {
		if got := play(silences...); got != unknown {
			t.Errorf("with silences %v got %+v, with unknown ones %+v", silences, got, unknown)
		}
	}
}

// TestExposureHoldsForAnOrderOfUncertainAge guards against a version that gets more requests than
// its exposure until the latest possible deadline, because it is declared done for the earliest
// one and the request rate rises after that.
func TestExposureHoldsForAnOrderOfUncertainAge(t *testing.T) {
	for _, hosts := range []int{7, 24} {
		for _, r := range []rise{{0, 1}, {8 * time.Second, 2}, {13 * time.Second, 3}, {15 * time.Second, 9}} {
			t.Run(fmt.Sprintf("%d hosts, %d times after %v", hosts, r.factor, r.at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					tc := newTestCluster(t, hosts)
					for _, h := range tc.hosts {
						h.state.Silence = func() (time.Duration, bool) { return 2 * time.Second, true }
					}
					target, all := playRollout(t, tc, r, 1)
					if allowed := 0.15*float64(all) + 30; float64(target) > allowed {
						t.Errorf("%d of %d requests went to the target until its latest deadline, allowed %.0f", target, all, allowed)
					}
				})
			})
		}
	}
}

// TestCompletionIsNotPlannedFarAhead guards against a version that is declared done before its
// trial has begun, because the hosts cannot tell whether the order is as old as its time limit.
func TestCompletionIsNotPlannedFarAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := playLateOrder(t, newTestCluster(t, 7), lateOrder{silences: []time.Duration{time.Minute}})
		if r.done < lateOrderLimit*3/4 || r.done >= lateOrderLimit {
			t.Errorf("done after %v, ordered within %v", r.done, lateOrderLimit)
		}
		if r.refused+r.refusedEnd > 0 {
			t.Errorf("%d callers rejected before and %d after the ordered time", r.refused, r.refusedEnd)
		}
	})
}
