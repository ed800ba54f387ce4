// Command measure prints the decision measurements, one line per measure.
package main

import (
	"fmt"

	"github.com/corianderlever/corianderlever/internal/measure"
	"github.com/corianderlever/corianderlever/internal/measure/admission"
	"github.com/corianderlever/corianderlever/internal/measure/allowance"
	"github.com/corianderlever/corianderlever/internal/measure/balance"
	"github.com/corianderlever/corianderlever/internal/measure/cascade"
	"github.com/corianderlever/corianderlever/internal/measure/limiter"
	"github.com/corianderlever/corianderlever/internal/measure/placement"
	"github.com/corianderlever/corianderlever/internal/measure/rollout"
)

// suites lists the measurements of all decisions, in the order they are printed.
var suites = []func() []measure.Line{
	cascade.Run,
	rollout.Run,
	allowance.Run,
	admission.Run,
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
