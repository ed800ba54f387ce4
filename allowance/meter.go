package allowance

import "time"

// keptMinutes is the number of past minutes that a host keeps in memory.
// Corrections and late messages for older minutes have no effect.
const keptMinutes = 3

// Commitment records the estimated cost of an admitted request and the minutes in
// which it counts.
type Commitment struct {
	minute      Minute
	first, last Minute
	estimate    float64
}

// Meter counts the consumption of one host by minute. Costs are counted as
// estimates when a request is admitted and corrected when it ends.
type Meter struct {
	byLocalClock map[Minute]float64
	byAnyClock   map[Minute]float64
}

// NewMeter returns a meter without consumption.
func NewMeter() *Meter {
	return &Meter{byLocalClock: map[Minute]float64{}, byAnyClock: map[Minute]float64{}}
}

// Commit counts the estimated cost of a request admitted now.
func (m *Meter) Commit(now time.Time, estimate float64) Commitment {
	c := Commitment{minute: MinuteOf(now), estimate: estimate}
	c.first, c.last = possibleMinutes(now)
	m.add(c, estimate)
	m.removeBefore(c.minute - keptMinutes)
	return c
}

// Settle corrects a commitment to the actual cost. While the minute of the
// commitment is still open, the correction counts in that minute. A closed minute
// is already billed: cost above the estimate then counts in the running minute,
// and cost below the estimate changes nothing.
func (m *Meter) Settle(now time.Time, c Commitment, actual float64) {
	correction := actual - c.estimate
	if first, _ := possibleMinutes(now); first <= c.last {
		m.add(c, correction)
		return
	}
	if correction > 0 {
		m.Commit(now, correction)
	}
}

func (m *Meter) add(c Commitment, cost float64) {
	m.byLocalClock[c.minute] += cost
	for minute := c.first; minute <= c.last; minute++ {
		m.byAnyClock[minute] += cost
	}
}

func (m *Meter) removeBefore(before Minute) {
	for minute := range m.byLocalClock {
		if minute < before {
			delete(m.byLocalClock, minute)
		}
	}
	for minute := range m.byAnyClock {
		if minute < before {
			delete(m.byAnyClock, minute)
		}
	}
}

// Used returns the consumption of a minute according to this host's clock.
func (m *Meter) Used(minute Minute) float64 { return m.byLocalClock[minute] }

// UsedUpperBound returns the consumption that may belong to a minute by any
// clock within MaxClockSkew. It is never less than what the supplier counts.
func (m *Meter) UsedUpperBound(minute Minute) float64 { return m.byAnyClock[minute] }
