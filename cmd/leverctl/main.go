// Command leverctl is the command line tool of operators.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"github.com/corianderlever/corianderlever/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := ctl.Run(ctx, os.Args[1:], os.Stdout)
	switch {
	case err == nil, ctx.Err() != nil:
	case errors.Is(err, flag.ErrHelp):
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "leverctl:", err)
		os.Exit(1)
	}
}
