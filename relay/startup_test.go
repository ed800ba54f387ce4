package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/route"
)

// startingRig returns a rig whose host has not listed its state yet, the table that it will
// list, and the clock of the relay.
func startingRig(t *testing.T) (*rig, *route.Table, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClockAt(time.Now()) // deadlines of calls to endpoints follow the real clock
	r := newRigWith(t, func(o *relay.Options) { o.Clock = clock }, plainRoute(route.Idempotent, 1))
	r.endpoint("e1", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "answer") })
	table := r.config.table
	r.config.set(func(s *configSource) { s.table, s.listed = nil, make(chan struct{}) })
	return r, table, clock
}

// callAsync sends a request and returns its status once it has been answered. It returns when
// the relay is about to wait for the configuration.
func (r *rig) callAsync() <-chan int {
	asked := newSignal()
	r.config.set(func(s *configSource) { s.onListed = asked.give })
	status := make(chan int, 1)
	go func() {
		resp, _, err := r.call(http.MethodGet, "/p/x")
		if err != nil {
			status <- 0
			return
		}
		status <- resp.StatusCode
	}()
	<-asked.c
	return status
}

// TestRequestsWaitForTheFirstConfiguration guards against hosts that reject requests in the
// first half second after a loss of all power, so that callers use up their only retry.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	r, table, _ := startingRig(t)
	status := r.callAsync()
	r.config.set(func(s *configSource) {
		s.table = table
		close(s.listed)
	})
	if got := <-status; got != http.StatusOK {
		t.Errorf("status %d after the configuration came, want 200", got)
	}
}

// TestRequestsAreRejectedWithoutConfiguration guards against requests that wait until their
// deadline at a host that gets no configuration.
func TestRequestsAreRejectedWithoutConfiguration(t *testing.T) {
	r, _, clock := startingRig(t)
	status := r.callAsync()
	if got := advanceUntil(clock, status); got != http.StatusServiceUnavailable {
		t.Errorf("status %d without a configuration, want 503", got)
	}
	if n := len(r.arrivals()); n != 0 {
		t.Errorf("%d requests sent without a configuration", n)
	}
}

// advanceUntil advances the clock until there is a status, and returns it.
func advanceUntil(clock *clockwork.FakeClock, status <-chan int) int {
	for {
		select {
		case got := <-status:
			return got
		case <-time.After(time.Millisecond): // lets the relay start its timer
			clock.Advance(10 * time.Millisecond)
		}
	}
}
