package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/balance"
)

// TestSlowEndpointGetsLessUntilItRecovers guards against a choice that treats an endpoint which
// takes several times as long as the others like them, against one that goes on after the
// restart of the endpoint, and against an endpoint that is left out for good.
func TestSlowEndpointGetsLessUntilItRecovers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		p := balance.NewPicker(clock, rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), balance.DefaultConfig("a"))
		var list []balance.Endpoint
		for i := range 4 {
			list = append(list, balance.Endpoint{ID: fmt.Sprint("e", i), FailureDomain: "a", Versions: []string{"v"}, Concurrency: 8})
		}
		p.SetEndpoints(list)
		picks := func(n int) (slow int) {
			for range n {
				c, err := p.Pick(balance.Request{Version: "v"})
				if err != nil {
					rt.Fatal(err)
				}
				if c.Endpoint == "e0" {
					slow++
				}
			}
			return slow
		}
		slowness := rapid.IntRange(3, 20).Draw(rt, "slowness")
		for i := range 400 {
			took := time.Second
			if i%4 == 0 {
				took *= time.Duration(slowness)
			}
			id := fmt.Sprint("e", i%4)
			p.Started(id, nil)
			clock.Advance(50 * time.Millisecond)
			p.Finished(id, took)
		}
		if got := picks(100); got != 0 {
			rt.Fatalf("%d of 100 requests to the idle endpoint that takes %d times as long, want none", got, slowness)
		}
		if rapid.Bool().Draw(rt, "restart") {
			p.ForgetServiceTime("e0")
		} else {
			clock.Advance(10 * time.Minute)
		}
		if got := picks(100); got == 0 {
			rt.Error("no request to the endpoint after its restart or ten minutes later")
		}
	})
}
