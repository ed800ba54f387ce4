package cascade_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/cascade"
)

func Example() {
	clock := clockwork.NewFakeClockAt(time.Unix(0, 0))
	chooser := cascade.New(cascade.Config{Host: "a", Kinds: []string{"query"}}, clock, rand.New(rand.NewPCG(1, 1)))
	plan, err := chooser.Plan(cascade.Request{
		Kind:          "query",
		QualityTarget: 0.9,
		TimeLeft:      5 * time.Second,
		Candidates: []cascade.Candidate{
			{Version: "small", Cost: 1, PriorPassRate: 0.9, Latency: 300 * time.Millisecond},
			{Version: "large", Cost: 15, PriorPassRate: 0.98, Latency: time.Second},
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, step := range plan.Steps {
		fmt.Println(step.Version)
	}
	// Output:
	// small
	// large
}
