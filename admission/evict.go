package admission

// size measures queued requests in one of the two bounded quantities.
type size struct {
	bound float64
	team  func(*team) float64
	rank  func(*rankState) float64
	flow  func(*flow) float64
}

// exceeded returns the size that is over its bound, or nil. A single waiting
// request is always allowed, whatever its cost.
func (c *Core) exceeded() *size {
	switch {
	case len(c.waiting) <= 1:
		return nil
	case len(c.waiting) > c.limits.MaxWaiting:
		return &size{
			bound: float64(c.limits.MaxWaiting),
			team:  func(t *team) float64 { return float64(t.count) },
			rank:  func(r *rankState) float64 { return float64(r.waiting) },
			flow:  func(f *flow) float64 { return float64(f.count) },
		}
	case c.work > c.limits.MaxWaitingCost:
		return &size{
			bound: c.limits.MaxWaitingCost,
			team:  func(t *team) float64 { return t.work },
			rank:  func(r *rankState) float64 { return r.work },
			flow:  func(f *flow) float64 { return f.work },
		}
	}
	return nil
}

// enforceBounds drops requests until the queue is within its bounds. The
// newcomer is told that the queue is full, any other that it was evicted.
func (c *Core) enforceBounds(newcomer *waiter) []Drop {
	var drops []Drop
	for s := c.exceeded(); s != nil; s = c.exceeded() {
		w := c.victim(s).tail
		cause := ErrEvicted
		if w == newcomer {
			cause = ErrFull
		}
		drops = append(drops, c.drop(w, cause))
	}
	return drops
}

// victim returns the flow that gives up its newest request. Only teams over
// their share of the queue lose requests. A rank keeps its floor's share of the
// queue too, because a floor is of no use to a rank without waiting work.
func (c *Core) victim(s *size) *flow {
	unit := c.shareUnit(s)
	for _, respectFloor := range []bool{true, false} {
		for i := len(c.ranks) - 1; i >= 0; i-- {
			r := c.ranks[i]
			if respectFloor && s.rank(r) <= r.Floor*s.bound {
				continue
			}
			if f := r.furthestOver(s, unit); f != nil {
				return f
			}
		}
	}
	return c.largest(s)
}

// shareUnit returns the part of the bound per unit of weight of the teams that
// have waiting requests.
func (c *Core) shareUnit(s *size) float64 {
	weights := 0.0
	for _, t := range c.teams {
		if t.count > 0 {
			weights += t.weight
		}
	}
	return s.bound / weights
}

// furthestOver returns the flow of the team furthest over its share, or nil.
func (r *rankState) furthestOver(s *size, unit float64) *flow {
	var best *flow
	bestOver := 0.0
	for _, f := range r.active {
		over := s.team(f.team)/f.team.weight - unit
		if over <= 0 {
			continue
		}
		if best == nil || over > bestOver || over == bestOver && f.team.name < best.team.name {
			best, bestOver = f, over
		}
	}
	return best
}

// largest returns the flow with the most per weight. It decides only when
// rounding hides that some team is over its share.
func (c *Core) largest(s *size) *flow {
	var best *flow
	for _, r := range c.ranks {
		for _, f := range r.active {
			if best == nil || s.flow(f)/f.team.weight > s.flow(best)/best.team.weight {
				best = f
			}
		}
	}
	return best
}
