package allowance

// Share is the number of units that one host may consume in each minute without
// justification. It starts as an equal part of the fleet limit for each host that may
// hold a share. The host returns units to allocators and receives grants from them.
// Each unit belongs to exactly one host or one allocator, so the shares never add up
// to more than the fleet limit, even if messages are lost or duplicated.
type Share struct {
	minutes map[Minute]*minuteShare
}

// minuteShare is the share of one minute. The sums per fencing token only grow, so
// messages that carry them may be lost, duplicated or reordered.
type minuteShare struct {
	limit    float64
	returned map[int64]float64
	granted  map[int64]float64
}

// NewShare returns a share without units.
func NewShare() *Share { return &Share{minutes: map[Minute]*minuteShare{}} }

// Begin sets the initial share of a minute. Only the first call for a minute has
// an effect, so a change of terms or members applies from the next minute on.
func (s *Share) Begin(minute Minute, base float64) {
	if s.minutes[minute] != nil {
		return
	}
	s.minutes[minute] = &minuteShare{limit: base, returned: map[int64]float64{}, granted: map[int64]float64{}}
	for old := range s.minutes {
		if old < minute-keptMinutes {
			delete(s.minutes, old)
		}
	}
}

// Limit returns the units that the host may use in the minute.
func (s *Share) Limit(minute Minute) float64 {
	m := s.minutes[minute]
	if m == nil {
		return 0
	}
	return m.limit
}

// Return moves units of the share to the allocator with the given fencing token, at
// most the whole share.
func (s *Share) Return(minute Minute, fence int64, units float64) {
	m := s.minutes[minute]
	if m == nil || units <= 0 {
		return
	}
	units = min(units, m.limit)
	m.returned[fence] += units
	m.limit -= units
}

// Returned reports the units of the minute returned to an allocator so far.
func (s *Share) Returned(minute Minute, fence int64) float64 {
	if m := s.minutes[minute]; m != nil {
		return m.returned[fence]
	}
	return 0
}

// Grant applies a grant of an allocator. A grant for a minute that has not begun
// on this host or is too old has no effect.
func (s *Share) Grant(g Grant) {
	m := s.minutes[g.Minute]
	if m == nil || g.Units <= m.granted[g.Fence] {
		return
	}
	m.limit += g.Units - m.granted[g.Fence]
	m.granted[g.Fence] = g.Units
}
