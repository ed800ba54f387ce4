package allowance

import (
	"maps"
	"slices"
	"time"
)

// peakTracker follows the busiest minute of the month from the consumption of
// closed minutes that hosts report. Its maximum only grows within a month.
type peakTracker struct {
	month  Month
	units  float64
	closed map[Minute]map[string]float64
}

// raise takes a known peak into account.
func (p *peakTracker) raise(month Month, units float64) {
	if month > p.month {
		p.month, p.units = month, 0
	}
	if month == p.month {
		p.units = max(p.units, units)
	}
}

// standing returns the busiest minute of a month, zero if none is known.
func (p *peakTracker) standing(month Month) float64 {
	if month != p.month {
		return 0
	}
	return p.units
}

// observe adds one host's consumption of a closed minute.
func (p *peakTracker) observe(host string, minute Minute, used float64) {
	if p.closed == nil {
		p.closed = map[Minute]map[string]float64{}
	}
	if p.closed[minute] == nil {
		p.closed[minute] = map[string]float64{}
		for old := range p.closed {
			if old < minute-keptMinutes {
				delete(p.closed, old)
			}
		}
	}
	hosts := p.closed[minute]
	if len(hosts) >= maxHosts && hosts[host] == 0 {
		return
	}
	hosts[host] = max(hosts[host], used)
	sum := 0.0
	for _, units := range hosts {
		sum += units
	}
	p.raise(minute.Month(), sum)
}

// peerNeed is what a peer needs per minute, as it reported for a minute.
type peerNeed struct {
	minute          Minute
	density, demand float64
}

// peerNeeds adds up what the peers that reported lately need per minute.
func (c *Controller) peerNeeds(m Minute) peerNeed {
	if c.peerSum.minute == m {
		return c.peerSum
	}
	c.peerSum = peerNeed{minute: m}
	for _, host := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[host]
		if p.minute < m-1 {
			delete(c.peers, host)
			continue
		}
		c.peerSum.density += p.density
		c.peerSum.demand += p.demand
	}
	return c.peerSum
}

// observeNeed replaces what one peer needs.
func (c *Controller) observeNeed(now Minute, r Report) {
	old, known := c.peers[r.Host]
	if !known && len(c.peers) >= maxHosts {
		return
	}
	c.peerNeeds(now)
	c.peerSum.density += r.RequiredRate - old.density
	c.peerSum.demand += r.Demand - old.demand
	c.peers[r.Host] = peerNeed{r.Minute, r.RequiredRate, r.Demand}
}

// Report tells the others about this host and gives up units that it will not
// need to the allocator with the given fencing number: that of the role holder,
// or the host's own HostFence when none is known. With 0 it keeps them.
func (c *Controller) Report(now time.Time, fence int64) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin(now)
	m := MinuteOf(now)
	c.peak.observe(c.cfg.Host, m-1, c.meter.Used(m-1))
	limit := c.share.Limit(m)
	demand := c.demand(now, m)
	need := min(c.need(now, m), c.fairShare(now, m, demand))
	r := Report{
		Host: c.cfg.Host, Incarnation: c.cfg.Incarnation, Minute: m, Fence: fence,
		Used: c.meter.Used(m), PreviousUsed: c.meter.Used(m - 1), Peak: c.peak.standing(m.Month()),
		RequiredRate: c.density(now, m), Demand: demand,
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
	patient, _ := c.patient.expect(now, time.Minute)
	return c.density(now, m) + patient
}

// fairShare returns this host's part of the level, in proportion to the demand
// of the hosts, but at least what its work that cannot wait needs.
func (c *Controller) fairShare(now time.Time, m Minute, demand float64) float64 {
	pressing := c.meter.UsedUpperBound(m) + c.reserve(now, m)
	if demand == 0 {
		return pressing
	}
	return max(pressing, c.level(m)*demand/(demand+c.peerNeeds(m).demand))
}

// need estimates what the host will have used at the end of the minute.
func (c *Controller) need(now time.Time, m Minute) float64 {
	rest := c.rest(now, m)
	patient, deviation := c.patient.expect(now, rest)
	cheap, _ := c.cheap.expect(now, rest)
	waiting := c.backlog.total(m + horizon)
	return c.meter.UsedUpperBound(m) + c.reserve(now, m) + patient + reserveDeviations*deviation + cheap + waiting
}

// ApplyGrant takes a grant for this host; others are ignored.
func (c *Controller) ApplyGrant(now time.Time, g Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g.Host != c.cfg.Host || g.Incarnation != c.cfg.Incarnation || !(g.Units >= 0) {
		return
	}
	c.begin(now)
	c.share.Grant(g)
}

// ObservePeer takes another host's report into account: the standing peak
// rises when a minute closes above it.
func (c *Controller) ObservePeer(now time.Time, r Report) error {
	if err := r.Check(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin(now)
	// A report from a host whose clock is ahead or behind by whole minutes is
	// not comparable.
	if running := MinuteOf(now); r.Minute < running-1 || r.Minute > running+1 {
		return nil
	}
	c.observeNeed(MinuteOf(now), r)
	c.peak.observe(r.Host, r.Minute-1, r.PreviousUsed)
	c.peak.raise(r.Minute.Month(), r.Peak)
	return nil
}

// State describes the controller at one moment.
type State struct {
	// Minute is the running minute.
	Minute Minute
	// FleetLimit is the consumption that needs no justification, for all hosts
	// together.
	FleetLimit float64
	// Limit is the share of this host, Used its consumption by its own clock,
	// and Overrun the consumption above the share that had a reason.
	Limit, Used, Overrun float64
	// Backlog is the deferred work that is worth a rise.
	Backlog float64
	// Peak is the busiest minute of the month.
	Peak float64
}

// State describes the controller.
func (c *Controller) State(now time.Time) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin(now)
	m := MinuteOf(now)
	return State{
		Minute: m, FleetLimit: c.level(m), Limit: c.share.Limit(m), Used: c.meter.Used(m), Overrun: c.raised[m],
		Backlog: c.backlog.total(m + horizon), Peak: c.peak.standing(m.Month()),
	}
}
