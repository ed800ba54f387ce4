package rollout_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/rollout"
)

func Example() {
	clock := clockwork.NewFakeClockAt(time.Unix(0, 0))
	detector := rollout.NewDetector(rollout.Config{Host: "a"}, clock)
	if err := detector.Declare("v2", 0.9, "v1"); err != nil {
		fmt.Println(err)
		return
	}
	for range 60 {
		detector.Observe("v2", "query", false)
	}
	spec := rollout.Spec{Steps: []float64{0.1, 0.5, 1}, StepDuration: time.Minute}
	state := detector.State("v2", "query")
	action, err := rollout.Decide(spec, rollout.Progress{Since: clock.Now(), Suspect: state.Suspect}, clock.Now())
	fmt.Println(detector.Share("v2", "query"), action.Kind, err)
	// Output: 0.01 roll_back <nil>
}
