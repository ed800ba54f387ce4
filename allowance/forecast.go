package allowance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// forecastWindow is the time constant of the average of the demand: long enough to
// cover a few minutes of requests, short compared to the daily cycle.
const forecastWindow = 3 * time.Minute

// reserveDeviations is the number of standard deviations added to the demand
// expected in the rest of a minute when units are reserved for it. The reserves of
// the hosts add up while their deviations mostly cancel out, so one is enough for
// the fleet.
const reserveDeviations = 1

// demandRate holds exponentially decaying sums of the costs of requests and of
// their squares, from which the rate of the demand and its standard deviation
// follow (Poisson arrivals).
type demandRate struct {
	started, updated    time.Time
	units, squaredCosts float64
}

func (r *demandRate) observe(now time.Time, cost float64) {
	r.decay(now)
	r.units += cost
	r.squaredCosts += cost * cost
}

func (r *demandRate) decay(now time.Time) {
	if r.started.IsZero() {
		r.started, r.updated = now, now
	}
	elapsed := now.Sub(r.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed / forecastWindow.Seconds())
	r.units *= factor
	r.squaredCosts *= factor
	r.updated = now
}

// expect returns the demand expected within d and its standard deviation.
func (r *demandRate) expect(now time.Time, d time.Duration) (units, deviation float64) {
	r.decay(now)
	// An average that started recently covers only part of the window.
	age := now.Sub(r.started).Seconds()
	window := forecastWindow.Seconds() * (1 - math.Exp(-age/forecastWindow.Seconds()))
	if window <= 0 {
		return 0, 0
	}
	fraction := d.Seconds() / window
	return r.units * fraction, math.Sqrt(r.squaredCosts * fraction)
}

// backlogHorizon bounds the number of minutes ahead for which deferred work is kept
// separately. Work due later counts in the last of them.
const backlogHorizon = 24 * 60

// dueWork is the cost of the deferred work that must start by the end of a minute.
type dueWork struct {
	due  Minute
	cost float64
}

// backlog is the deferred work, ordered by due minute.
type backlog []dueWork

func (b *backlog) add(due Minute, cost float64) {
	i, found := slices.BinarySearchFunc(*b, due, func(w dueWork, m Minute) int { return cmp.Compare(w.due, m) })
	if !found {
		if cost <= 0 {
			return
		}
		*b = slices.Insert(*b, i, dueWork{due, cost})
		return
	}
	(*b)[i].cost += cost
	// Floating-point sums drift, so a tiny remainder means that no work is left.
	const noise = 1e-9
	if (*b)[i].cost < noise {
		*b = slices.Delete(*b, i, i+1)
	}
}

// removeBefore removes past minutes: their work was admitted, rejected or abandoned
// by its caller.
func (b *backlog) removeBefore(now Minute) {
	*b = slices.DeleteFunc(*b, func(w dueWork) bool { return w.due < now })
}

// dueBy returns the cost of the work that is due up to and including a minute.
func (b backlog) dueBy(last Minute) float64 {
	sum := 0.0
	for _, w := range b {
		if w.due > last {
			break
		}
		sum += w.cost
	}
	return sum
}

// requiredRate returns the lowest rate, in units per minute, at which all deferred
// work starts in time from the next minute on, in addition to the given rate of
// urgent work.
func (b backlog) requiredRate(now Minute, urgent float64) float64 {
	rate, sum := 0.0, 0.0
	for _, w := range b {
		sum += w.cost
		rate = max(rate, sum/float64(max(1, w.due-now)))
	}
	return rate + urgent
}
