package control

import "time"

// orderAge bounds the time since an order was given. Hosts hear of an order later than it was
// given, above all after the store was silent.
type orderAge struct {
	// least is the shortest time that had passed at the instant leastAt.
	least   time.Duration
	leastAt time.Time
	// heard is the longest time that had passed when this host heard of the order, at the
	// instant heardAt; it is known if hasHeard is set.
	heard    time.Duration
	heardAt  time.Time
	hasHeard bool
	// most is the longest time that had passed at the instant mostAt, by what this host and
	// those that report to it have heard; it is known if hasMost is set.
	most    time.Duration
	mostAt  time.Time
	hasMost bool
}

// newOrderAge returns the age of an order that a host hears of now and that is not older than
// most, if that is known.
func newOrderAge(now time.Time, most time.Duration, known bool) orderAge {
	return orderAge{
		leastAt: now,
		heard:   most, heardAt: now, hasHeard: known,
		most: most, mostAt: now, hasMost: known,
	}
}

// atLeast returns the shortest time that has passed since the order.
func (a *orderAge) atLeast(now time.Time) time.Duration { return a.least + now.Sub(a.leastAt) }

// uncertainty returns how much more time may have passed; zero if that is not known.
func (a *orderAge) uncertainty(now time.Time) time.Duration {
	if !a.hasMost {
		return 0
	}
	return max(0, a.most+now.Sub(a.mostAt)-a.atLeast(now))
}

// raise adopts the shortest time of another host if it is longer: that host heard of the order
// earlier.
func (a *orderAge) raise(least time.Duration, now time.Time) {
	if a.atLeast(now) < least {
		a.least, a.leastAt = least, now
	}
}

// limit adopts the longest time of another host if it is shorter.
func (a *orderAge) limit(most time.Duration, now time.Time) {
	if !a.hasMost || most < a.most+now.Sub(a.mostAt) {
		a.most, a.mostAt, a.hasMost = most, now, true
	}
}

// ownLimit returns the longest time since the order by what this host itself has heard, or
// false if it does not know one. Hosts report no more than that: the time that a report takes
// would add up if they passed on what others have reported.
func (a *orderAge) ownLimit(now time.Time) (time.Duration, bool) {
	return a.heard + now.Sub(a.heardAt), a.hasHeard
}
