package placement_test

import (
	"fmt"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/placement"
)

func ExamplePlanner() {
	planner := placement.NewPlanner(clockwork.NewRealClock(), placement.DefaultConfig(10), nil)
	orders := planner.Plan(placement.State{
		Memory:  map[string]float64{"small-2": 30, "large-1": 60},
		Engines: []placement.Engine{{ID: "engine-1", Memory: 80, Capacity: 10, Loaded: []string{"small-2"}}},
		Demands: []placement.Demand{
			{Version: "small-2", Priority: 2, Rate: 8},
			{Version: "large-1", Priority: 0, Rate: 5},
		},
	})
	fmt.Println(orders)
	// Output:
	// [{engine-1 [small-2] large-1 0}]
}
