package daemon_test

import (
	"sync"
	"testing"

	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

// TestHostsThatStopTogetherInOutageLoseNoRecord guards against billing records that are lost
// because the host with their copies stops at the same time, during an outage of the store.
func TestHostsThatStopTogetherInOutageLoseNoRecord(t *testing.T) {
	const stopping = 4
	c := newCluster(t)
	for _, f := range c.Faults {
		f.Inject(memkv.Outage, memkv.Always)
	}
	served := make(map[string]float64)
	for i := range stopping {
		for range 8 {
			id := uuid.Must(uuid.NewV7()).String()
			body := prompt(id)
			resp, err := c.sendVia(i, client.Request{ID: id}, body)
			if err != nil {
				t.Fatalf("host %d: %v", i, err)
			}
			served[id] = resp.Receipt.Cost
		}
	}
	var stops sync.WaitGroup
	for i := range stopping {
		stops.Go(func() {
			if err := c.StopHost(c.ctx, i); err != nil {
				t.Error(err)
			}
		})
	}
	stops.Wait()
	for _, f := range c.Faults {
		f.ClearAll()
	}
	c.checkBill(served)
}
