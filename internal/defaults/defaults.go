// Package defaults fills in what the options of a daemon leave out.
package defaults

import (
	"log/slog"
	"math/rand/v2"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
)

// Fill sets each value that is nil: the real clock, a random source with a seed
// of its own, the default logger and an empty registry.
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
