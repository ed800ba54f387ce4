package configstore

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/peer"
	"github.com/corianderlever/corianderlever/resource"
)

// Guards against a large value that travels to each host several times with
// every change, and against an offer whose value is never pulled: a change must
// reach hosts that do not read the store before a heartbeat shows it.
func TestLargeValueTravelsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 12
		w := newWorld(n, 9)
		defer w.stop()
		var mu sync.Mutex
		values := 0
		count := func(method string, h peer.Handler) peer.Handler {
			return func(ctx context.Context, from string, params json.RawMessage) (any, error) {
				out, err := h(ctx, from, params)
				var req pushRequest
				_ = json.Unmarshal(params, &req) // a pull has no value
				answer, _ := out.(pullAnswer)
				mu.Lock()
				defer mu.Unlock()
				if len(req.Value) > 0 || len(answer.Value) > 0 {
					values++
				}
				return out, err
			}
		}
		for _, node := range w.nodes {
			for _, method := range []string{MethodPush, MethodPull} {
				node.handlers[method] = count(method, node.handlers[method])
			}
		}
		var text strings.Builder
		for text.Len() < 4*inlineValueBytes {
			text.WriteString(uuid.NewString())
		}
		change := Change{Set: []resource.Resource{{Kind: resource.KindModel, Name: "m", Spec: &resource.Model{Description: text.String()}}}}
		w.applies.Go(func() {
			if _, err := w.nodes[0].Apply(w.ctx, change); err != nil {
				t.Errorf("apply: %v", err)
			}
		})
		w.run(heartbeatEvery - 2*step)
		for _, node := range w.nodes {
			if got := node.Current().Revision; got != 1 {
				t.Errorf("host %d is at revision %d", node.id, got)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		t.Logf("values sent: %d", values)
		// The applier offers it to a majority, and each host pulls it once.
		if values > n+n/2+1 {
			t.Errorf("the value was sent %d times to %d hosts", values, n)
		}
	})
}
