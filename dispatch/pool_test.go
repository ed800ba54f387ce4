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
	f := NewEndpointPool(clock, rand.New(rand.NewPCG(1, 1)), "a", nil)
	f.ApplyConfig(snap, func(string) bool { return true })
	return f
}

// chosen counts which endpoints get the next requests.
func chosen(t *testing.T, f *EndpointPool, requests int) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for range requests {
		sl, err := f.acquire(context.Background(), ServiceVersion("s"), nil, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		out[sl.endpoint]++
		sl.release(limiter.OutcomeOK, time.Millisecond)
	}
	return out
}

// Guards against an ejected endpoint that never gets work again: only its own
// answers used to update its weight, and it got no requests.
func TestEjectedEndpointReturns(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := testPool(t, clock, "bad", "good", "other", "third")
	for f.ejector.Allowed("bad") {
		sl, err := f.acquire(context.Background(), ServiceVersion("s"), nil, []string{"good", "other", "third"}, 0)
		if err != nil {
			t.Fatal(err)
		}
		sl.release(limiter.OutcomeError, 0)
	}
	if n := chosen(t, f, 20)["bad"]; n != 0 {
		t.Fatalf("the ejected endpoint got %d requests", n)
	}
	clock.Advance(time.Hour)
	f.Refresh()
	if n := chosen(t, f, 200)["bad"]; n == 0 {
		t.Error("the endpoint got no request an hour after its ejection")
	}
}

// Guards against waiters that sleep on after a place has become free.
func TestWaiterGetsTheFreedPlace(t *testing.T) {
	f := testPool(t, clockwork.NewRealClock(), "only")
	first, err := f.acquire(context.Background(), ServiceVersion("s"), nil, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan error, 1)
	go func() {
		sl, err := f.acquire(context.Background(), ServiceVersion("s"), nil, nil, 0)
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
		t.Error("the waiter never got the place")
	}
}
