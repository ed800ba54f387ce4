package admission

// queueBound is one of the two bounds of the queue (number or cost of waiting
// requests) with functions that measure the bounded quantity.
type queueBound struct {
	limit  float64
	ofTeam func(*team) float64
	ofRank func(*rankState) float64
	ofFlow func(*flow) float64
}

// exceededBound returns the bound that the queue exceeds, or nil. A single
// waiting request is always allowed, whatever its cost.
func (c *Core) exceededBound() *queueBound {
	switch {
	case len(c.waiting) <= 1:
		return nil
	case len(c.waiting) > c.limits.MaxWaiting:
		return &queueBound{
			limit:  float64(c.limits.MaxWaiting),
			ofTeam: func(t *team) float64 { return float64(t.waiting) },
			ofRank: func(r *rankState) float64 { return float64(r.waiting) },
			ofFlow: func(f *flow) float64 { return float64(f.waiting) },
		}
	case c.waitingCost > c.limits.MaxWaitingCost:
		return &queueBound{
			limit:  c.limits.MaxWaitingCost,
			ofTeam: func(t *team) float64 { return t.waitingCost },
			ofRank: func(r *rankState) float64 { return r.waitingCost },
			ofFlow: func(f *flow) float64 { return f.waitingCost },
		}
	}
	return nil
}

// enforceBounds drops requests until the queue is within its bounds. The request
// that just arrived is dropped with ErrFull, all others with ErrEvicted.
func (c *Core) enforceBounds(arrival *waiter) []Drop {
	var drops []Drop
	for b := c.exceededBound(); b != nil; b = c.exceededBound() {
		w := c.victim(b).tail
		cause := ErrEvicted
		if w == arrival {
			cause = ErrFull
		}
		drops = append(drops, c.drop(w, cause))
	}
	return drops
}

// victim returns the flow whose newest request is dropped. Only teams over their
// fair share of the queue lose requests, least urgent ranks first. Ranks that use
// at most their floor's fraction of the bound are spared at first: a floor is
// useless to a rank without waiting requests.
func (c *Core) victim(b *queueBound) *flow {
	perWeight := c.sharePerWeight(b)
	for _, respectFloor := range []bool{true, false} {
		for i := len(c.ranks) - 1; i >= 0; i-- {
			r := c.ranks[i]
			if respectFloor && b.ofRank(r) <= r.Floor*b.limit {
				continue
			}
			if f := r.mostOverShare(b, perWeight); f != nil {
				return f
			}
		}
	}
	return c.largestFlow(b)
}

// sharePerWeight returns the fair share of the bound per unit of weight, over the
// teams that have waiting requests.
func (c *Core) sharePerWeight(b *queueBound) float64 {
	weights := 0.0
	for _, t := range c.teams {
		if t.waiting > 0 {
			weights += t.weight
		}
	}
	return b.limit / weights
}

// mostOverShare returns the flow of the team that exceeds its fair share the
// most, or nil if no team exceeds it.
func (r *rankState) mostOverShare(b *queueBound, perWeight float64) *flow {
	var best *flow
	largestExcess := 0.0
	for _, f := range r.active {
		excess := b.ofTeam(f.team)/f.team.weight - perWeight
		if excess <= 0 {
			continue
		}
		if best == nil || excess > largestExcess || excess == largestExcess && f.team.name < best.team.name {
			best, largestExcess = f, excess
		}
	}
	return best
}

// largestFlow returns the flow that uses the most of the bound relative to the
// weight of its team. It is needed only when a rounding error hides that some team
// is over its share.
func (c *Core) largestFlow(b *queueBound) *flow {
	var best *flow
	for _, r := range c.ranks {
		for _, f := range r.active {
			if best == nil || b.ofFlow(f)/f.team.weight > b.ofFlow(best)/best.team.weight {
				best = f
			}
		}
	}
	return best
}
