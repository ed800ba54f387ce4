package dispatch

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/resource"
)

func testPool(t *testing.T, clock clockwork.Clock, endpoints ...string) *EndpointPool {
	t.Helper()
	list := []resource.Resource{{Kind: resource.KindService, Name: "s", Spec: new(resource.Service)}}
	for _, name := range endpoints {
		list = append(list, resource.Resource{Kind: resource.KindEndpoint, Name: name, Spec: &resource.Endpoint{
			Address: "127.0.0.1:1", FailureDomain: "a", Service: "s", Concurrency: 1, State: resource.EndpointActive,
		}})
	}
	snap, err := resource.NewSnapshot(1, list)
	if err != nil {
		t.Fatal(err)
	}
	pool := NewEndpointPool(clock, rand.New(rand.NewPCG(1, 1)), "a", nil)
	pool.ApplyConfig(snap, func(string) bool { return true })
	return pool
}

// countChoices returns how many of the next requests each endpoint gets.
func countChoices(t *testing.T, pool *EndpointPool, requests int) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for range requests {
		sl, err := pool.acquire(context.Background(), ServiceVersion("s"), nil, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		out[sl.endpoint]++
		sl.release(limiter.OutcomeOK, time.Millisecond)
	}
	return out
}

// TestEjectedEndpointReturns guards against an endpoint that stays ejected forever.
// Only its own answers updated its weight, but an ejected endpoint gets no requests.
func TestEjectedEndpointReturns(t *testing.T) {
	clock := clockwork.NewFakeClock()
	pool := testPool(t, clock, "bad", "good", "other", "third")
	for pool.ejector.Allowed("bad") {
		sl, err := pool.acquire(context.Background(), ServiceVersion("s"), nil, []string{"good", "other", "third"}, 0)
		if err != nil {
			t.Fatal(err)
		}
		sl.release(limiter.OutcomeError, 0)
	}
	if n := countChoices(t, pool, 20)["bad"]; n != 0 {
		t.Fatalf("the ejected endpoint got %d requests", n)
	}
	clock.Advance(time.Hour)
	pool.Refresh()
	if n := countChoices(t, pool, 200)["bad"]; n == 0 {
		t.Error("the endpoint got none of 200 requests an hour after its ejection")
	}
}

// TestWaiterGetsFreedSlot guards against requests that keep waiting after a slot has
// become free.
func TestWaiterGetsFreedSlot(t *testing.T) {
	pool := testPool(t, clockwork.NewRealClock(), "only")
	first, err := pool.acquire(context.Background(), ServiceVersion("s"), nil, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan error, 1)
	go func() {
		sl, err := pool.acquire(context.Background(), ServiceVersion("s"), nil, nil, 0)
		if err == nil {
			sl.release(limiter.OutcomeOK, time.Millisecond)
		}
		got <- err
	}()
	first.release(limiter.OutcomeOK, time.Millisecond)
	select {
	case err := <-got:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the waiter did not get the free slot within 10 s")
	}
}
