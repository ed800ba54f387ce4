// Command capacity measures how the cost of the control plane grows with the
// size of the fleet and prints the cost at the design size.
package main

import (
	"fmt"
	"os"

	"github.com/corianderlever/corianderlever/internal/capacity"
)

func main() {
	if err := capacity.Report(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
