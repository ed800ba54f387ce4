package admission

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// drainWindow is the time over which the drain rate is averaged. It spans
// several running times of a request, so that the rate is not just noise.
const drainWindow = 10 * time.Second

// Core is the pure decision of the queue: it holds the state and does no I/O.
// It is not safe for concurrent use; Queue adds the lock.
type Core struct {
	limits   Limits
	capacity float64
	ranks    []*rankState // from the most urgent
	byName   map[string]*rankState
	teams    map[string]*team
	waiting  map[Ticket]*waiter
	running  map[Ticket]*waiter
	expiry   expiryHeap
	work     float64
	last     Ticket
	late     []Drop // found expired by AdmitNext, returned by Expire

	drainRate float64 // cost units per second
	drainedAt time.Time

	peers      map[string]*peer
	peersUntil time.Time // when the oldest fresh report becomes stale
	peerSlots  float64   // capacity of fresh peers
}

// NewCore returns an empty queue without ranks, teams or capacity.
func NewCore(limits Limits) *Core {
	if limits.MaxWaitingCost <= 0 {
		limits.MaxWaitingCost = DefaultLimits.MaxWaitingCost
	}
	if limits.MaxWaiting <= 0 {
		limits.MaxWaiting = DefaultLimits.MaxWaiting
	}
	return &Core{
		limits:  limits,
		byName:  map[string]*rankState{},
		teams:   map[string]*team{},
		waiting: map[Ticket]*waiter{},
		running: map[Ticket]*waiter{},
		peers:   map[string]*peer{},
	}
}

// SetCapacity sets the number of requests that may run at once. Running
// requests above a lowered capacity finish.
func (c *Core) SetCapacity(slots float64) {
	if !(slots >= 0) || math.IsInf(slots, 0) {
		slots = 0
	}
	c.capacity = slots
}

// ApplyConfig replaces the ranks and teams. Service received so far is kept.
// Waiting requests of removed ranks and teams are dropped.
func (c *Core) ApplyConfig(ranks []Rank, teams []Team) ([]Drop, error) {
	if err := checkConfig(ranks, teams); err != nil {
		return nil, err
	}
	c.applyTeams(teams)
	c.applyRanks(ranks)
	var drops []Drop
	for _, w := range c.sortedWaiting() {
		r := w.flow.rank
		if c.byName[r.Name] != r || c.teams[w.flow.team.name] == nil {
			drops = append(drops, c.drop(w, ErrUnknown))
		}
	}
	for _, r := range c.ranks {
		for name := range r.flows {
			if c.teams[name] == nil {
				delete(r.flows, name)
			}
		}
	}
	return drops, nil
}

func (c *Core) applyTeams(teams []Team) {
	old := c.teams
	c.teams = make(map[string]*team, len(teams))
	for _, t := range teams {
		state := old[t.Name]
		if state == nil {
			state = &team{name: t.Name}
		}
		state.weight = t.Weight
		if t.Weight == 0 {
			state.weight = 1
		}
		c.teams[t.Name] = state
	}
}

func (c *Core) applyRanks(ranks []Rank) {
	old := c.byName
	c.byName = make(map[string]*rankState, len(ranks))
	c.ranks = nil
	for _, r := range ranks {
		state := old[r.Name]
		if state == nil {
			state = &rankState{flows: map[string]*flow{}}
		}
		state.Rank = r
		c.byName[r.Name] = state
		c.ranks = append(c.ranks, state)
	}
	slices.SortStableFunc(c.ranks, func(a, b *rankState) int { return cmp.Compare(a.Priority, b.Priority) })
}

// sortedWaiting returns the waiting requests in order of arrival.
func (c *Core) sortedWaiting() []*waiter {
	all := make([]*waiter, 0, len(c.waiting))
	for _, w := range c.waiting {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *waiter) int { return cmp.Compare(a.ticket, b.ticket) })
	return all
}

// Enqueue makes a request wait. The drops are the requests that left the full
// queue, which may include the new one. An error means that the request never
// entered the queue.
func (c *Core) Enqueue(now time.Time, req Request) (Ticket, []Drop, error) {
	f, err := c.flowOf(req)
	if err != nil {
		return 0, nil, err
	}
	if req.Cost == 0 {
		req.Cost = 1
	}
	c.last++
	w := &waiter{ticket: c.last, request: req, flow: f, enqueued: now, expiry: -1}
	w.lastStart, w.lastCause = lastStart(now, req, f.rank.MaxWait)
	if w.expired(now) {
		f.rank.dropped++
		return 0, nil, c.refuse(req, ErrDeadline)
	}
	f.rank.insert(f, w)
	c.waiting[w.ticket] = w
	c.work += req.Cost
	if !w.lastStart.IsZero() {
		heap.Push(&c.expiry, w)
	}
	return w.ticket, c.enforceBounds(w), nil
}

// flowOf finds the flow of a request and checks the request.
func (c *Core) flowOf(req Request) (*flow, error) {
	if !(req.Cost >= 0) || math.IsInf(req.Cost, 0) {
		return nil, c.refuse(req, ErrInvalid)
	}
	r, t := c.byName[req.Rank], c.teams[req.Team]
	if r == nil || t == nil {
		return nil, c.refuse(req, ErrUnknown)
	}
	return r.flowOf(t), nil
}

// flowOf returns the flow of a team, which it creates on first use.
func (r *rankState) flowOf(t *team) *flow {
	f := r.flows[t.name]
	if f == nil {
		f = &flow{team: t, rank: r, index: -1}
		r.flows[t.name] = f
	}
	return f
}

// lastStart returns the last moment at which a request may start, and the
// reason for which it is dropped after it.
func lastStart(now time.Time, req Request, maxWait time.Duration) (time.Time, error) {
	var last time.Time
	cause := ErrDeadline
	if !req.Deadline.IsZero() {
		last = req.Deadline.Add(-req.Expected)
	}
	if maxWait > 0 {
		bound := now.Add(maxWait)
		if last.IsZero() || bound.Before(last) {
			last, cause = bound, ErrMaxWait
		}
	}
	return last, cause
}

// AdmitNext admits the next request, if a slot is free and a request waits.
func (c *Core) AdmitNext(now time.Time) (Admitted, bool) {
	for float64(len(c.running)+1) <= c.capacity {
		r := c.pickRank(now)
		if r == nil {
			break
		}
		w := r.active[0].head
		if w.expired(now) {
			c.late = append(c.late, c.drop(w, w.lastCause))
			continue
		}
		c.admit(w)
		return Admitted{Ticket: w.ticket, Request: w.request, Waited: now.Sub(w.enqueued)}, true
	}
	return Admitted{}, false
}

// admit moves w from waiting to running and charges its estimate.
func (c *Core) admit(w *waiter) {
	r, f := w.flow.rank, w.flow
	r.virtual = max(r.virtual, f.virtual)
	c.unlink(w)
	r.inFlight++
	r.admitted++
	c.running[w.ticket] = w
	f.served += w.request.Cost
	f.charge(w.request.Cost)
}

// pickRank returns the rank furthest below its floor, relative to the floor,
// else the most urgent rank with waiting work. Taking the most urgent of the
// ranks below their floors would starve a small floor where the floors fill the
// host, because slots are whole and the larger floors round up.
func (c *Core) pickRank(now time.Time) *rankState {
	c.refreshPeers(now)
	scale := c.floorScale()
	var best, first *rankState
	lowest := 1.0
	for _, r := range c.ranks {
		if r.waiting == 0 {
			continue
		}
		if first == nil {
			first = r
		}
		floor := c.floor(r) * scale
		if floor <= 0 {
			continue
		}
		if kept := float64(r.inFlight) / floor; kept < lowest {
			best, lowest = r, kept
		}
	}
	if best != nil {
		return best
	}
	return first
}

// Expire drops the requests that can no longer start in time.
func (c *Core) Expire(now time.Time) []Drop {
	drops := c.late
	c.late = nil
	for len(c.expiry) > 0 && c.expiry[0].expired(now) {
		w := c.expiry[0]
		drops = append(drops, c.drop(w, w.lastCause))
	}
	return drops
}

// NextExpiry returns when Expire has work, and false if nothing expires.
func (c *Core) NextExpiry() (time.Time, bool) {
	if len(c.expiry) == 0 {
		return time.Time{}, false
	}
	// A request may still start at its last moment, so it expires just after.
	return c.expiry[0].lastStart.Add(time.Nanosecond), true
}

// Cancel removes a waiting request. It returns false if the request does not
// wait (any more): it runs, or it was dropped.
func (c *Core) Cancel(t Ticket) bool {
	w := c.waiting[t]
	if w == nil {
		return false
	}
	c.unlink(w)
	return true
}

// Done frees the slot of a running request and corrects the charge of its team
// to the actual cost. It returns false if the request does not run.
func (c *Core) Done(now time.Time, t Ticket, actualCost float64) bool {
	w := c.running[t]
	if w == nil {
		return false
	}
	delete(c.running, t)
	w.flow.rank.inFlight--
	if !(actualCost >= 0) || math.IsInf(actualCost, 0) {
		actualCost = w.request.Cost
	}
	w.flow.served += actualCost - w.request.Cost
	w.flow.charge(actualCost - w.request.Cost)
	c.observeDrain(now, actualCost)
	return true
}

// observeDrain updates the exponentially weighted drain rate.
func (c *Core) observeDrain(now time.Time, cost float64) {
	if !c.drainedAt.IsZero() {
		elapsed := max(0, now.Sub(c.drainedAt).Seconds())
		c.drainRate *= math.Exp(-elapsed / drainWindow.Seconds())
	}
	c.drainRate += cost / drainWindow.Seconds()
	c.drainedAt = now
}

// drop removes a waiting request for the given cause.
func (c *Core) drop(w *waiter, cause error) Drop {
	c.unlink(w)
	w.flow.rank.dropped++
	return Drop{Ticket: w.ticket, Err: c.refuse(w.request, cause)}
}

// unlink removes w from every waiting structure.
func (c *Core) unlink(w *waiter) {
	w.flow.rank.remove(w)
	delete(c.waiting, w.ticket)
	c.work -= w.request.Cost
	if len(c.waiting) == 0 {
		c.work = 0
	}
	if w.expiry >= 0 {
		heap.Remove(&c.expiry, w.expiry)
	}
}

// refuse builds the error of a request that does not run.
func (c *Core) refuse(req Request, cause error) *RejectedError {
	return &RejectedError{Cause: cause, Rank: req.Rank, Team: req.Team, RetryAfter: c.retryAfter()}
}

// retryAfter estimates the time until the work that waits now has drained.
func (c *Core) retryAfter() time.Duration {
	if c.drainRate <= 0 {
		return defaultRetryAfter
	}
	seconds := c.work / c.drainRate
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// Stats describes the queue.
func (c *Core) Stats() Stats {
	s := Stats{Capacity: c.capacity, Waiting: len(c.waiting), InFlight: len(c.running), WaitingCost: c.work}
	scale := c.floorScale()
	for _, r := range c.ranks {
		s.Ranks = append(s.Ranks, RankStats{
			Rank: r.Name, Waiting: r.waiting, InFlight: r.inFlight, WaitingCost: r.work,
			Floor: c.floor(r) * scale, Admitted: r.admitted, Dropped: r.dropped,
		})
	}
	return s
}
