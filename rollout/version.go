package rollout

// VersionState returns the state of a version over all its classes: the sum of
// the rated answers, the highest suspicion, and whether any class is suspect.
func (d *Detector) VersionState(version string) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	var state State
	for key, c := range d.classes {
		if key.version != version {
			continue
		}
		state.Rated += c.rated
		state.Suspect = state.Suspect || c.verdict.Suspect
		state.Suspicion = max(state.Suspicion, d.suspicion(c.test.evidence()))
	}
	return state
}
