package dispatch_test

import (
	"context"
	"slices"
	"testing"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/resource"
)

// TestEvacuationLeavesOutItsDomain guards against chats that run on an engine of an evacuated
// failure domain, also before the pool knows the configuration in force, and against an
// evacuation that outlasts its resource or takes the other domains along.
func TestEvacuationLeavesOutItsDomain(t *testing.T) {
	r := newRig(t, 2)
	evacuation := func(domain string) []resource.Resource {
		return append(slices.Clone(r.resources), resource.Resource{
			Kind: resource.KindEvacuation, Name: "order", Spec: &resource.Evacuation{FailureDomain: domain},
		})
	}
	served := func() (byEngine [2]int) {
		t.Helper()
		var before [2]int
		for i := range before {
			before[i] = len(r.endpoints.Engines[i].Runs())
		}
		for range 8 {
			if _, err := r.client.Chat(context.Background(), client.Request{}, chat("small", "x")); err != nil {
				t.Errorf("chat: %v", err)
			}
		}
		for i := range before {
			byEngine[i] = len(r.endpoints.Engines[i].Runs()) - before[i]
		}
		return byEngine
	}
	r.config.snap.Store(r.snapshot(evacuation(demo.FailureDomain(0)))) // the pool follows later
	if got := served(); got[0] > 0 || got[1] == 0 {
		t.Errorf("configuration newer than the pool: engines ran %v attempts, want all on the second", got)
	}
	for i := range 2 {
		r.apply(r.d.Queue, evacuation(demo.FailureDomain(i)))
		if got := served(); got[i] > 0 || got[1-i] == 0 {
			t.Errorf("evacuated %s: engines ran %v attempts, want none on engine %d", demo.FailureDomain(i), got, i)
		}
	}
	r.apply(r.d.Queue, r.resources)
	if got := served(); got[0]+got[1] == 0 {
		t.Error("after the evacuation no engine runs")
	}
	if _, err := resource.NewSnapshot(1, evacuation("")); err == nil {
		t.Error("got no error for an evacuation of no domain")
	}
}
