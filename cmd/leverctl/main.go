// Command leverctl is the command line tool of operators.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := ctl.Run(ctx, os.Args[1:], os.Stdout)
	status := ctl.ExitStatus(err, ctx.Err() != nil)
	if status != 0 && !errors.Is(err, flag.ErrHelp) && !errors.Is(err, ctl.ErrFindings) {
		fmt.Fprintln(os.Stderr, "leverctl:", err)
	}
	os.Exit(status)
}
