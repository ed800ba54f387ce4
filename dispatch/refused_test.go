package dispatch_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/resource"
)

// refuseFirst makes the first connections that are opened to endpoints fail as if refused.
func (r *rig) refuseFirst(n int32) {
	var dials atomic.Int32
	transport := &http.Transport{DisableKeepAlives: true}
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dials.Add(1) <= n {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
	r.d.Engines = engine.NewClient(transport)
}

// TestRefusedConnectionCostsNoRetry guards against requests that fail for lack of retry budget
// because an endpoint has just stopped, although nothing was sent to it.
func TestRefusedConnectionCostsNoRetry(t *testing.T) {
	t.Run("chat", func(t *testing.T) {
		r := newRig(t, 5)
		r.refuseFirst(2)
		if _, err := r.client.Chat(context.Background(), client.Request{}, chat("small", "x")); err != nil {
			t.Error(err)
		}
	})
	t.Run("booking", func(t *testing.T) {
		r := newRig(t, 1)
		var list []resource.Resource
		for _, name := range []string{"desk-b", "desk-c", "desk-d", "desk-e"} {
			desk := r.endpoint("desk-a")
			desk.Name = name
			list = append(list, desk)
		}
		r.apply(r.d.Queue, append(list, r.resources...))
		r.refuseFirst(2)
		booking := client.Request{ID: uuid.Must(uuid.NewV7()).String()}
		if _, err := r.client.Call(context.Background(), booking, "booking", "book", map[string]int{"rims": 1}); err != nil {
			t.Error(err)
		}
	})
}

// endpoint returns the resource of an endpoint.
func (r *rig) endpoint(name string) resource.Resource {
	return r.resources[slices.IndexFunc(r.resources, func(res resource.Resource) bool {
		return res.Kind == resource.KindEndpoint && res.Name == name
	})]
}
