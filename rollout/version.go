package rollout

// VersionState returns what is known about a version over all its classes: the sum
// of the rated answers, and the worst suspicion and verdict.
func (d *Detector) VersionState(version string) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out State
	for key, c := range d.classes {
		if key.version != version {
			continue
		}
		out.Rated += c.rated
		out.Suspect = out.Suspect || c.verdict.Suspect
		out.Suspicion = max(out.Suspicion, d.suspicion(c.test.evidence()))
	}
	return out
}
