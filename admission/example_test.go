package admission_test

import (
	"context"
	"fmt"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/admission"
)

func Example() {
	q := admission.New(clockwork.NewRealClock(), admission.DefaultLimits, "host-1", 1)
	ranks := []admission.Rank{{Name: "urgent", Priority: 0, Floor: 0.5}, {Name: "batch", Priority: 1, Floor: 0.1}}
	if err := q.ApplyConfig(ranks, []admission.Team{{Name: "mercedes"}}); err != nil {
		fmt.Println(err)
		return
	}
	q.SetCapacity(8)
	grant, err := q.Acquire(context.Background(), admission.Request{Rank: "urgent", Team: "mercedes", Cost: 3})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("in flight:", q.Stats().InFlight)
	grant.Release(2.5)
	fmt.Println("in flight:", q.Stats().InFlight)
	// Output:
	// in flight: 1
	// in flight: 0
}
