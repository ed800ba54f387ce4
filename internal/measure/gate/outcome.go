package gate

import (
	"math"

	"github.com/corianderlever/corianderlever/internal/measure"
)

// counts holds numbers of calls by rank and team.
type counts [ranks][teams]float64

func (c *counts) add(other *counts) {
	for rank := range c {
		for team := range c[rank] {
			c[rank][team] += other[rank][team]
		}
	}
}

// outcome holds the results of one run after the warm-up.
type outcome struct {
	// served is the work of the calls that ended in time, in relation to the least of the
	// demand and the capacity in each second.
	served float64
	// expired is the part of the attempts that ended at their deadline.
	expired float64
	// urgentP95 is the 95th percentile of the time to the first event of the most urgent
	// rank, in seconds. Calls without an event count with their deadline.
	urgentP95 float64
	// asked and answered are the calls that arrived and that ended in time.
	asked, answered counts
}

func (w *world) outcome() outcome {
	var o outcome
	var urgent []float64
	attempts, expired, work := 0, 0, 0.0
	demand := make([]float64, int(runTime.Seconds()))
	for _, c := range w.calls {
		if c.arrived < warmUp || c.arrived+deadline > runTime {
			continue
		}
		demand[int(c.arrived.Seconds())] += c.work
		o.asked[c.rank][c.team]++
		attempts += c.attempts
		if c.expired {
			expired++
		}
		if c.served {
			o.answered[c.rank][c.team]++
			work += c.work
		}
		if c.rank == 0 {
			first := deadline
			if c.firstEvent > 0 {
				first = c.firstEvent
			}
			urgent = append(urgent, first.Seconds())
		}
	}
	carried := 0.0
	for _, d := range demand {
		carried += min(d, capacity*meanEvents)
	}
	o.served = work / carried
	o.expired = float64(expired) / float64(max(1, attempts))
	o.urgentP95 = measure.Quantile(urgent, 0.95)
	return o
}

// evenShare returns the least ratio of the calls of a team in a rank that were answered to those
// that it asked for, or to the even share of what the rank was answered.
func evenShare(asked, answered *counts) float64 {
	least := math.Inf(1)
	for rank := range asked {
		total := 0.0
		for _, n := range answered[rank] {
			total += n
		}
		for team, n := range answered[rank] {
			least = min(least, n/min(asked[rank][team], total/teams))
		}
	}
	return least
}
