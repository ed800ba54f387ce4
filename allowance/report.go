package allowance

import (
	"maps"
	"slices"
	"time"
)

// peakTracker tracks the busiest minute of the month from the consumption of
// closed minutes that hosts report. The peak never falls within a month.
type peakTracker struct {
	month         Month
	units         float64
	closedMinutes map[Minute]map[string]float64
}

// raiseTo raises the peak of the month to at least the given units.
func (p *peakTracker) raiseTo(month Month, units float64) {
	if month > p.month {
		p.month, p.units = month, 0
	}
	if month == p.month {
		p.units = max(p.units, units)
	}
}

// standingPeak returns the peak of a month, zero if none is known.
func (p *peakTracker) standingPeak(month Month) float64 {
	if month != p.month {
		return 0
	}
	return p.units
}

// observe records the consumption of one host in a closed minute and raises the
// peak to the sum over all hosts.
func (p *peakTracker) observe(host string, minute Minute, used float64) {
	if p.closedMinutes == nil {
		p.closedMinutes = map[Minute]map[string]float64{}
	}
	if p.closedMinutes[minute] == nil {
		p.closedMinutes[minute] = map[string]float64{}
		for old := range p.closedMinutes {
			if old < minute-keptMinutes {
				delete(p.closedMinutes, old)
			}
		}
	}
	hosts := p.closedMinutes[minute]
	if len(hosts) >= maxHosts && hosts[host] == 0 {
		return
	}
	hosts[host] = max(hosts[host], used)
	p.raiseTo(minute.Month(), sumValues(hosts))
}

// sumValues adds up the values in the order of their keys. In another order the sum may be
// rounded otherwise, and decisions would differ between runs on equal input.
func sumValues(byHost map[string]float64) float64 {
	sum := 0.0
	for _, host := range slices.Sorted(maps.Keys(byHost)) {
		sum += byHost[host]
	}
	return sum
}

// peerDemand is the demand that a peer reported in a minute.
type peerDemand struct {
	minute               Minute
	requiredRate, demand float64
}

// peerDemands returns the sum of the demands of all peers that reported in the
// current or previous minute.
func (c *Controller) peerDemands(m Minute) peerDemand {
	if c.peerTotal.minute == m {
		return c.peerTotal
	}
	c.peerTotal = peerDemand{minute: m}
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[host]
		if p.minute < m-1 {
			delete(c.peers, host)
			continue
		}
		c.peerTotal.requiredRate += p.requiredRate
		c.peerTotal.demand += p.demand
	}
	return c.peerTotal
}

// observePeerDemand replaces the demand of one peer.
func (c *Controller) observePeerDemand(now Minute, r Report) {
	old, known := c.peers[r.Host]
	if !known && len(c.peers) >= maxHosts {
		return
	}
	c.peerDemands(now)
	c.peerTotal.requiredRate += r.RequiredRate - old.requiredRate
	c.peerTotal.demand += r.Demand - old.demand
	c.peers[r.Host] = peerDemand{r.Minute, r.RequiredRate, r.Demand}
}

// Report returns the report of this host for its peers and the allocator. It also
// moves units that the host does not need to the allocator with the given fencing
// token: the token of the role holder, or HostFence if no holder is known. With
// token 0 the host keeps all its units.
func (c *Controller) Report(now time.Time, fence int64) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginMinutes(now)
	m := MinuteOf(now)
	c.peak.observe(c.cfg.Host, m-1, c.meter.Used(m-1))
	limit := c.share.Limit(m)
	demand := c.demand(now, m)
	need := min(c.expectedUse(now, m), c.fairShare(now, m, demand))
	r := Report{
		Host: c.cfg.Host, Incarnation: c.cfg.Incarnation, Minute: m, Fence: fence,
		Used: c.meter.Used(m), PreviousUsed: c.meter.Used(m - 1), Peak: c.peak.standingPeak(m.Month()),
		RequiredRate: c.requiredRate(now, m), Demand: demand,
	}
	if spare := limit - need; fence != 0 && spare > 0 {
		c.share.Return(m, fence, spare)
	}
	if need > limit {
		r.Requested = need - limit
	}
	if fence != 0 {
		r.Returned = c.share.Returned(m, fence)
	}
	return r
}

// demand returns the units per minute that this host could use from now on.
func (c *Controller) demand(now time.Time, m Minute) float64 {
	deferrable, _ := c.deferrable.expect(now, time.Minute)
	return c.requiredRate(now, m) + deferrable
}

// fairShare returns this host's part of the fleet limit, in proportion to the
// demands of the hosts, but at least what its work that cannot wait needs.
func (c *Controller) fairShare(now time.Time, m Minute, demand float64) float64 {
	urgentNeed := c.meter.UsedUpperBound(m) + c.urgentReserve(now, m)
	if demand == 0 {
		return urgentNeed
	}
	return max(urgentNeed, c.fleetLimit(m)*demand/(demand+c.peerDemands(m).demand))
}

// expectedUse estimates the consumption of the host at the end of the minute,
// including all deferred work.
func (c *Controller) expectedUse(now time.Time, m Minute) float64 {
	remaining := c.remainingTime(now, m)
	deferrable, deviation := c.deferrable.expect(now, remaining)
	lowWorth, _ := c.lowWorth.expect(now, remaining)
	deferred := c.backlog.dueBy(m + backlogHorizon)
	return c.meter.UsedUpperBound(m) + c.urgentReserve(now, m) + deferrable + reserveDeviations*deviation + lowWorth + deferred
}

// ApplyGrant applies a grant for this incarnation of the host and ignores others.
func (c *Controller) ApplyGrant(now time.Time, g Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g.Host != c.cfg.Host || g.Incarnation != c.cfg.Incarnation || !(g.Units >= 0) {
		return
	}
	c.beginMinutes(now)
	c.share.Grant(g)
}

// ObservePeer applies the report of a peer. The standing peak rises if the
// consumption of all hosts in a closed minute exceeds it.
func (c *Controller) ObservePeer(now time.Time, r Report) error {
	if err := r.Check(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginMinutes(now)
	// Reports of a host whose clock is off by whole minutes are not comparable.
	if running := MinuteOf(now); r.Minute < running-1 || r.Minute > running+1 {
		return nil
	}
	c.observePeerDemand(MinuteOf(now), r)
	c.peak.observe(r.Host, r.Minute-1, r.PreviousUsed)
	c.peak.raiseTo(r.Minute.Month(), r.Peak)
	return nil
}

// State is a snapshot of a Controller.
type State struct {
	// Minute is the running minute.
	Minute Minute
	// FleetLimit is the number of units that all hosts together may use in the
	// minute without justification.
	FleetLimit float64
	// Limit is the share of this host, Used its consumption according to its own
	// clock, and Overrun the justified consumption above the share.
	Limit, Used, Overrun float64
	// Backlog is the cost of the deferred work that is worth raising the peak.
	Backlog float64
	// Peak is the consumption of the busiest minute of the month.
	Peak float64
}

// State returns a snapshot of the controller.
func (c *Controller) State(now time.Time) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginMinutes(now)
	m := MinuteOf(now)
	return State{
		Minute: m, FleetLimit: c.fleetLimit(m), Limit: c.share.Limit(m), Used: c.meter.Used(m), Overrun: c.overruns[m],
		Backlog: c.backlog.dueBy(m + backlogHorizon), Peak: c.peak.standingPeak(m.Month()),
	}
}
