// Package daemon assembles the services of an entry host.
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
	"github.com/corianderlever/corianderlever/upstream"
)

// Options configure a Host.
type Options struct {
	// Settings are the validated settings.
	Settings config.Settings
	// KV, if set, replaces the key-value service named in the settings.
	KV kv.KV
	// DialEndpoint opens connections to endpoints that are not encrypted; it defaults to TCP.
	DialEndpoint upstream.DialFunc
	// Clock, Rand, Logger and Registry are optional.
	Clock    clockwork.Clock
	Rand     *rand.Rand
	Logger   *slog.Logger
	Registry *prometheus.Registry
}

func (o *Options) complete() {
	defaults.Fill(&o.Clock, &o.Rand, &o.Logger, &o.Registry)
	o.Logger = o.Logger.With("self", o.Settings.Host)
}

// base holds the options and the goroutines of a service.
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

// New assembles a host without starting it.
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

// Start starts all services. It returns once the host answers callers.
func (h *Host) Start(ctx context.Context) error {
	return errors.Wrap(h.kernel.Start(ctx), "daemon: start")
}

// Stop drains the host and stops all services in reverse order. It returns
// ErrDrainTimeout if requests in flight had to be cut.
func (h *Host) Stop(ctx context.Context) error {
	return errors.Wrap(h.kernel.Stop(ctx), "daemon: stop")
}

// EntryAddress returns the address on which the host answers callers.
func (h *Host) EntryAddress() string { return h.entry.address() }

// Run starts the host, waits for ctx to end, and stops it. Stopping takes at most
// the drain time of the settings plus stopMargin. A host that is stopped while it starts
// ends without an error.
func (h *Host) Run(ctx context.Context) error {
	err := h.Start(ctx)
	switch {
	case err != nil && errors.Is(err, context.Cause(ctx)):
		h.opts.Logger.Info("stopped during the start", "cause", err)
		return nil
	case err != nil:
		return err
	}
	h.opts.Logger.Info("ready", "entry", h.EntryAddress())
	<-ctx.Done()
	h.opts.Logger.Info("stopping")
	s := h.opts.Settings.Drain
	bound := s.EntryTTL.AsDuration() + s.Timeout.AsDuration() + stopMargin
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), bound)
	defer cancel()
	err = h.Stop(stopCtx)
	h.opts.Logger.Info("stopped", "error", err)
	return err
}

// stopMargin is the time that the services have to stop after draining.
const stopMargin = 15 * time.Second
