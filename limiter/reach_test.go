package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/limiter"
)

func endpointNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("e", i))
	}
	return out
}

// TestCrashedEndpointsAreNoLostLink guards against a host that hands its requests to
// others because one endpoint after the other crashes, while the rest accept connections.
func TestCrashedEndpointsAreNoLostLink(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := limiter.NewReach(clock)
	r.SetEndpoints(endpointNames(12))
	for i := range 8 {
		clock.Advance(100 * time.Millisecond)
		r.Failed(fmt.Sprint("e", i))
		clock.Advance(time.Millisecond)
		r.Opened("e11")
		if r.Lost() {
			t.Fatalf("lost after %d crashed endpoints", i+1)
		}
	}
}

// TestLostLinkIsNoticedAndForgotten guards against a host that goes on to use links that
// are lost, or that does not use them again once they are back.
func TestLostLinkIsNoticedAndForgotten(t *testing.T) {
	for endpoints, need := range map[int]int{1: 1, 2: 2, 3: 2, 4: 2, 5: 3, 12: 3, 400: 3} {
		clock := clockwork.NewFakeClock()
		r := limiter.NewReach(clock)
		r.SetEndpoints(endpointNames(endpoints))
		r.Opened("e0")
		for i := range need {
			if r.Lost() {
				t.Fatalf("%d endpoints: lost after %d failures", endpoints, i)
			}
			clock.Advance(time.Millisecond)
			r.Failed(fmt.Sprint("e", i))
		}
		if !r.Lost() {
			t.Fatalf("%d endpoints: not lost after %d failures", endpoints, need)
		}
		for i := range min(2, endpoints) {
			r.Opened(fmt.Sprint("e", i))
		}
		if r.Lost() || len(r.Avoided()) > 0 {
			t.Errorf("%d endpoints: lost %t, avoided %v after connections were accepted", endpoints, r.Lost(), r.Avoided())
		}
	}
}

// TestReachIsLostOnlyWithoutOpenConnections guards against a verdict that no sequence of
// attempts justifies: a service is lost only if several endpoints have failed since one
// accepted a connection, and reachable only if enough have accepted one since.
func TestReachIsLostOnlyWithoutOpenConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		r := limiter.NewReach(clock)
		n := rapid.IntRange(1, 8).Draw(t, "endpoints")
		r.SetEndpoints(endpointNames(n))
		failedSinceOpened, openedSinceFailed := map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint("e", rapid.IntRange(0, n-1).Draw(t, "endpoint"))
			before := r.Lost()
			if rapid.Bool().Draw(t, "opened") {
				clear(failedSinceOpened)
				openedSinceFailed[id] = true
				r.Opened(id)
			} else {
				clear(openedSinceFailed)
				failedSinceOpened[id] = true
				r.Failed(id)
			}
			if !before && r.Lost() && len(failedSinceOpened) < min(n, 2) {
				t.Fatalf("lost after failures at %v only", failedSinceOpened)
			}
			if before && !r.Lost() && len(openedSinceFailed) < min(n, 2) {
				t.Fatalf("restored after connections to %v only", openedSinceFailed)
			}
		}
	})
}
