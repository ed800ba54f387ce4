// Command capacity measures slopes and prints the cost of control at the size
// to design for.
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
