package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderlever/corianderlever/rollout"
)

// gaps returns a source of times between events: mostly usual ones, and one in five
// delayed by the prompts of other requests.
func gaps(usual time.Duration) func() time.Duration {
	n := 0
	return func() time.Duration {
		n++
		if n%5 == 0 {
			return 4 * usual
		}
		return usual + time.Duration(n%7)*time.Millisecond
	}
}

// TestVersionThatGeneratesSlowlyIsReverted guards against a version whose answers begin
// in time and then come several times as slowly, which was declared done.
func TestVersionThatGeneratesSlowlyIsReverted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		usual, slow := gaps(20*time.Millisecond), gaps(80*time.Millisecond)
		exposed := 0
		request := func(h *host, version string) {
			o := rollout.Observation{Model: "m", Latency: 10 * time.Millisecond, EventGap: usual()}
			if version == "v2" {
				exposed++
				o.EventGap = slow()
			}
			h.rollouts.Observe("s", version, o)
		}
		tc.run(3*time.Second, tc.store, request)
		tc.store.Put("op/rollout/s", []byte(order))
		tc.run(9500*time.Millisecond, tc.store, request)
		if got := tc.status(); got != `{"State":"reverted","Target":"v2"}` || exposed > 15 {
			t.Errorf("got status %s after %d requests to v2, want reverted after at most 15", got, exposed)
		}
	})
}

// TestGoodVersionOfALargerModelCompletes guards against a good version that is reverted
// because a larger model, which generates more slowly, answers some of its requests, or
// because its engines read long prompts between the events.
func TestGoodVersionOfALargerModelCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		small, large := gaps(20*time.Millisecond), gaps(90*time.Millisecond)
		n := 0
		request := func(h *host, version string) {
			n++
			o := rollout.Observation{Model: "small", Latency: 10 * time.Millisecond, EventGap: small()}
			if n%2 == 0 {
				o.Model, o.EventGap = "large", large()
			}
			h.rollouts.Observe("s", version, o)
		}
		tc.run(3*time.Second, tc.store, request)
		tc.store.Put("op/rollout/s", []byte(order))
		tc.run(9500*time.Millisecond, tc.store, request)
		if got := tc.status(); got != `{"State":"completed","Target":"v2"}` {
			t.Errorf("got status %s, want completed", got)
		}
	})
}

// TestFailingVersionIsRevertedAmongSlowAnswers guards against a version that fails two in five
// of its requests and was declared done, because under load a third of the answers of the
// other versions were slow and slow answers counted like failures.
func TestFailingVersionIsRevertedAmongSlowAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		usual := gaps(20 * time.Millisecond)
		answers, exposed, loaded := 0, 0, false
		request := func(h *host, version string) {
			answers++
			o := rollout.Observation{Model: "m", Latency: 10 * time.Millisecond, EventGap: usual()}
			if loaded && answers%3 == 0 {
				o.EventGap = 200 * time.Millisecond
			}
			if version == "v2" {
				exposed++
				o.Bad = exposed%5 < 2
			}
			h.rollouts.Observe("s", version, o)
		}
		tc.run(3*time.Second, tc.store, request)
		loaded = true
		tc.store.Put("op/rollout/s", []byte(order))
		tc.run(9500*time.Millisecond, tc.store, request)
		if got := tc.status(); got != `{"State":"reverted","Target":"v2"}` || exposed > 15 {
			t.Errorf("got status %s after %d requests to v2, want reverted after at most 15", got, exposed)
		}
	})
}

// TestPlainVersionThatAnswersSlowlyIsReverted guards against a version of a plain service that
// takes many times as long as usual and was declared done, because both times are short or
// because the answers of another route usually take as long.
func TestPlainVersionThatAnswersSlowlyIsReverted(t *testing.T) {
	for _, longRoute := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			tc := newTestCluster(t, 3)
			n, exposed := 0, 0
			request := func(h *host, version string) {
				n++
				o := rollout.Observation{Route: "short", Latency: time.Duration(8+n%9) * time.Millisecond}
				if longRoute && n%2 == 0 {
					o.Route, o.Latency = "long", time.Duration(100+n%31)*time.Millisecond
				}
				if version == "v2" {
					exposed++
					if o.Route == "short" && exposed%4 != 0 {
						o.Latency *= 8
					}
				}
				h.rollouts.Observe("s", version, o)
			}
			tc.run(4*time.Second, tc.store, request)
			tc.store.Put("op/rollout/s", []byte(order))
			tc.run(9500*time.Millisecond, tc.store, request)
			if got := tc.status(); got != `{"State":"reverted","Target":"v2"}` {
				t.Errorf("another, longer route %t: got status %s after %d requests to v2, want reverted", longRoute, got, exposed)
			}
		})
	}
}

// TestVersionThatFailsOnOneRouteIsReverted guards against a version that fails on one route and
// was declared done, because on another route all versions fail often.
func TestVersionThatFailsOnOneRouteIsReverted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		n, exposed, sound := 0, 0, 0
		request := func(h *host, version string) {
			n++
			o := rollout.Observation{Route: "sound", Latency: 10 * time.Millisecond}
			if n%3 > 0 {
				o.Route, o.Bad = "poor", n%7 < 3
			}
			if version == "v2" {
				exposed++
				if o.Route == "sound" {
					sound++
					o.Bad = sound%2 == 0
				}
			}
			h.rollouts.Observe("s", version, o)
		}
		tc.run(4*time.Second, tc.store, request)
		tc.store.Put("op/rollout/s", []byte(order))
		tc.run(9500*time.Millisecond, tc.store, request)
		if got := tc.status(); got != `{"State":"reverted","Target":"v2"}` {
			t.Errorf("got status %s after %d requests to v2, want reverted", got, exposed)
		}
	})
}

// TestSlowVersionIsRevertedAmongFailingAnswers guards against a version that answers a quarter of
// its requests slowly and was declared done, because a route fails at all versions and slow
// answers were only counted together with failures.
func TestSlowVersionIsRevertedAmongFailingAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		n, exposed := 0, 0
		request := func(h *host, version string) {
			n++
			o := rollout.Observation{Route: "sound", Latency: 10 * time.Millisecond}
			if n%2 == 0 {
				o.Route, o.Bad = "poor", true
			}
			if version == "v2" {
				exposed++
				if exposed%4 == 0 {
					o.Bad, o.Latency = false, 80*time.Millisecond
				}
			}
			h.rollouts.Observe("s", version, o)
		}
		tc.run(4*time.Second, tc.store, request)
		tc.store.Put("op/rollout/s", []byte(order))
		tc.run(9500*time.Millisecond, tc.store, request)
		if got := tc.status(); got != `{"State":"reverted","Target":"v2"}` {
			t.Errorf("got status %s after %d requests to v2, want reverted", got, exposed)
		}
	})
}
