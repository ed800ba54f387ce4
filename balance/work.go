package balance

import "time"

// InFlight is one request at an engine.
type InFlight struct {
	engines *EngineChooser
	id      string
	model   string
	level   int
	read    time.Duration
	tokens  int
	started time.Time
	alone   bool
	begun   bool
	ended   bool
}

// Start records that a request was sent to the chosen engine.
func (e *EngineChooser) Start(c EngineChoice, req EngineRequest) *InFlight {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &InFlight{engines: e, id: c.Endpoint, model: req.Model, level: clampLevel(req.Priority), tokens: c.UncachedTokens, started: e.clock.Now()}
	en := e.engines[c.Endpoint]
	if en == nil {
		return w
	}
	w.alone = c.Backlog < aloneBacklog
	w.read = e.rate(req.Model).time(c.UncachedTokens)
	en.running++
	en.backlog[w.level] += w.read
	en.cache.add(partKeys(req.Model, req.Parts), req.Parts)
	return w
}

// FirstEvent records the first event of the answer.
func (w *InFlight) FirstEvent() {
	e := w.engines
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.begun || w.ended {
		return
	}
	w.begun = true
	w.settle()
	if w.alone {
		e.rate(w.model).observe(e.clock.Since(w.started), w.tokens)
	}
}

// End records the end of the request.
func (w *InFlight) End() {
	e := w.engines
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	if !w.begun {
		w.settle()
	}
	if en := e.engines[w.id]; en != nil && en.running > 0 {
		en.running--
	}
}

// settle takes the reading work off the engine's backlog.
func (w *InFlight) settle() {
	if en := w.engines.engines[w.id]; en != nil {
		en.backlog[w.level] = max(0, en.backlog[w.level]-w.read)
	}
}

// ObserveEventGap records the mean time between two events of a whole answer.
func (w *InFlight) ObserveEventGap(gap time.Duration) {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	r := w.engines.rate(w.model)
	if r.eventGap == 0 {
		r.eventGap = gap
		return
	}
	r.eventGap += time.Duration(gapGain * float64(gap-r.eventGap))
}
