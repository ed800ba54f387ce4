package drain

// Sweep closes the connections that are beyond their limits now.
func (t *Tracker) Sweep() { t.sweep() }

const (
	// SweepInterval is the time between two sweeps.
	SweepInterval = sweepInterval
	// LookTime is the time in which an expired connection may still receive bytes.
	LookTime = lookTime
)

// ReadsHeader reports whether a connection has begun a header that is not complete.
func (t *Tracker) ReadsHeader() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.header.reading {
			return true
		}
	}
	return false
}

// Unused returns the number of connections without a request.
func (t *Tracker) Unused() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for c := range t.conns {
		if c.unused() {
			n++
		}
	}
	return n
}
