// Command measure runs the measurements of the router's decisions and prints one
// line per measure.
package main

import (
	"fmt"

	"github.com/corianderlever/corianderlever/internal/measure"
	"github.com/corianderlever/corianderlever/internal/measure/admission"
	"github.com/corianderlever/corianderlever/internal/measure/allowance"
	"github.com/corianderlever/corianderlever/internal/measure/balance"
	"github.com/corianderlever/corianderlever/internal/measure/cascade"
	"github.com/corianderlever/corianderlever/internal/measure/gate"
	"github.com/corianderlever/corianderlever/internal/measure/limiter"
	"github.com/corianderlever/corianderlever/internal/measure/placement"
	"github.com/corianderlever/corianderlever/internal/measure/rollout"
)

// suites lists the measurements in the order in which they are printed.
var suites = []func() []measure.Line{
	cascade.Run,
	rollout.Run,
	allowance.Run,
	admission.Run,
	gate.Run,
	balance.Run,
	limiter.Run,
	placement.Run,
}

func main() {
	for _, suite := range suites {
		for _, line := range suite() {
			fmt.Println(line)
		}
	}
}
