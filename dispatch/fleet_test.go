package dispatch_test

import (
	"context"
	"testing"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/engine"
)

// Guards against work for an engine that reports no loaded version, whose
// report was taken for no report at all.
func TestEngineWithoutVersionsGetsNoWork(t *testing.T) {
	r := newRig(t, 2)
	r.fleet.ObserveLoad("engine-a", engine.LoadReport{})
	for range 8 {
		if _, err := r.client.Chat(context.Background(), client.Request{}, chat("small", "x")); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(r.endpoints.Engines[0].Runs()); n > 0 {
		t.Errorf("the engine without versions got %d requests", n)
	}
}
