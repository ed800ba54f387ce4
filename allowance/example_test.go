package allowance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/corianderlever/corianderlever/allowance"
)

func Example() {
	start := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	cfg := allowance.Config{
		Host: "host-1", Incarnation: 1, Members: 2,
		Terms: allowance.Terms{PeakPrice: 10, Allowance: 100},
	}
	c, err := allowance.NewController(start, cfg, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		fmt.Println(err)
		return
	}
	now := start.Add(90 * time.Second)
	urgent := allowance.Request{Rank: "urgent", Worth: 1000, Cost: 45, Deadline: now.Add(8 * time.Second)}
	batch := allowance.Request{Rank: "batch", Worth: 100, Cost: 10, Deadline: now.Add(time.Hour)}
	for _, req := range []allowance.Request{urgent, batch, urgent} {
		d := c.Decide(now, req)
		fmt.Println(req.Rank, d.Action, d.Reason, d.Overrun != nil)
		if d.Action == allowance.Admit {
			c.Settle(now, d.Commitment, req.Cost)
		}
	}
	// Output:
	// urgent admit under_peak false
	// batch defer later_minute false
	// urgent admit worth_exceeds_rise true
}
