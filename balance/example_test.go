package balance_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/balance"
)

func ExamplePicker() {
	random := rand.New(rand.NewPCG(1, 2))
	picker := balance.NewPicker(clockwork.NewRealClock(), random, balance.DefaultConfig("hall-1"))
	picker.SetEndpoints([]balance.Endpoint{
		{ID: "near", FailureDomain: "hall-1", Versions: []string{"small-2"}, Concurrency: 8},
		{ID: "far", FailureDomain: "hall-2", Versions: []string{"small-2"}, Concurrency: 8},
	})
	choice, _ := picker.Pick(balance.Request{Version: "small-2"})
	picker.Started(choice.Endpoint, nil)
	fmt.Println(choice.Endpoint)
	_, err := picker.Pick(balance.Request{Version: "small-2", Exclude: []string{"near", "far"}})
	fmt.Println(err)
	// Output:
	// near
	// balance: no endpoint
}
