package balance

import "time"

// InFlight tracks one request in flight at an engine.
type InFlight struct {
	engines    *EngineChooser
	id         string
	model      string
	priority   int
	prefill    time.Duration
	tokens     int
	started    time.Time
	engineIdle bool
	answering  bool
	ended      bool
}

// Start records that a request was sent to the chosen engine.
func (e *EngineChooser) Start(c EngineChoice, req EngineRequest) *InFlight {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := &InFlight{engines: e, id: c.Endpoint, model: req.Model, priority: clampPriority(req.Priority), tokens: c.UncachedTokens, started: e.clock.Now()}
	en := e.engines[c.Endpoint]
	if en == nil {
		return f
	}
	f.engineIdle = c.Backlog < idleBacklog
	f.prefill = e.timing(req.Model).prefillTime(c.UncachedTokens)
	en.running++
	en.backlog[f.priority] += f.prefill
	en.cache.add(partKeys(req.Model, req.Parts), req.Parts)
	return f
}

// FirstEvent records the first event of the answer, which ends the prefill.
func (f *InFlight) FirstEvent() {
	e := f.engines
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.answering || f.ended {
		return
	}
	f.answering = true
	f.removeFromBacklog()
	if f.engineIdle {
		e.timing(f.model).observePrefill(e.clock.Since(f.started), f.tokens)
	}
}

// End records the end of the request.
func (f *InFlight) End() {
	e := f.engines
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	if !f.answering {
		f.removeFromBacklog()
	}
	if en := e.engines[f.id]; en != nil && en.running > 0 {
		en.running--
	}
}

// removeFromBacklog removes the request's prefill time from the engine's backlog. The
// caller holds the lock.
func (f *InFlight) removeFromBacklog() {
	if en := f.engines.engines[f.id]; en != nil {
		en.backlog[f.priority] = max(0, en.backlog[f.priority]-f.prefill)
	}
}

// ObserveEventGap records the mean time between two events of a complete answer.
func (f *InFlight) ObserveEventGap(gap time.Duration) {
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	r := f.engines.timing(f.model)
	if r.eventGap == 0 {
		r.eventGap = gap
		return
	}
	r.eventGap += time.Duration(eventGapGain * float64(gap-r.eventGap))
}
