package cascade

import "math"

// fitsDeadline applies the chooser's deadline rule to the true latencies: the
// expected latency plus one combined deviation of the steps must not exceed the
// deadline.
func (k kind) fitsDeadline(steps []int) bool {
	mean, variance := 0.0, 0.0
	add := func(l logNormal) {
		mean += l.mean()
		variance += (l.p95() - l.mean()) * (l.p95() - l.mean())
	}
	for i, v := range steps {
		if i > 0 {
			add(ratingLatency)
		}
		add(engines[v].latency)
	}
	return mean+math.Sqrt(variance) <= k.deadline.Seconds()
}

// plans returns the true values of all plans that fit the deadline.
func (k kind) plans() []value {
	var all []value
	for set := 1; set < 1<<len(engines); set++ {
		var steps []int
		for v := range engines {
			if set&(1<<v) != 0 {
				steps = append(steps, v)
			}
		}
		if k.fitsDeadline(steps) {
			all = append(all, k.evaluate(steps))
		}
	}
	return all
}

// leastScore returns the minimum of expected cost plus price times ratings over
// all random choices between plans whose mean quality reaches target. If no
// plan reaches it, leastScore returns the score of the plan of highest quality.
func leastScore(plans []value, target, price float64) float64 {
	best, highest, fallback := math.Inf(1), -1.0, math.Inf(1)
	score := func(v value) float64 { return v.cost + price*v.ratings }
	for _, a := range plans {
		if a.quality > highest {
			highest, fallback = a.quality, score(a)
		}
		if a.quality < target {
			continue
		}
		best = min(best, score(a))
		for _, b := range plans {
			if b.quality < target {
				share := (target - b.quality) / (a.quality - b.quality)
				best = min(best, share*score(a)+(1-share)*score(b))
			}
		}
	}
	if math.IsInf(best, 1) {
		return fallback
	}
	return best
}

// oracleCost returns the minimum cost per request of a chooser that has the true
// pass rates and reaches target[i] for kind i with at most the given number of
// ratings per request. It maximises the Lagrangian dual over the price of a
// rating. The dual equals the optimum because random choices between plans make
// the problem linear.
func oracleCost(kinds []kind, weights, target []float64, ratings float64) float64 {
	plans := make([][]value, len(kinds))
	for i, k := range kinds {
		plans[i] = k.plans()
	}
	dual := func(price float64) float64 {
		total := -price * ratings
		for i := range kinds {
			total += weights[i] * leastScore(plans[i], target[i], price)
		}
		return total
	}
	low, high := 0.0, 100.0
	for range 100 {
		a, b := low+(high-low)/3, high-(high-low)/3
		if dual(a) < dual(b) {
			low = a
		} else {
			high = b
		}
	}
	return dual((low + high) / 2)
}
