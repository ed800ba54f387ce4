// Command capacity measures slopes and prints the cost of control at the size
// to design for.
package main

import (
	"fmt"
	"os"

	"github.com/corianderlever/corianderlever/internal/capacity"
)

func main() {
	for _, n := range []int{500, 1000, 2600, 5200} {
		h, err := capacity.MeasureConfiguration(n)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("%+v\n", h)
	}
}
