package dispatch

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/resource"
)

// TestAcquireDuringApplyConfig guards against a data race between choosing an
// endpoint and applying a new configuration. The race detector reported one in a run
// with three hosts.
func TestAcquireDuringApplyConfig(t *testing.T) {
	snap, err := resource.NewSnapshot(1, []resource.Resource{
		{Kind: resource.KindModel, Name: "m", Spec: &resource.Model{}},
		{Kind: resource.KindVersion, Name: "v", Spec: &resource.Version{Model: "m", State: resource.VersionServing}},
		{Kind: resource.KindEndpoint, Name: "e", Spec: &resource.Endpoint{
			Address: "127.0.0.1:1", FailureDomain: "a", State: resource.EndpointActive, Versions: []string{"v"}, Concurrency: 64,
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	pool := NewEndpointPool(clockwork.NewRealClock(), rand.New(rand.NewPCG(1, 1)), "a", nil)
	pool.ApplyConfig(snap, func(string) bool { return true })
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 2000 {
				if sl, _, err := pool.tryAcquire("v", nil, nil, 0); err == nil {
					sl.release(limiter.OutcomeOK, time.Millisecond)
				}
			}
		})
	}
	for range 2000 {
		pool.ApplyConfig(snap, func(string) bool { return true })
	}
	wg.Wait()
}
