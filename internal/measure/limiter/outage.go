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
	// outageStep is the resolution of the sliding window of one minute.
	outageStep = 100 * time.Millisecond
)

// attemptCounts counts requests and attempts in intervals of outageStep.
type attemptCounts struct {
	requests []float64
	attempts []float64
}

func newAttemptCounts() *attemptCounts {
	n := int(outageLength/outageStep) + 1
	return &attemptCounts{requests: make([]float64, n), attempts: make([]float64, n)}
}

// maxMinuteRatio returns the highest ratio of attempts to requests over all
// sliding windows of one minute.
func (t *attemptCounts) maxMinuteRatio() float64 {
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

// outage fails the given share of the attempts from outageStart on. Half of the
// callers are absent from 30 s to two minutes after outageStart. The baseline
// makes up to maxAttempts attempts without a retry budget.
func outage(seed uint64, failureShare float64) pair {
	return pair{
		baseline: outageRun(seed, failureShare, func(*limits.RetryBudget) bool { return true }),
		value:    outageRun(seed, failureShare, (*limits.RetryBudget).TryRetry),
	}
}

func outageRun(seed uint64, failureShare float64, retry func(*limits.RetryBudget) bool) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	sim := vtime.New()
	counts := newAttemptCounts()
	for range outageHosts {
		budget := limits.NewRetryBudget(sim.Clock)
		var attempt func(n int)
		attempt = func(n int) {
			counts.attempts[sim.Elapsed()/outageStep]++
			if sim.Elapsed() < outageStart || random.Float64() >= failureShare {
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
	return counts.maxMinuteRatio()
}

// rateAt returns the request rate of one host at the given time of the run.
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
