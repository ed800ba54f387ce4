package daemon_test

import (
	"sync"
	"testing"

	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/config"
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

// TestLastHostThatStopsInOutageWaitsForTheStore guards against billing records that are lost
// because no other host is left to hold their copies, although the store returns at once.
func TestLastHostThatStopsInOutageWaitsForTheStore(t *testing.T) {
	var log logBuffer
	c := newClusterOf(t, 1, &log, func(*config.Settings) {})
	c.Faults[0].Inject(memkv.Outage, memkv.Always)
	id := uuid.Must(uuid.NewV7()).String()
	resp, err := c.sendVia(0, client.Request{ID: id}, prompt("x"))
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- c.StopHost(c.ctx, 0) }()
	c.eventually(testTimeout/4, "the host could not write its records", func() bool { return len(log.lines("billing records left to peers")) > 0 })
	c.Faults[0].ClearAll()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if err := c.StartHost(c.ctx, 0); err != nil {
		t.Fatal(err)
	}
	c.checkBill(map[string]float64{id: resp.Receipt.Cost})
}
