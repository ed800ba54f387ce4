package balance

// MeanRunning returns the mean number of requests running at an engine, from all hosts.
func (e *EngineChooser) MeanRunning() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.order) == 0 {
		return 0
	}
	now, total := e.clock.Now(), 0
	for _, en := range e.order {
		running, _ := e.totalLoad(en, now)
		total += running
	}
	return float64(total) / float64(len(e.order))
}
