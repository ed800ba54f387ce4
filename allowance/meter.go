package allowance

import "time"

// keptMinutes is the number of past minutes a host remembers. Corrections and
// late messages for older minutes have no effect.
const keptMinutes = 3

// Commitment is the estimated cost of an admitted request.
type Commitment struct {
	minute      Minute
	first, last Minute
	estimate    float64
}

// Meter counts one host's consumption by minute. Costs are committed as
// estimates and corrected when the request ends.
type Meter struct {
	exact   map[Minute]float64
	guarded map[Minute]float64
}

// NewMeter returns a meter that has counted nothing.
func NewMeter() *Meter {
	return &Meter{exact: map[Minute]float64{}, guarded: map[Minute]float64{}}
}

// Commit counts an estimate.
func (m *Meter) Commit(now time.Time, estimate float64) Commitment {
	c := Commitment{minute: MinuteOf(now), estimate: estimate}
	c.first, c.last = touched(now)
	m.add(c, estimate)
	m.forget(c.minute - keptMinutes)
	return c
}

// Settle corrects a commitment to the actual cost. The correction belongs to
// the minute of the commitment while that minute is open. Later, more cost than
// estimated counts in the running minute, and less changes nothing: a closed
// minute is billed.
func (m *Meter) Settle(now time.Time, c Commitment, actual float64) {
	correction := actual - c.estimate
	if first, _ := touched(now); first <= c.last {
		m.add(c, correction)
		return
	}
	if correction > 0 {
		m.Commit(now, correction)
	}
}

func (m *Meter) add(c Commitment, cost float64) {
	m.exact[c.minute] += cost
	for minute := c.first; minute <= c.last; minute++ {
		m.guarded[minute] += cost
	}
}

func (m *Meter) forget(before Minute) {
	for minute := range m.exact {
		if minute < before {
			delete(m.exact, minute)
		}
	}
	for minute := range m.guarded {
		if minute < before {
			delete(m.guarded, minute)
		}
	}
}

// Used returns the consumption of a minute by this host's clock.
func (m *Meter) Used(minute Minute) float64 { return m.exact[minute] }

// UsedUpperBound returns the consumption that may belong to a minute by any
// clock within MaxClockSkew. It is never less than what the supplier counts.
func (m *Meter) UsedUpperBound(minute Minute) float64 { return m.guarded[minute] }
