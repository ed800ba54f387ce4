// Command corianderlever runs the daemon of an entry host.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/corianderlever/corianderlever/daemon/command"
	"github.com/corianderlever/corianderlever/internal/signals"
)

func main() {
	err := command.Run(signals.Context(), os.Args[1:], os.Stdout, signals.Reloads())
	switch {
	case err == nil:
	case errors.Is(err, flag.ErrHelp):
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "corianderlever:", err)
		os.Exit(1)
	}
}
