package allowance

import (
	"math"
	"time"
)

// worthRaisingPeak reports whether the request is worth the increase of the bill if
// all its cost raises the peak.
func (c *Controller) worthRaisingPeak(req Request) bool {
	return req.Worth >= c.cfg.Terms.PeakPrice*req.Cost
}

// decide chooses the action. It changes no state except the recorded overruns.
func (c *Controller) decide(now time.Time, req Request, until time.Time, canWait bool) Decision {
	excess, fill := c.excessUnits(now, req, canWait)
	price := c.shadowPrice(fill)
	worthShadowPrice := price*req.Cost <= req.Worth
	first, last := possibleMinutes(now)
	switch {
	case canWait && first != last:
		// Consumption near a minute boundary counts in both minutes, so work that
		// can wait avoids it.
		return Decision{Action: Defer, Until: until, ShadowPrice: price, Reason: ReasonLaterMinute}
	case excess <= 0 && (worthShadowPrice || !canWait):
		return Decision{Action: Admit, ShadowPrice: price, Reason: ReasonUnderPeak}
	case canWait && !c.mustRaiseForBacklog(now, req):
		return Decision{Action: Defer, Until: until, ShadowPrice: price, Reason: ReasonLaterMinute}
	}
	if billIncrease := min(excess, req.Cost) * c.cfg.Terms.PeakPrice; req.Worth < billIncrease {
		retry := MinuteOf(now).Start().Add(time.Minute + MaxClockSkew).Sub(now)
		return Decision{Action: Reject, RetryAfter: retry, ShadowPrice: price, Reason: ReasonRiseExceedsWorth}
	}
	reason := ReasonWorthExceedsRise
	if canWait || req.Deferred {
		reason = ReasonBacklogDue
	}
	return c.admitOverrun(now, req, price, reason)
}

// admitOverrun admits a request that may exceed the share, and records its units
// above the share. Units within the share that only use the reserve for other work
// are not recorded.
func (c *Controller) admitOverrun(now time.Time, req Request, price float64, reason Reason) Decision {
	d := Decision{Action: Admit, ShadowPrice: price, Reason: reason}
	first, last := possibleMinutes(now)
	for m := first; m <= last; m++ {
		// Units above the share from earlier overruns are already recorded.
		unitsAbove := c.meter.UsedUpperBound(m) - c.overruns[m] + req.Cost - c.share.Limit(m)
		units := min(max(0, unitsAbove), req.Cost)
		if units <= 0 {
			continue
		}
		c.overruns[m] += units
		if d.Overrun == nil || units > d.Overrun.Units {
			d.Overrun = &Overrun{
				Minute: m, Units: units, BillIncrease: units * c.cfg.Terms.PeakPrice, Worth: req.Worth,
				Rank: req.Rank, Team: req.Team, Reason: reason,
			}
		}
	}
	return d
}

// excessUnits returns the units by which the request would exceed the share of a
// minute in which it may count, and the fraction of that share that earlier use, the
// request and the reserves take together. Work that can wait or is not worth raising
// the peak leaves a reserve for expected work that cannot wait. Work that can wait
// also leaves a reserve for deferred work that is due sooner. Work that is not worth
// raising the peak also leaves a reserve for new and deferred work that can wait and
// is worth it.
func (c *Controller) excessUnits(now time.Time, req Request, canWait bool) (excess, fill float64) {
	excess = math.Inf(-1)
	first, last := possibleMinutes(now)
	for m := first; m <= last; m++ {
		need := c.meter.UsedUpperBound(m) + req.Cost
		if canWait || !c.worthRaisingPeak(req) {
			need += c.urgentReserve(now, m)
		}
		if canWait && c.remainingTime(now, m) > leftoverWindow {
			need += c.backlog.dueBy(c.dueMinute(now, req) - 1)
		}
		if !c.worthRaisingPeak(req) {
			units, _ := c.deferrable.expect(now, c.remainingTime(now, m))
			need += units + c.backlog.dueBy(m+backlogHorizon)
		}
		limit := c.share.Limit(m)
		if canWait {
			limit *= c.deferrableFraction(now, m)
		}
		excess = max(excess, need-limit)
		if limit > 0 {
			fill = max(fill, need/limit)
		} else {
			fill = 1
		}
	}
	return excess, fill
}

// deferrableFraction returns the fraction of the share that work that can wait may
// use, given by the declared allowance or, if higher, the rate that the deferred
// work of all hosts requires. Without this bound, work that can wait would use up
// each increase of the peak at once, and the next fluctuation of urgent work would
// raise the peak again.
func (c *Controller) deferrableFraction(now time.Time, m Minute) float64 {
	limit := c.fleetLimit(m)
	target := max(c.cfg.Terms.Allowance, c.requiredRate(now, m)+c.peerDemands(m).requiredRate)
	if target >= limit {
		return 1
	}
	return target / limit
}

// urgentReserve returns the units reserved in a minute for expected work that cannot
// wait.
func (c *Controller) urgentReserve(now time.Time, m Minute) float64 {
	units, deviation := c.urgent.expect(now, c.remainingTime(now, m))
	return units + reserveDeviations*deviation
}

// remainingTime returns the time until the end of a minute, at most one minute.
func (c *Controller) remainingTime(now time.Time, m Minute) time.Duration {
	return min(max(0, m.Start().Add(time.Minute).Sub(now)), time.Minute)
}

// shadowPrice returns the price of one more unit when the fraction fill of the
// share is in use.
func (c *Controller) shadowPrice(fill float64) float64 {
	x := min(1, max(0, (fill-priceRampStart)/(1-priceRampStart)))
	return c.cfg.Terms.PeakPrice * x * x
}

// mustRaiseForBacklog reports whether to admit a request now, even above the share
// of the host, although the request can wait. This requires that the request is
// worth raising the peak and that the deferred work of all hosts needs a higher
// rate than the fleet limit: a small increase now then avoids a larger one later.
// Each host goes only as high as its own work requires.
func (c *Controller) mustRaiseForBacklog(now time.Time, req Request) bool {
	if !c.worthRaisingPeak(req) {
		return false
	}
	m := MinuteOf(now)
	localRate := c.requiredRate(now, m)
	if localRate+c.peerDemands(m).requiredRate <= c.fleetLimit(m) {
		return false
	}
	expectedUrgent, _ := c.urgent.expect(now, c.remainingTime(now, m))
	dueSooner := c.backlog.dueBy(c.dueMinute(now, req) - 1)
	return c.meter.UsedUpperBound(m)+expectedUrgent+dueSooner+req.Cost <= localRate
}

// requiredRate returns the units per minute that this host needs from now on. Every
// request needs it, so it is recomputed only every requiredRateTTL.
func (c *Controller) requiredRate(now time.Time, m Minute) float64 {
	if age := now.Sub(c.requiredRateAt); age < 0 || age >= requiredRateTTL {
		urgent, _ := c.urgent.expect(now, time.Minute)
		c.requiredRateAt, c.cachedRequiredRate = now, c.backlog.requiredRate(m, urgent)
	}
	return c.cachedRequiredRate
}
