package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/engine/fakeengine"
	"github.com/corianderlever/corianderlever/resource"
)

// watchedCalls is a dispatch.Engines that reports each call before it is sent.
type watchedCalls struct {
	dispatch.Engines
	calls  atomic.Int32
	onCall func(n int32)
}

func (e *watchedCalls) Call(ctx context.Context, addr, service, operation, attempt, key string, body []byte) (engine.Reply, error) {
	e.onCall(e.calls.Add(1))
	return e.Engines.Call(ctx, addr, service, operation, attempt, key, body)
}

// TestCallIsRepeatedOnceItsRunHasEnded guards against a call that runs at two endpoints at once
// because the first one, which is too slow, does not notice that its caller has left. It also
// guards against an operation that is cancelled although it isn't repeated.
func TestCallIsRepeatedOnceItsRunHasEnded(t *testing.T) {
	const (
		callDelay = time.Minute // longer than the test waits
		timeout   = 200 * time.Millisecond
		requests  = 100 // that earn the budget of the retry
	)
	slow := []*fakeengine.Endpoint{slowDesk(t, callDelay), slowDesk(t, callDelay)}
	running := func() int { return slow[0].Running() + slow[1].Running() }
	r := newRig(t, 1)
	second := resource.Resource{Kind: resource.KindEndpoint, Name: "desk-b"}
	for _, res := range r.resources {
		switch spec := res.Spec.(type) {
		case *resource.Endpoint:
			if spec.Service == "" {
				continue
			}
			spec.Address = slow[0].Addr()
			other := *spec
			other.Address = slow[1].Addr()
			second.Spec = &other
		case *resource.Service:
			for i := range spec.Operations {
				spec.Operations[i].Timeout = resource.Duration(timeout)
			}
		}
	}
	r.resources = append(r.resources, second)
	resource.Sort(r.resources)
	r.apply(r.d.Queue, r.resources)
	engines := &watchedCalls{Engines: r.d.Engines, onCall: func(n int32) {
		if n > 1 && running() > 0 {
			t.Errorf("call %d is sent while %d run", n, running())
		}
	}}
	r.d.Engines = engines
	for range requests {
		r.d.Retries.RecordRequest()
	}
	if _, err := r.client.Call(t.Context(), client.Request{}, "booking", "lookup", struct{}{}); err == nil {
		t.Error("the slow calls have succeeded")
	}
	if engines.calls.Load() < 2 {
		t.Errorf("%d calls, want the first one repeated", engines.calls.Load())
	}
	before := running()
	if _, err := r.client.Call(t.Context(), client.Request{}, "booking", "book", struct{}{}); err == nil {
		t.Error("the slow booking has succeeded")
	}
	if n := running() - before; n != 1 {
		t.Errorf("%d bookings run on, want 1 that is not cancelled", n)
	}
}

// slowDesk starts an endpoint of the booking service.
func slowDesk(t *testing.T, callDelay time.Duration) *fakeengine.Endpoint {
	t.Helper()
	e := fakeengine.New(fakeengine.Options{Capacity: 8, Services: map[string][]string{"booking": {"book", "lookup"}}, CallDelay: callDelay})
	if err := e.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}
