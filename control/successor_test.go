package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderlever/corianderlever/rollout"
)

// TestVersionWhoseEndpointsStopHasASuccessor guards against requests that keep a version after
// its roll-out has ended against it, and against those that lose one that still serves.
func TestVersionWhoseEndpointsStopHasASuccessor(t *testing.T) {
	for name, c := range map[string]struct {
		bad            bool
		replaced, next string
	}{
		"completed": {bad: false, replaced: "v1", next: "v2"},
		"reverted":  {bad: true, replaced: "v2", next: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t, 3)
				tc.store.Put("op/rollout/s", []byte(order))
				tc.sync()
				for _, v := range []string{"", "v1", "v2"} {
					if next, ok := tc.hosts[0].rollouts.Successor("s", v); ok {
						t.Errorf("version %q has the successor %q while the roll-out is in progress", v, next)
					}
				}
				tc.run(9500*time.Millisecond, tc.store, func(h *host, version string) {
					h.rollouts.Observe("s", version, rollout.Observation{Bad: c.bad && version == "v2", Latency: 10 * time.Millisecond})
				})
				for i, h := range tc.hosts {
					if next, ok := h.rollouts.Successor("s", c.replaced); !ok || next != c.next {
						t.Errorf("host %d: version %s has the successor %q, %t; want %s", i, c.replaced, next, ok, c.next)
					}
					if next, ok := h.rollouts.Successor("s", c.next); ok {
						t.Errorf("host %d: version %s has the successor %q although it serves", i, c.next, next)
					}
				}
			})
		})
	}
}
