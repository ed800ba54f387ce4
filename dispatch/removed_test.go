package dispatch_test

import (
	"context"
	"slices"
	"testing"

	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/resource"
)

// TestRemovalOfEndpointCostsNoRetry guards against requests that fail for lack of retry budget
// because an endpoint is removed while they wait, although nothing was sent to it.
func TestRemovalOfEndpointCostsNoRetry(t *testing.T) {
	for _, removed := range []string{"engine-a", "engine-b", "desk-a", "desk-b"} {
		t.Run(removed, func(t *testing.T) {
			r := newRig(t, 2)
			list := append(slices.Clone(r.resources), resource.Resource{
				Kind: resource.KindEndpoint, Name: "desk-b",
				Spec: &resource.Endpoint{
					Address: r.endpoints.Booking.Addr(), FailureDomain: demo.FailureDomain(0), State: resource.EndpointActive,
					Service: "booking", Concurrency: 1,
				},
			})
			r.apply(r.d.Queue, list)
			r.config.snap.Store(r.snapshot(slices.DeleteFunc(list, func(res resource.Resource) bool { return res.Name == removed })))
			for range 4 {
				if _, err := r.client.Chat(context.Background(), client.Request{}, chat("small", "x")); err != nil {
					t.Errorf("chat: %v", err)
				}
				booking := client.Request{ID: uuid.Must(uuid.NewV7()).String()}
				if _, err := r.client.Call(context.Background(), booking, "booking", "book", map[string]int{"rims": 1}); err != nil {
					t.Errorf("booking: %v", err)
				}
			}
		})
	}
}
