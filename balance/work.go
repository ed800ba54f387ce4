package balance

import "time"

// InFlight tracks one request in flight at an engine.
type InFlight struct {
	chooser        *EngineChooser
	engine         *engine // at the start; nil if it was unknown
	id             string
	model          string
	priority       int
	prefill        time.Duration
	uncachedTokens int
	started        time.Time
	engineIdle     bool
	prefillDone    bool
	ended          bool
	ownTokens      int // of the part of the prompt that no other request shares
	events         int
	pace           streamPace
}

// Start records that a request was sent to the chosen engine.
func (e *EngineChooser) Start(c EngineChoice, req EngineRequest) *InFlight {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := &InFlight{chooser: e, id: c.Endpoint, model: req.Model, priority: clampPriority(req.Priority), uncachedTokens: c.UncachedTokens, started: e.clock.Now()}
	en := e.engines[c.Endpoint]
	if en == nil {
		return f
	}
	f.engine = en
	// A wait for a slot would count as prefill time.
	f.engineIdle = c.Backlog < idleBacklog && !e.slotsFull(en)
	f.prefill = e.timing(req.Model).prefillTime(c.UncachedTokens)
	if n := len(req.Parts); n > 0 && en.spec.EventTokens > 0 {
		f.ownTokens = req.Parts[n-1].Tokens
	}
	en.running++
	en.pace.tokens += f.ownTokens
	en.backlog[f.priority] += f.prefill
	en.cache.add(partKeys(req.Model, req.Parts), req.Parts)
	return f
}

// FirstEvent records the first event of the answer, which ends the prefill.
func (f *InFlight) FirstEvent() {
	e := f.chooser
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.prefillDone || f.ended {
		return
	}
	f.prefillDone = true
	f.removeFromBacklog()
	if f.engineIdle {
		e.timing(f.model).observePrefill(e.clock.Since(f.started), f.uncachedTokens)
	}
}

// End records the end of the request.
func (f *InFlight) End() {
	e := f.chooser
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	if !f.prefillDone {
		f.removeFromBacklog()
	}
	if en := f.current(); en != nil && en.running > 0 {
		en.running--
		f.endPace(en)
	}
}

// current returns the engine of the request, or nil if the chooser has dropped it meanwhile. An
// engine that was left out for a while comes back with a new state, which does not count the
// request. The caller holds the lock.
func (f *InFlight) current() *engine {
	if f.engine == nil || f.chooser.engines[f.id] != f.engine {
		return nil
	}
	return f.engine
}

// removeFromBacklog removes the request's prefill time from the engine's backlog. The
// caller holds the lock.
func (f *InFlight) removeFromBacklog() {
	if en := f.current(); en != nil {
		en.backlog[f.priority] = max(0, en.backlog[f.priority]-f.prefill)
	}
}

// ObserveEventGap records the mean time between two events of a complete answer.
func (f *InFlight) ObserveEventGap(gap time.Duration) {
	f.chooser.mu.Lock()
	defer f.chooser.mu.Unlock()
	m := f.chooser.timing(f.model)
	if m.eventGap == 0 {
		m.eventGap = gap
		return
	}
	m.eventGap += time.Duration(eventGapGain * float64(gap-m.eventGap))
}
