// Command measure prints the decision measurements, one line per measure.
package main

import (
	"fmt"

	"github.com/corianderlever/corianderlever/internal/measure"
)

// suites lists the measurements of all decisions, in the order they are printed.
var suites = []func() []measure.Line{}

func main() {
	for _, suite := range suites {
		for _, line := range suite() {
			fmt.Println(line)
		}
	}
}
