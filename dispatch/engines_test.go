package dispatch_test

import (
	"context"
	"testing"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/rollout"
)

// TestEngineWithoutVersionsGetsNoWork guards against requests to an engine that
// reports an empty list of loaded versions. Such a report was mistaken for a missing
// report, and all declared versions counted as loaded.
func TestEngineWithoutVersionsGetsNoWork(t *testing.T) {
	r := newRig(t, 2)
	r.pool.ObserveLoad("engine-a", engine.LoadReport{})
	for range 8 {
		if _, err := r.client.Chat(context.Background(), client.Request{}, chat("small", "x")); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(r.endpoints.Engines[0].Runs()); n > 0 {
		t.Errorf("the engine without versions got %d requests, want none", n)
	}
}

// TestAnswersOfSuspectVersionAreRated guards against a suspect version of whose
// answers only a sample is rated, so that its recovery is detected late.
func TestAnswersOfSuspectVersionAreRated(t *testing.T) {
	r := newRig(t, 1)
	for _, res := range r.resources {
		if res.Name == "small-1" {
			res.Spec.(*resource.Version).State = resource.VersionWithdrawn
		}
	}
	r.apply(r.d.Queue, r.resources)
	r.endpoints.Engines[0].SetQuality("small-2", 0) // it must not recover
	verdict := rollout.ClassSummary{Version: "small-2", Epoch: 1, Suspect: true, Drop: 0.4, Reference: 0.7}
	if err := r.d.Detector.Merge(rollout.Summary{Host: "other", Incarnation: 1, Classes: []rollout.ClassSummary{verdict}}); err != nil {
		t.Fatal(err)
	}
	const requests = 20
	for range requests {
		if _, err := r.client.Chat(context.Background(), client.Request{}, chat("small", "x")); err != nil {
			t.Fatal(err)
		}
	}
	r.d.Close()
	if rated := r.d.Detector.State("small-2", "").Rated; rated != requests {
		t.Errorf("%d of %d answers of the suspect version were rated", rated, requests)
	}
}
