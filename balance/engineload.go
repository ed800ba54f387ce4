package balance

import "time"

// EngineLoad is the load that one host puts on an engine.
type EngineLoad struct {
	// Running is the number of requests in flight.
	Running int
	// BacklogMS is the expected prefill time of the requests without a first event,
	// in milliseconds by priority. Trailing priorities without any are left out.
	BacklogMS []int64
}

// LocalLoads returns the load that this host puts on each engine, by engine ID. The
// host broadcasts it to its peers.
func (e *EngineChooser) LocalLoads() map[string]EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]EngineLoad)
	for id, en := range e.engines {
		if en.running > 0 {
			out[id] = EngineLoad{Running: en.running, BacklogMS: en.backlog.milliseconds()}
		}
	}
	return out
}

// PrefillEstimate is a host's estimate of the prefill time per token of a model.
type PrefillEstimate struct {
	// Nanoseconds is the prefill time per token.
	Nanoseconds int64 `json:"ns"`
	// Samples is the number of answers that the estimate is based on.
	Samples int `json:"n"`
}

// PrefillEstimates returns this host's estimates by model. The host broadcasts them
// to its peers.
func (e *EngineChooser) PrefillEstimates() map[string]PrefillEstimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]PrefillEstimate)
	for model, m := range e.timings {
		if m.samples > 0 {
			out[model] = PrefillEstimate{Nanoseconds: m.perToken.Nanoseconds(), Samples: m.samples}
		}
	}
	return out
}

// ObservePrefillEstimates adopts another host's estimates where they are based on
// more samples and this host has fewer than enoughSamples.
func (e *EngineChooser) ObservePrefillEstimates(estimates map[string]PrefillEstimate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for model, reported := range estimates {
		m := e.timing(model)
		m.busyPerToken = min(m.busyPerToken, time.Duration(reported.Nanoseconds))
		if reported.Samples > m.samples && m.samples < enoughSamples {
			m.perToken = time.Duration(reported.Nanoseconds)
		}
	}
}

// enoughSamples is the number of samples from which a host uses only its own
// estimate.
const enoughSamples = 20
