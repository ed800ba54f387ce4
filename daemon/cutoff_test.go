package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/platform/platformtest"
	"github.com/corianderlever/corianderlever/upstream"
)

// TestHostWithoutEndpointsServesItsCallers guards against a host that fails its callers, or
// blames the endpoints, because it has lost its links to them while the other hosts reach them.
func TestHostWithoutEndpointsServesItsCallers(t *testing.T) {
	const hosts = 3
	// contactTime is the time after which a host that has lost its links must serve again.
	const contactTime = 3 * time.Second
	for name, state := range map[string]platformtest.LinkState{"silent": platformtest.LinkSilent, "reset": platformtest.LinkReset} {
		t.Run(name, func(t *testing.T) {
			var link platformtest.Link
			var log logBuffer
			c := startClusterWith(t, demo.ClusterOptions{Hosts: hosts, DialEndpoint: func(i int) upstream.DialFunc {
				if i == 0 {
					return link.Dial
				}
				return nil
			}}, &log, func(*config.Settings) {})
			link.Set(state)
			time.Sleep(contactTime)
			const requests = 30
			served := make(map[string]float64)
			for n := range requests {
				id := uuid.Must(uuid.NewV7()).String()
				if resp, err := c.sendVia(0, client.Request{ID: id}, prompt(fmt.Sprint("question ", n))); err == nil {
					served[id] = resp.Receipt.Cost
				}
			}
			c.checkBill(served)
			booked := 0
			for n := range requests {
				direct := demo.DirectClient(c.Hosts[0].EntryAddress(), demo.TeamKey)
				if _, err := direct.Call(c.ctx, client.Request{ID: uuid.Must(uuid.NewV7()).String()}, "booking", "book", map[string]any{"n": n}); err == nil {
					booked++
				}
			}
			t.Logf("%d of %d chats and %d of %d bookings served at the host without links", len(served), requests, booked, requests)
			if len(served) < requests*2/3 || booked < requests*2/3 {
				t.Error("too few requests were served")
			}
			if len(log.lines("endpoint crashed")) > 0 {
				t.Error("a crash is logged, but no endpoint crashed")
			}
		})
	}
}
