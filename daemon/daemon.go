// Package daemon puts the services of an entry host together.
package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/internal/background"
	"github.com/corianderlever/corianderlever/internal/defaults"
	"github.com/corianderlever/corianderlever/kernel"
	"github.com/corianderlever/corianderlever/kv"
)

// Options configure a Host.
type Options struct {
	// Settings are the checked settings.
	Settings config.Settings
	// KV replaces the key-value service of the settings.
	KV kv.KV
	// Clock, Rand, Logger and Registry have defaults.
	Clock    clockwork.Clock
	Rand     *rand.Rand
	Logger   *slog.Logger
	Registry *prometheus.Registry
}

func (o *Options) complete() {
	defaults.Fill(&o.Clock, &o.Rand, &o.Logger, &o.Registry)
	o.Logger = o.Logger.With("self", o.Settings.Host)
}

// base is what all services of a host share.
type base struct {
	opts *Options
	run  *background.Group
}

// Host is one entry host.
type Host struct {
	opts   *Options
	kernel *kernel.Kernel
	entry  *entryService
}

// New puts a host together without starting it.
func New(opts Options) (*Host, error) {
	opts.complete()
	h := &Host{opts: &opts, kernel: kernel.New()}
	newBase := func() base { return base{opts: h.opts, run: background.NewGroup(h.opts.Logger)} }
	h.entry = &entryService{base: newBase()}
	err := h.kernel.Register(
		&platformService{base: newBase()},
		&certsService{base: newBase()},
		&peerService{base: newBase()},
		&membershipService{base: newBase()},
		&configurationService{base: newBase()},
		&ledgerService{base: newBase()},
		&claimsService{base: newBase()},
		&signalService{base: newBase()},
		&dispatchService{base: newBase()},
		&rolesService{base: newBase()},
		h.entry,
	)
	return h, errors.Wrap(err, "daemon: register services")
}

// Start starts all services. It returns when the host answers callers.
func (h *Host) Start(ctx context.Context) error {
	return errors.Wrap(h.kernel.Start(ctx), "daemon: start")
}

// Stop drains the host and stops all services in reverse order. It returns
// ErrDrainTimeout if running requests had to be cut.
func (h *Host) Stop(ctx context.Context) error {
	return errors.Wrap(h.kernel.Stop(ctx), "daemon: stop")
}

// EntryAddress returns the address on which the host answers callers.
func (h *Host) EntryAddress() string { return h.entry.address() }

// Run starts the host, waits for ctx to end, and stops it. The stop may take
// as long as the settings allow for draining.
func (h *Host) Run(ctx context.Context) error {
	if err := h.Start(ctx); err != nil {
		return err
	}
	h.opts.Logger.Info("ready", "entry", h.EntryAddress())
	<-ctx.Done()
	h.opts.Logger.Info("stopping")
	s := h.opts.Settings.Drain
	bound := s.EntryTTL.AsDuration() + s.Timeout.AsDuration() + stopMargin
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), bound)
	defer cancel()
	err := h.Stop(stopCtx)
	h.opts.Logger.Info("stopped", "error", err)
	return err
}

// stopMargin is the time for the services to stop after draining.
const stopMargin = 15 * time.Second

// every calls f at each interval until ctx ends.
func every(ctx context.Context, clock clockwork.Clock, interval time.Duration, f func()) error {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			f()
		}
	}
}
