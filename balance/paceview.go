package balance

import (
	"math"
	"time"
)

// EnginePace is what a host knows of the pace of an engine that was measured lately.
type EnginePace struct {
	Endpoint string
	// Gap is the mean time between two events of its streams, of all hosts.
	Gap time.Duration
	// Slowness is the learned gap relative to that of the other engines at the same load.
	Slowness float64
	// Requests and Streams are the requests there and the streams measured, of all hosts.
	Requests, Streams int
	// Local is the number of this host's streams there.
	Local int
}

// EnginePaces returns the paces of the engines that were measured lately.
func (e *EngineChooser) EnginePaces() []EnginePace {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.refreshPaces(now)
	var out []EnginePace
	for _, en := range e.order {
		if p := &en.pace; p.measured(now) {
			out = append(out, EnginePace{
				Endpoint: en.spec.ID, Gap: time.Duration(p.gap * float64(time.Second)), Slowness: math.Exp(p.logSlowness),
				Requests: p.load, Streams: p.allStreams, Local: len(p.streams),
			})
		}
	}
	return out
}
