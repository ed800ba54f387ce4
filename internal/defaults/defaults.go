// Package defaults sets the default values of a daemon's options.
package defaults

import (
	"log/slog"
	"math/rand/v2"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
)

// Fill replaces each nil value by its default: the real clock, a randomly seeded
// random source, the default logger and an empty metrics registry.
func Fill(clock *clockwork.Clock, random **rand.Rand, logger **slog.Logger, registry **prometheus.Registry) {
	if *clock == nil {
		*clock = clockwork.NewRealClock()
	}
	if *random == nil {
		*random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if *logger == nil {
		*logger = slog.Default()
	}
	if *registry == nil {
		*registry = prometheus.NewRegistry()
	}
}
