package proctest_test

import (
	"fmt"

	"github.com/corianderlever/corianderlever/engine/fakeengine"
	"github.com/corianderlever/corianderlever/internal/proctest"
	"github.com/corianderlever/corianderlever/load"
)

func ExampleOracle_CheckRuns() {
	run := fakeengine.Run{Service: "booking", Operation: "lookup", Key: "a"}
	oracle := proctest.Oracle{
		Runs: []fakeengine.Run{run},
		Callers: []proctest.Caller{{Attempts: 1, Records: []load.Record{
			{ID: "a", Service: "booking", Operation: "lookup", Outcome: "not_run"},
		}}},
	}
	fmt.Println(len(oracle.CheckRuns()), "violation: the request ran")
	// Output: 1 violation: the request ran
}
