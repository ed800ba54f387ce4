package admission

import "time"

const (
	// maxGateReturns bounds the rejections that a gate remembers.
	maxGateReturns = 4096
	// returnGrace is the time after the told one within which a request counts as returned.
	returnGrace = 2 * time.Second
)

// returnState tells whether a request was rejected before.
type returnState int

const (
	newcomer returnState = iota
	// returnedEarly requests were rejected for their share and come before the time that
	// they were told.
	returnedEarly
	// returnedInTime requests come within returnGrace after it.
	returnedInTime
)

// returnKey identifies a rejected request.
type returnKey struct {
	team string
	key  uint64
}

// rejection is the last rejection of a request.
type rejection struct {
	returnKey
	until    time.Time
	forShare bool
}

// gateReturns remembers the rejected requests and the times they were told.
type gateReturns struct {
	last map[returnKey]rejection
	// order holds the rejections, the oldest first. Each element of last is in it.
	order []rejection
}

func newGateReturns() gateReturns { return gateReturns{last: make(map[returnKey]rejection)} }

// state returns the state of a request and, if it is early, the rest of its time.
func (g *gateReturns) state(now time.Time, r GateRequest) (returnState, time.Duration) {
	last, ok := g.last[returnKey{r.Team, r.Key}]
	switch {
	case !ok || now.Sub(last.until) > returnGrace:
		return newcomer, 0
	case !now.Before(last.until):
		return returnedInTime, 0
	case last.forShare:
		return returnedEarly, last.until.Sub(now)
	}
	return newcomer, 0
}

// told remembers the time that a rejected request was told.
func (g *gateReturns) told(now time.Time, r GateRequest, wait time.Duration, forShare bool) {
	if r.Key == 0 {
		return
	}
	if len(g.order) >= maxGateReturns {
		oldest := g.order[0]
		g.order = g.order[1:]
		if g.last[oldest.returnKey] == oldest {
			delete(g.last, oldest.returnKey)
		}
	}
	last := rejection{returnKey{r.Team, r.Key}, now.Add(wait), forShare}
	g.last[last.returnKey] = last
	g.order = append(g.order, last)
}

// forget drops a request that was admitted.
func (g *gateReturns) forget(r GateRequest) { delete(g.last, returnKey{r.Team, r.Key}) }
