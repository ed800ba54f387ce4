// Command soakhost runs a host on the users' platform, like corianderlever host, for the fault
// soak, which cuts its links to the endpoints through a file.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/corianderlever/corianderlever/daemon/command"
	"github.com/corianderlever/corianderlever/platform"
	"github.com/corianderlever/corianderlever/platform/platformtest"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	link := &platformtest.Link{}
	go link.FollowFile(ctx, os.Getenv(platformtest.LinkVariable))
	if err := command.RunHost(ctx, os.Stdout, os.Getenv(platform.SettingsVariable), link.Dial); err != nil {
		fmt.Fprintln(os.Stderr, "soakhost:", err)
		os.Exit(1)
	}
}
