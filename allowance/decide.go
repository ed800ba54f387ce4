package allowance

import (
	"math"
	"time"
)

// worthRaising reports whether the request is worth the rise it causes alone.
func (c *Controller) worthRaising(req Request) bool {
	return req.Worth >= c.cfg.Terms.PeakPrice*req.Cost
}

// decide picks the action; it changes nothing but the record of raises.
func (c *Controller) decide(now time.Time, req Request, until time.Time, canWait bool) Decision {
	over, fill := c.overrun(now, req, canWait)
	price := c.price(fill)
	cheap := price*req.Cost <= req.Worth
	first, last := touched(now)
	switch {
	case canWait && first != last:
		// Units at the edge count twice, so work that can wait avoids it.
		return Decision{Action: Defer, Until: until, ShadowPrice: price, Reason: ReasonLaterMinute}
	case over <= 0 && (cheap || !canWait):
		return Decision{Action: Admit, ShadowPrice: price, Reason: ReasonUnderPeak}
	case canWait && !c.dense(now, req):
		return Decision{Action: Defer, Until: until, ShadowPrice: price, Reason: ReasonLaterMinute}
	}
	if rise := min(over, req.Cost) * c.cfg.Terms.PeakPrice; req.Worth < rise {
		retry := MinuteOf(now).Start().Add(time.Minute + MaxClockSkew).Sub(now)
		return Decision{Action: Reject, RetryAfter: retry, ShadowPrice: price, Reason: ReasonRiseExceedsWorth}
	}
	reason := ReasonWorthExceedsRise
	if canWait || req.Deferred {
		reason = ReasonBacklogDue
	}
	return c.raise(now, req, price, reason)
}

// raise admits a request that may go above the share, and records the units
// above it. Room kept for other work is not above the share.
func (c *Controller) raise(now time.Time, req Request, price float64, reason Reason) Decision {
	d := Decision{Action: Admit, ShadowPrice: price, Reason: reason}
	first, last := touched(now)
	for m := first; m <= last; m++ {
		// Units that earlier raises brought above the share have their reason.
		above := c.meter.UsedUpperBound(m) - c.raised[m] + req.Cost - c.share.Limit(m)
		units := min(max(0, above), req.Cost)
		if units <= 0 {
			continue
		}
		c.raised[m] += units
		if d.Overrun == nil || units > d.Overrun.Units {
			d.Overrun = &Overrun{
				Minute: m, Units: units, BillIncrease: units * c.cfg.Terms.PeakPrice, Worth: req.Worth,
				Rank: req.Rank, Team: req.Team, Reason: reason,
			}
		}
	}
	return d
}

// overrun returns the units by which the request would exceed the share of a
// minute it touches, and the fill of that share. Work that can wait, or is not
// worth a rise, leaves room for the work still expected that cannot wait, and
// work that can wait for deferred work that is due sooner. Work that is not
// worth a rise also leaves room for deferred work that is.
func (c *Controller) overrun(now time.Time, req Request, canWait bool) (over, fill float64) {
	over = math.Inf(-1)
	first, last := touched(now)
	for m := first; m <= last; m++ {
		need := c.meter.UsedUpperBound(m) + req.Cost
		if canWait || !c.worthRaising(req) {
			need += c.reserve(now, m)
		}
		if canWait && c.rest(now, m) > leftoverTime {
			need += c.backlog.total(c.due(now, req) - 1)
		}
		if !c.worthRaising(req) {
			units, _ := c.patient.expect(now, c.rest(now, m))
			need += units + c.backlog.total(m+horizon)
		}
		limit := c.share.Limit(m)
		if canWait {
			limit *= c.patientPart(now, m)
		}
		over = max(over, need-limit)
		if limit > 0 {
			fill = max(fill, need/limit)
		} else {
			fill = 1
		}
	}
	return over, fill
}

// patientPart returns the part of the share that work that can wait may fill:
// the declared allowance or, if higher, what the fleet's deferred work needs.
// Without this bound such work fills each rise at once, so that the next
// fluctuation of urgent work raises the peak again.
func (c *Controller) patientPart(now time.Time, m Minute) float64 {
	level := c.level(m)
	target := max(c.cfg.Terms.Allowance, c.density(now, m)+c.peerNeeds(m).density)
	if target >= level {
		return 1
	}
	return target / level
}

// reserve returns what is kept free in a minute for work that cannot wait.
func (c *Controller) reserve(now time.Time, m Minute) float64 {
	units, deviation := c.urgent.expect(now, c.rest(now, m))
	return units + reserveDeviations*deviation
}

// rest returns what is left of a minute.
func (c *Controller) rest(now time.Time, m Minute) time.Duration {
	return min(max(0, m.Start().Add(time.Minute).Sub(now)), time.Minute)
}

// price returns the shadow price of a unit at a fill of the share.
func (c *Controller) price(fill float64) float64 {
	x := min(1, max(0, (fill-rampStart)/(1-rampStart)))
	return c.cfg.Terms.PeakPrice * x * x
}

// dense reports whether the deferred work of the fleet that is worth a rise
// needs a higher level than the standing one, so that a small rise now avoids a
// larger one later. Each host rises only to what its own work needs.
func (c *Controller) dense(now time.Time, req Request) bool {
	if !c.worthRaising(req) {
		return false
	}
	m := MinuteOf(now)
	own := c.density(now, m)
	if own+c.peerNeeds(m).density <= c.level(m) {
		return false
	}
	rest, _ := c.urgent.expect(now, c.rest(now, m))
	sooner := c.backlog.total(c.due(now, req) - 1)
	return c.meter.UsedUpperBound(m)+rest+sooner+req.Cost <= own
}

// density returns the units per minute that this host needs from now on. It is
// computed anew after densityPeriod, because each request asks for it.
func (c *Controller) density(now time.Time, m Minute) float64 {
	if age := now.Sub(c.densityAt); age < 0 || age >= densityPeriod {
		urgent, _ := c.urgent.expect(now, time.Minute)
		c.densityAt, c.ownDensity = now, c.backlog.density(m, urgent)
	}
	return c.ownDensity
}
