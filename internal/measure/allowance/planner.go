package allowance

import "github.com/corianderlever/corianderlever/allowance"

// work is one request in the planner's input. Its cost may be consumed in any of
// the minutes from first to last.
type work struct {
	first, last allowance.Minute
	cost        float64
}

// plannerPeak returns a lower bound on the consumption of the busiest minute: the
// highest mean demand per minute over all spans of minutes, counting the work
// that must run within the span. Requests may be split among minutes, so no real
// plan achieves a lower peak.
func plannerPeak(all []work, start allowance.Minute, minutes int) float64 {
	ending := make([][]work, minutes)
	for _, w := range all {
		last := min(int(w.last-start), minutes-1)
		ending[last] = append(ending[last], w)
	}
	peak := 0.0
	for first := range minutes {
		sum := 0.0
		for last := first; last < minutes; last++ {
			for _, w := range ending[last] {
				if int(w.first-start) >= first {
					sum += w.cost
				}
			}
			peak = max(peak, sum/float64(last-first+1))
		}
	}
	return peak
}

// undeferredPeak returns the consumption of the busiest minute if all work runs
// on arrival.
func undeferredPeak(all []work) float64 {
	used := map[allowance.Minute]float64{}
	peak := 0.0
	for _, w := range all {
		used[w.first] += w.cost
		peak = max(peak, used[w.first])
	}
	return peak
}
