package balance

import (
	"math"
	"time"
)

// paceWindow is the time over which a stream's gap is averaged.
const paceWindow = time.Second

// streamPace measures the mean time between the events of a stream.
type streamPace struct {
	last time.Time // of the last event
	// seconds and events are the time and the number of events, both decaying over
	// paceWindow.
	seconds, events float64
}

// event records an event.
func (p *streamPace) event(now time.Time) {
	if !p.last.IsZero() {
		p.seconds, p.events = p.including(now)
	}
	p.last = now
}

// including returns the decayed time and number of events if an event came now.
func (p *streamPace) including(now time.Time) (seconds, events float64) {
	gap := now.Sub(p.last).Seconds()
	keep := math.Exp(-gap / paceWindow.Seconds())
	return keep*p.seconds + gap, keep*p.events + 1
}

// gap returns the mean gap in seconds, and whether the next event is overdue, while which
// the gap rises. It is zero before the second event, unless that is overdue by usual, the
// gap of other streams.
func (p *streamPace) gap(now time.Time, usual float64) (gap float64, overdue bool) {
	measured := usual
	if p.events > 0 {
		measured = p.seconds / p.events
	}
	seconds, events := p.including(now)
	if late := seconds / events; measured > 0 && late > measured {
		return late, true
	}
	if p.events == 0 {
		return 0, false
	}
	return measured, false
}

const (
	// initialElasticity is assumed for the growth of the gap with the load until it is
	// measured: in a fleet of engines with 16 slots, the gap rose from 66 ms at 3
	// requests to 719 ms at 12.
	initialElasticity = 1.2
	// maxElasticity bounds the estimate, which few samples at similar loads could make
	// arbitrarily large.
	maxElasticity = 3
)

// gapCurve estimates the gap as a power of the load from samples, of which newer ones
// weigh more: ln gap = mean + elasticity x (ln(load+1) - meanLoad).
type gapCurve struct {
	weight         float64
	meanLoad, mean float64 // of ln(load+1) and ln gap
	varLoad, cov   float64 // weighted sums of squares and of products
}

// add adds a sample and lets the earlier ones count by the factor keep.
func (c *gapCurve) add(load int, gap, weight, keep float64) {
	x, y := math.Log1p(float64(load)), math.Log(gap)
	c.weight, c.varLoad, c.cov = keep*c.weight, keep*c.varLoad, keep*c.cov
	total := c.weight + weight
	dx, dy := x-c.meanLoad, y-c.mean
	c.varLoad += c.weight * weight / total * dx * dx
	c.cov += c.weight * weight / total * dx * dy
	c.meanLoad += weight / total * dx
	c.mean += weight / total * dy
	c.weight = total
}

// elasticity returns the exponent of the load. prior counts as priorWeight.
func (c *gapCurve) elasticity(prior, priorWeight float64) float64 {
	return min(max((c.cov+priorWeight*prior)/(c.varLoad+priorWeight), 0), maxElasticity)
}

// at returns the gap in seconds at a load; zero without samples.
func (c *gapCurve) at(load int, elasticity float64) float64 {
	if c.weight == 0 {
		return 0
	}
	return math.Exp(c.mean + elasticity*(math.Log1p(float64(load))-c.meanLoad))
}
