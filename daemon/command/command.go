// Package command implements the command line of the daemon.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/daemon"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/internal/logqueue"
)

// ErrUsage reports wrong arguments.
var ErrUsage = errors.New("usage error")

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "CORIANDERLEVER"

// Run runs the command line until ctx ends. A signal on reloads makes it read the settings
// again.
func Run(ctx context.Context, args []string, out io.Writer, reloads <-chan os.Signal) error {
	root := &ffcli.Command{
		Name: "corianderlever", ShortUsage: "corianderlever -config FILE | check FILE | demo | host",
		ShortHelp:   "Runs an entry host.",
		Subcommands: []*ffcli.Command{checkCommand(out), demoCommand(out, reloads), hostCommand(out, reloads)},
	}
	s := &serve{out: out, reloads: reloads}
	root.FlagSet = s.flags()
	root.Options = []ff.Option{
		ff.WithEnvVarPrefix(envPrefix), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(s.parse),
	}
	root.Exec = s.run
	return root.ParseAndRun(ctx, args)
}

// serve is the root command, which runs one entry host.
type serve struct {
	out      io.Writer
	reloads  <-chan os.Signal
	file     string
	settings config.Settings
	loaded   bool
	// override holds the flags that replace settings of the file.
	override struct{ host, entry, peer, logLevel string }
}

func (s *serve) flags() *flag.FlagSet {
	fs := flag.NewFlagSet("corianderlever", flag.ContinueOnError)
	fs.StringVar(&s.file, "config", "", "YAML settings file")
	fs.StringVar(&s.override.host, "host", "", "replaces the setting host")
	fs.StringVar(&s.override.entry, "listen-entry", "", "replaces the setting listen.entry")
	fs.StringVar(&s.override.peer, "listen-peer", "", "replaces the setting listen.peer")
	fs.StringVar(&s.override.logLevel, "log-level", "", "replaces the setting log_level")
	return fs
}

// parse implements ff.ConfigFileParser. The settings file holds more than flags, so
// it is decoded as a whole and the set function is not used.
func (s *serve) parse(r io.Reader, _ func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	s.settings, err = config.Parse(s.file, data)
	s.loaded = err == nil
	return err
}

func (s *serve) run(ctx context.Context, args []string) error {
	if !s.loaded || len(args) > 0 {
		return errors.Wrap(ErrUsage, "corianderlever -config FILE")
	}
	s.replaceSettings(&s.settings)
	if err := s.settings.Validate(); err != nil {
		return err
	}
	limitMemory(s.settings.Limits.MemoryBytes)
	var level slog.LevelVar
	level.Set(s.settings.Level())
	queue := logqueue.New(s.out, logQueueBytes)
	defer queue.Close()
	log := newLogger(queue, &level)
	h, err := daemon.New(daemon.Options{Settings: s.settings, Logger: log})
	if err != nil {
		return err
	}
	// Signals are followed until the end of the drain.
	followCtx, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()
	go s.followReloads(followCtx, &level, log.With("self", s.settings.Host))
	return h.Run(ctx)
}

// replaceSettings replaces the settings for which flags are set.
func (s *serve) replaceSettings(settings *config.Settings) {
	replace(&settings.Host, s.override.host)
	replace(&settings.Listen.Entry, s.override.entry)
	replace(&settings.Listen.Peer, s.override.peer)
	replace(&settings.LogLevel, s.override.logLevel)
}

// replace sets a setting to value unless value is empty.
func replace(setting *string, value string) {
	if value != "" {
		*setting = value
	}
}

func newLogger(out io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
}

func checkCommand(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "corianderlever check FILE", ShortHelp: "Checks a settings file without starting.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return errors.Wrap(ErrUsage, "corianderlever check FILE")
			}
			s, err := config.Load(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(out, "%s: settings of host %s are valid\n", args[0], s.Host)
			return err
		},
	}
}

// Sizes and bounds of the demonstration.
const (
	demoHosts       = 3
	demoEngines     = 3
	demoStopTimeout = time.Minute
)

func demoCommand(out io.Writer, reloads <-chan os.Signal) *ffcli.Command {
	fs := flag.NewFlagSet("corianderlever demo", flag.ContinueOnError)
	addr := fs.String("addr", "127.0.0.1:8080", "entry address of the first host")
	level := fs.String("log-level", "info", "debug, info, warn or error")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "corianderlever demo [-addr IP:PORT]", FlagSet: fs,
		ShortHelp: "Runs a whole deployment with simulated endpoints on loopback in one process.",
		Options:   []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			logger := newLogger(out, config.Settings{LogLevel: *level}.Level())
			go ignoreReloads(context.WithoutCancel(ctx), reloads, logger)
			return runDemo(ctx, *addr, logger)
		},
	}
}

func runDemo(ctx context.Context, addr string, logger *slog.Logger) error {
	c, err := demo.StartCluster(ctx, demo.ClusterOptions{
		Hosts: demoHosts, Engines: demoEngines, EntryAddress: addr, Logger: logger,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), uint64(os.Getpid()))),
	})
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		logger.Info("stopped during the start", "error", err)
		return nil
	}
	if err != nil {
		return err
	}
	logger.Info("ready", "entry", c.EntryAddresses()[0], "team_key", demo.TeamKey, "operator_key", demo.OperatorKey)
	<-ctx.Done()
	logger.Info("stopping")
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), demoStopTimeout)
	defer cancel()
	err = c.Stop(stopCtx)
	logger.Info("stopped", "error", err)
	return err
}
