package admission

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// drainWindow is the time constant of the average of the drain rate. It spans
// several running times of a request, so that single completions do not
// dominate the rate.
const drainWindow = 10 * time.Second

// Core holds the state of the queue and decides which requests run. It does no
// I/O and is not safe for concurrent use; Queue adds the lock.
type Core struct {
	limits       Limits
	capacity     float64
	ranks        []*rankState // by priority, most urgent first
	byName       map[string]*rankState
	teams        map[string]*team
	waiting      map[Ticket]*waiter
	running      map[Ticket]*waiter
	expiry       expiryHeap // waiting requests with a latest start
	waitingCost  float64
	lastTicket   Ticket
	expiredDrops []Drop // dropped by AdmitNext and not yet returned by Expire

	drainRate      float64 // cost units per second
	drainUpdatedAt time.Time

	peers           map[string]*peer
	peersValidUntil time.Time // when the oldest valid report becomes stale
	peerCapacity    float64   // total capacity of peers with valid reports
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

// SetCapacity sets the number of requests that may run at once. If it falls
// below the number of running requests, these still finish. A negative or
// non-finite number counts as 0.
func (c *Core) SetCapacity(slots float64) {
	if !(slots >= 0) || math.IsInf(slots, 0) {
		slots = 0
	}
	c.capacity = slots
}

// ApplyConfig replaces the ranks and teams. Ranks and teams that remain keep
// their record of service received. Waiting requests of removed ranks and teams
// are dropped.
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

// Enqueue adds a request to the queue. It returns the requests dropped because
// the queue exceeded its bounds, which may include the new one. If it returns an
// error, the request was not queued.
func (c *Core) Enqueue(now time.Time, req Request) (Ticket, []Drop, error) {
	f, err := c.checkedFlow(req)
	if err != nil {
		return 0, nil, err
	}
	if req.Cost == 0 {
		req.Cost = 1
	}
	c.lastTicket++
	w := &waiter{ticket: c.lastTicket, request: req, flow: f, enqueued: now, expiryIndex: -1}
	w.latestStart, w.expiryCause = latestStart(now, req, f.rank.MaxWait)
	if w.expired(now) {
		f.rank.dropped++
		return 0, nil, c.reject(req, ErrDeadline)
	}
	f.rank.insert(f, w)
	c.waiting[w.ticket] = w
	c.waitingCost += req.Cost
	if !w.latestStart.IsZero() {
		heap.Push(&c.expiry, w)
	}
	return w.ticket, c.enforceBounds(w), nil
}

// checkedFlow validates a request and returns its flow.
func (c *Core) checkedFlow(req Request) (*flow, error) {
	if !(req.Cost >= 0) || math.IsInf(req.Cost, 0) {
		return nil, c.reject(req, ErrInvalid)
	}
	r, t := c.byName[req.Rank], c.teams[req.Team]
	if r == nil || t == nil {
		return nil, c.reject(req, ErrUnknown)
	}
	return r.teamFlow(t), nil
}

// teamFlow returns the flow of a team and creates it on first use.
func (r *rankState) teamFlow(t *team) *flow {
	f := r.flows[t.name]
	if f == nil {
		f = &flow{team: t, rank: r, heapIndex: -1}
		r.flows[t.name] = f
	}
	return f
}

// latestStart returns the latest time at which a request may start, zero if
// there is none, and the cause with which it is dropped afterwards.
func latestStart(now time.Time, req Request, maxWait time.Duration) (time.Time, error) {
	var latest time.Time
	cause := ErrDeadline
	if !req.Deadline.IsZero() {
		latest = req.Deadline.Add(-req.ExpectedDuration)
	}
	if maxWait > 0 {
		bound := now.Add(maxWait)
		if latest.IsZero() || bound.Before(latest) {
			latest, cause = bound, ErrMaxWait
		}
	}
	return latest, cause
}

// AdmitNext admits the next request, if a slot is free and a request waits. It
// drops expired requests that it comes across; Expire returns them later.
func (c *Core) AdmitNext(now time.Time) (Admitted, bool) {
	for float64(len(c.running)+1) <= c.capacity {
		r := c.pickRank(now)
		if r == nil {
			break
		}
		w := r.active[0].head
		if w.expired(now) {
			c.expiredDrops = append(c.expiredDrops, c.drop(w, w.expiryCause))
			continue
		}
		c.admit(w)
		return Admitted{Ticket: w.ticket, Request: w.request, Waited: now.Sub(w.enqueued)}, true
	}
	return Admitted{}, false
}

// admit moves w from waiting to running and charges the estimated cost to its flow.
func (c *Core) admit(w *waiter) {
	r, f := w.flow.rank, w.flow
	r.virtualTime = max(r.virtualTime, f.normalizedService)
	c.unlink(w)
	r.inFlight++
	r.admitted++
	c.running[w.ticket] = w
	f.servedCost += w.request.Cost
	f.charge(w.request.Cost)
}

// pickRank returns the waiting rank that is furthest below its floor, relative
// to the floor, or else the most urgent waiting rank. Picking the most urgent of
// the ranks below their floors would starve ranks with a small floor when the
// floors add up to the capacity: a floor of 1.5 slots takes 2 whole slots, so the
// more urgent ranks would take all of them.
func (c *Core) pickRank(now time.Time) *rankState {
	c.refreshPeers(now)
	scale := c.floorScale()
	var belowFloor, mostUrgent *rankState
	lowestFill := 1.0
	for _, r := range c.ranks {
		if r.waiting == 0 {
			continue
		}
		if mostUrgent == nil {
			mostUrgent = r
		}
		floor := c.floorSlots(r) * scale
		if floor <= 0 {
			continue
		}
		if fill := float64(r.inFlight) / floor; fill < lowestFill {
			belowFloor, lowestFill = r, fill
		}
	}
	if belowFloor != nil {
		return belowFloor
	}
	return mostUrgent
}

// Expire drops the requests that can no longer start in time and returns them,
// with those that AdmitNext dropped.
func (c *Core) Expire(now time.Time) []Drop {
	drops := c.expiredDrops
	c.expiredDrops = nil
	for len(c.expiry) > 0 && c.expiry[0].expired(now) {
		w := c.expiry[0]
		drops = append(drops, c.drop(w, w.expiryCause))
	}
	return drops
}

// NextExpiry returns the time of the next expiry, and false if no request expires.
func (c *Core) NextExpiry() (time.Time, bool) {
	if len(c.expiry) == 0 {
		return time.Time{}, false
	}
	// A request may still start exactly at latestStart, so it expires just after.
	return c.expiry[0].latestStart.Add(time.Nanosecond), true
}

// Cancel removes a waiting request. It returns false if the request is not
// waiting because it runs, was dropped or is unknown.
func (c *Core) Cancel(t Ticket) bool {
	w := c.waiting[t]
	if w == nil {
		return false
	}
	c.unlink(w)
	return true
}

// Done frees the slot of a running request and corrects the charge to its team
// to the actual cost. A negative or non-finite cost counts as the estimate. Done
// returns false if the request is not running.
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
	w.flow.servedCost += actualCost - w.request.Cost
	w.flow.charge(actualCost - w.request.Cost)
	c.observeDrain(now, actualCost)
	return true
}

// observeDrain updates the exponentially weighted moving average of the drain rate.
func (c *Core) observeDrain(now time.Time, cost float64) {
	if !c.drainUpdatedAt.IsZero() {
		elapsed := max(0, now.Sub(c.drainUpdatedAt).Seconds())
		c.drainRate *= math.Exp(-elapsed / drainWindow.Seconds())
	}
	c.drainRate += cost / drainWindow.Seconds()
	c.drainUpdatedAt = now
}

// drop removes a waiting request and rejects it with the given cause.
func (c *Core) drop(w *waiter, cause error) Drop {
	c.unlink(w)
	w.flow.rank.dropped++
	return Drop{Ticket: w.ticket, Err: c.reject(w.request, cause)}
}

// unlink removes w from its flow, the map of waiting requests and the expiry heap.
func (c *Core) unlink(w *waiter) {
	w.flow.rank.remove(w)
	delete(c.waiting, w.ticket)
	c.waitingCost -= w.request.Cost
	if len(c.waiting) == 0 {
		c.waitingCost = 0
	}
	if w.expiryIndex >= 0 {
		heap.Remove(&c.expiry, w.expiryIndex)
	}
}

// reject returns the error for a request that does not run.
func (c *Core) reject(req Request, cause error) *RejectedError {
	return &RejectedError{Cause: cause, Rank: req.Rank, Team: req.Team, RetryAfter: c.retryAfter()}
}

// retryAfter estimates the time until the current queue has drained.
func (c *Core) retryAfter() time.Duration {
	if c.drainRate <= 0 {
		return defaultRetryAfter
	}
	seconds := c.waitingCost / c.drainRate
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// Stats returns a snapshot of the queue.
func (c *Core) Stats() Stats {
	s := Stats{Capacity: c.capacity, Waiting: len(c.waiting), InFlight: len(c.running), WaitingCost: c.waitingCost}
	scale := c.floorScale()
	for _, r := range c.ranks {
		s.Ranks = append(s.Ranks, RankStats{
			Rank: r.Name, Waiting: r.waiting, InFlight: r.inFlight, WaitingCost: r.waitingCost,
			FloorSlots: c.floorSlots(r) * scale, Admitted: r.admitted, Dropped: r.dropped,
		})
	}
	return s
}
