package allowance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// forecastWindow is the time over which demand is averaged: long enough to see
// a few minutes' worth of requests, short against the daily cycle.
const forecastWindow = 3 * time.Minute

// reserveDeviations is how many standard deviations of the rest of the minute
// are kept free for work that cannot wait. The reserves of the hosts add up,
// while their deviations mostly cancel, so one is enough for the fleet.
const reserveDeviations = 1

// rate is an exponentially weighted mean of the demand per second, and of the
// squared costs, from which the deviation follows (Poisson arrivals).
type rate struct {
	started, updated time.Time
	units, squares   float64
}

func (r *rate) observe(now time.Time, cost float64) {
	r.decay(now)
	r.units += cost
	r.squares += cost * cost
}

func (r *rate) decay(now time.Time) {
	if r.started.IsZero() {
		r.started, r.updated = now, now
	}
	elapsed := now.Sub(r.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed / forecastWindow.Seconds())
	r.units *= factor
	r.squares *= factor
	r.updated = now
}

// expect returns the demand expected within d, and its deviation.
func (r *rate) expect(now time.Time, d time.Duration) (units, deviation float64) {
	r.decay(now)
	// A young average has seen only part of the window.
	age := now.Sub(r.started).Seconds()
	window := forecastWindow.Seconds() * (1 - math.Exp(-age/forecastWindow.Seconds()))
	if window <= 0 {
		return 0, 0
	}
	part := d.Seconds() / window
	return r.units * part, math.Sqrt(r.squares * part)
}

// horizon bounds the minutes ahead for which deferred work is kept apart; work
// due later counts in the last.
const horizon = 24 * 60

// dueWork is the cost of deferred work that must start by the end of a minute.
type dueWork struct {
	due  Minute
	cost float64
}

// backlog is the deferred work, ordered by the minute in which it is due.
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
	// Sums of floats drift; what is left of an empty minute is noise.
	const noise = 1e-9
	if (*b)[i].cost < noise {
		*b = slices.Delete(*b, i, i+1)
	}
}

// forget drops minutes that are over: their work was admitted, refused or lost
// its caller.
func (b *backlog) forget(now Minute) {
	*b = slices.DeleteFunc(*b, func(w dueWork) bool { return w.due < now })
}

// total returns the work that is due up to a minute.
func (b backlog) total(last Minute) float64 {
	sum := 0.0
	for _, w := range b {
		if w.due > last {
			break
		}
		sum += w.cost
	}
	return sum
}

// density returns the least level, in units per minute, at which all work runs
// in time from the next minute on, beside the given demand of work that cannot
// wait.
func (b backlog) density(now Minute, urgent float64) float64 {
	level, sum := 0.0, 0.0
	for _, w := range b {
		sum += w.cost
		level = max(level, sum/float64(max(1, w.due-now)))
	}
	return level + urgent
}
