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
	unreadable := errors.Is(err, ctl.ErrUnreadable)
	if ctx.Err() != nil && !unreadable {
		return // interrupted, which is how watch ends
	}
	if err != nil && !errors.Is(err, flag.ErrHelp) && !errors.Is(err, ctl.ErrFindings) {
		fmt.Fprintln(os.Stderr, "leverctl:", err)
	}
	os.Exit(ctl.ExitStatus(err))
}
