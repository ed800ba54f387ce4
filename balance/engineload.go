package balance

import "time"

// EngineLoad is the load that one host puts on an engine.
type EngineLoad struct {
	// Running is the number of requests sent and not ended.
	Running int
	// BacklogMS is the reading work of requests that have not begun to answer, in
	// milliseconds by level; trailing levels without work are left out.
	BacklogMS []int64
}

// LocalLoads returns the host's own load, for the other hosts.
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

// PrefillEstimate is what a host has learned of the time to read a token.
type PrefillEstimate struct {
	// Nanoseconds is the time for one token.
	Nanoseconds int64 `json:"ns"`
	// Samples is the number of answers that it rests on.
	Samples int `json:"n"`
}

// PrefillEstimates returns what this host has learned by model, for the other hosts.
func (e *EngineChooser) PrefillEstimates() map[string]PrefillEstimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]PrefillEstimate)
	for model, r := range e.rates {
		if r.samples > 0 {
			out[model] = PrefillEstimate{Nanoseconds: r.perToken.Nanoseconds(), Samples: r.samples}
		}
	}
	return out
}

// ObservePrefillEstimates takes over what another host has learned from more answers.
func (e *EngineChooser) ObservePrefillEstimates(rates map[string]PrefillEstimate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for model, seen := range rates {
		if r := e.rate(model); seen.Samples > r.samples && r.samples < enoughSamples {
			r.perToken = time.Duration(seen.Nanoseconds)
		}
	}
}

// enoughSamples is the number of own answers from which a host goes by them.
const enoughSamples = 20
