// Command soakhost runs a host on the users' platform, like corianderlever host, for the fault
// soak, which cuts its links to the endpoints and its paths to other hosts through files.
package main

import (
	"fmt"
	"os"

	"github.com/corianderlever/corianderlever/daemon/command"
	"github.com/corianderlever/corianderlever/internal/signals"
	"github.com/corianderlever/corianderlever/platform"
	"github.com/corianderlever/corianderlever/platform/platformtest"
)

func main() {
	ctx := signals.Context()
	link, paths := &platformtest.Link{Source: os.Getenv(platformtest.SourceVariable)}, &platformtest.Paths{}
	go link.FollowFile(ctx, os.Getenv(platformtest.LinkVariable))
	go paths.FollowFile(ctx, os.Getenv(platformtest.PathsVariable))
	if err := command.RunHost(ctx, os.Stdout, os.Getenv(platform.SettingsVariable), command.Dialers{Endpoint: link.Dial, Host: paths.Dial}, signals.Reloads()); err != nil {
		fmt.Fprintln(os.Stderr, "soakhost:", err)
		os.Exit(1)
	}
}
