package limiter

import (
	"math/rand/v2"
	"time"

	"github.com/corianderlever/corianderlever/internal/measure/vtime"
	limits "github.com/corianderlever/corianderlever/limiter"
)

const (
	outageHosts  = 7
	outageRate   = 60.0 // requests per second of one host before the outage
	outageLength = 5 * time.Minute
	outageStart  = 2 * time.Minute
	maxAttempts  = 3
	// outageStep is the resolution of the sliding minute.
	outageStep = 100 * time.Millisecond
)

// tally counts requests and attempts in steps of outageStep.
type tally struct {
	requests []float64
	attempts []float64
}

func newTally() *tally {
	n := int(outageLength/outageStep) + 1
	return &tally{requests: make([]float64, n), attempts: make([]float64, n)}
}

// worstMinute returns the highest ratio over all sliding minutes.
func (t *tally) worstMinute() float64 {
	const window = int(time.Minute / outageStep)
	requests, attempts, highest := 0.0, 0.0, 0.0
	for i := range t.requests {
		requests += t.requests[i]
		attempts += t.attempts[i]
		if i < window {
			continue
		}
		requests -= t.requests[i-window]
		attempts -= t.attempts[i-window]
		highest = max(highest, attempts/requests)
	}
	return highest
}

// outage lets a share of the attempts fail from outageStart on. Half of the
// callers stop calling 30 s later and return after two minutes. The baseline
// retries up to maxAttempts without a budget.
func outage(seed uint64, share float64) pair {
	return pair{
		baseline: outageRun(seed, share, func(*limits.RetryBudget) bool { return true }),
		value:    outageRun(seed, share, (*limits.RetryBudget).TryRetry),
	}
}

func outageRun(seed uint64, share float64, retry func(*limits.RetryBudget) bool) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	sim := vtime.New()
	counts := newTally()
	for range outageHosts {
		budget := limits.NewRetryBudget(sim.Clock)
		var attempt func(n int)
		attempt = func(n int) {
			counts.attempts[sim.Elapsed()/outageStep]++
			if sim.Elapsed() < outageStart || random.Float64() >= share {
				return
			}
			sim.After(time.Duration(random.IntN(400))*time.Millisecond, func() {
				if n < maxAttempts && retry(budget) {
					attempt(n + 1)
				}
			})
		}
		var arrive func()
		arrive = func() {
			counts.requests[sim.Elapsed()/outageStep]++
			budget.RecordRequest()
			attempt(1)
			sim.After(interval(random, rateAt(sim.Elapsed())), arrive)
		}
		sim.After(interval(random, outageRate), arrive)
	}
	sim.Run(outageLength)
	return counts.worstMinute()
}

func rateAt(elapsed time.Duration) float64 {
	since := elapsed - outageStart
	if since > 30*time.Second && since < 2*time.Minute {
		return outageRate / 2
	}
	return outageRate
}

// interval draws the time to the next arrival of a Poisson process.
func interval(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}
