package control_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderlever/corianderlever/rollout"
)

// rise is a rise of the request rate to a multiple, some time after the order.
type rise struct {
	at     time.Duration
	factor int
}

// playRollout plays a roll-out of 16 s while the request rate rises, and returns the requests
// to the target and to the service until the deadline.
func playRollout(t *testing.T, tc *testCluster, r rise, seed uint64) (target, all int) {
	const limit = 16 * time.Second
	rng := rand.New(rand.NewPCG(seed, 3))
	answer := func(h *host, version string) {
		h.rollouts.Observe("s", version, rollout.Observation{Latency: 10 * time.Millisecond})
	}
	tc.heartbeat = 1200 * time.Millisecond
	tc.run(2*time.Second, tc.store, answer)
	tc.store.Put("op/rollout/s", []byte(`{"Service":"s","Target":"v2","DurationS":16}`))
	ordered := time.Now()
	count := func(h *host, version string) {
		all++
		if version == "v2" {
			target++
		}
		answer(h, version)
	}
	tc.run(limit-time.Millisecond, tc.store, func(h *host, version string) {
		count(h, version)
		if time.Since(ordered) < r.at {
			return
		}
		for range r.factor - 1 {
			if version, ok := send(h, "s", rng.Float64()); ok {
				count(h, version)
			}
		}
	})
	return target, all
}

// TestExposureHoldsWhateverTheRateDoes guards against a version that gets more requests than
// its exposure, because the request rate rises shortly before its deadline and the hosts
// follow the last published share.
func TestExposureHoldsWhateverTheRateDoes(t *testing.T) {
	for _, hosts := range []int{7, 24} {
		for _, r := range []rise{{0, 1}, {8 * time.Second, 2}, {12600 * time.Millisecond, 2}, {14200 * time.Millisecond, 3}, {14950 * time.Millisecond, 3}, {15400 * time.Millisecond, 9}} {
			t.Run(fmt.Sprintf("%d hosts, %d times after %v", hosts, r.factor, r.at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					tc := newTestCluster(t, hosts)
					target, all := playRollout(t, tc, r, 1)
					if allowed := 0.15*float64(all) + 30; float64(target) > allowed {
						t.Errorf("%d of %d requests went to the target until its deadline, allowed %.0f", target, all, allowed)
					}
					if got := tc.status(); got != `{"State":"completed","Target":"v2"}` {
						t.Errorf("got status %s at the deadline of a target without a bad answer, want completed", got)
					}
				})
			})
		}
	}
}

// TestHostThatStartsAfterTheCompletionServes guards against a host that rejects its callers,
// because it takes the time of the last step for the present and has no requests of its own.
func TestHostThatStartsAfterTheCompletionServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		playRollout(t, tc, rise{0, 1}, 1)
		started := newTestCluster(t, 1)
		started.store = tc.store
		started.sync()
		for range 200 {
			if version, ok := send(started.hosts[0], "s", 0.5); !ok || version != "v2" {
				t.Fatalf("got version %q, sent %t; want v2", version, ok)
			}
		}
	})
}
