package command

import (
	"context"
	"io"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderlever/corianderlever/daemon/router"
	"github.com/corianderlever/corianderlever/internal/logqueue"
	"github.com/corianderlever/corianderlever/platform"
	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/upstream"
)

const (
	// softMemoryShare is the part of the memory limit that is set as the soft limit of
	// the garbage collector.
	softMemoryShare = 0.6
	// logQueueBytes bounds the log lines queued for standard output.
	logQueueBytes = 1 << 20
)

// hostCommand returns the command that runs a host on the users' platform.
func hostCommand(out io.Writer, reloads <-chan os.Signal) *ffcli.Command {
	return &ffcli.Command{
		Name: "host", ShortUsage: "corianderlever host",
		ShortHelp: "Runs a host on the users' platform; " + platform.SettingsVariable + " names its settings file.",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return errors.Wrap(ErrUsage, "corianderlever host takes no arguments")
			}
			return RunHost(ctx, out, os.Getenv(platform.SettingsVariable), Dialers{}, reloads)
		},
	}
}

// Dialers open the connections of a host to endpoints and to other hosts; nil for TCP.
type Dialers struct {
	Endpoint, Host upstream.DialFunc
}

// RunHost runs a host on the users' platform with the settings file at path until ctx ends,
// and logs to out. A signal on reloads makes it read the settings at once.
func RunHost(ctx context.Context, out io.Writer, path string, dial Dialers, reloads <-chan os.Signal) error {
	if path == "" {
		return errors.Wrapf(ErrUsage, "%s is not set", platform.SettingsVariable)
	}
	queue := logqueue.New(out, logQueueBytes)
	defer queue.Close()
	log := newLogger(queue, slog.LevelInfo)
	file := &settingsFile{path: path, clock: clockwork.NewRealClock()}
	settings, err := file.wait(ctx, log)
	if ctx.Err() != nil {
		log.Info("stopped before the start", "error", err)
		return nil
	}
	if err != nil {
		return err
	}
	limitResources(settings)
	log = log.With("self", settings.Host)
	log.Info("starting", "settings", settings)
	store := platform.NewStore(settings.StoreAddress)
	defer store.Close()
	h, err := router.New(router.Options{
		Settings: settings.Router(), Store: store, Records: platform.Records{}, Headers: platform.Headers{},
		DialEndpoint: dial.Endpoint, DialHost: dial.Host,
		NewEdge: func(h *router.Host, r *relay.Relay) router.Handlers { return platform.NewEdge(h, r, log) },
		Logger:  log,
	})
	if err != nil {
		return err
	}
	// The settings are followed until the end of the drain.
	followCtx, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()
	go file.follow(followCtx, reloads, h, log)
	return h.Run(ctx)
}

// limitResources sets the number of threads and the soft memory limit to the host's
// share of the machine.
func limitResources(s platform.Settings) {
	if s.CPUFraction > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(s.CPUFraction))))
	}
	limitMemory(s.MemoryBytes)
}

// limitMemory sets the soft memory limit of the runtime for a process that may use a number
// of bytes, zero if it is not limited.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(bytes)))
	}
}
