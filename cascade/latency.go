package cascade

import (
	"math"
	"time"
)

const (
	// latencyBuckets of ratio latencyRatio cover 1 ms to about 400 s.
	latencyBuckets = 136
	latencyRatio   = 1.1
	// latencyMemory is the number of latencies remembered; load changes
	// latencies within minutes.
	latencyMemory = 400
	// latencyTrusted is the number of latencies from which the observed
	// quantile replaces the declared latency.
	latencyTrusted = 20
	// maxLatencyEstimates bounds the versions with a latency estimate.
	maxLatencyEstimates = 256
	// undeclaredSpread is the p95 relative to the mean assumed without observations.
	undeclaredSpread = 1.5
)

// latencyEstimate is a histogram with exponential forgetting.
type latencyEstimate struct {
	weights  [latencyBuckets]float64
	total    float64
	mean     float64
	p95      float64
	step     float64
	unsorted int
}

// observe adds one latency. New observations get a growing weight in place of
// shrinking all earlier ones.
func (l *latencyEstimate) observe(d time.Duration) {
	if l.step == 0 {
		l.step = 1
	}
	seconds := max(d.Seconds(), 0.001)
	i := int(math.Log(seconds/0.001) / math.Log(latencyRatio))
	l.weights[min(i, latencyBuckets-1)] += l.step
	l.total += l.step
	l.mean += l.step / l.total * (seconds - l.mean)
	l.step *= 1 + 1.0/latencyMemory
	if l.step > 1e9 {
		l.rescale()
	}
	l.unsorted++
	if l.unsorted >= latencyTrusted {
		l.refresh()
	}
}

func (l *latencyEstimate) rescale() {
	for i := range l.weights {
		l.weights[i] /= l.step
	}
	l.total /= l.step
	l.step = 1
}

// refresh recomputes the 95th percentile with interpolation in the bucket.
func (l *latencyEstimate) refresh() {
	l.unsorted = 0
	want, sum := 0.95*l.total, 0.0
	for i, w := range l.weights {
		if sum+w >= want && w > 0 {
			lower := 0.001 * math.Pow(latencyRatio, float64(i))
			l.p95 = lower * (1 + (latencyRatio-1)*(want-sum)/w)
			return
		}
		sum += w
	}
}

// stats returns the mean and the 95th percentile in seconds; the declared
// latency is used until enough have been observed.
func (l *latencyEstimate) stats(declared time.Duration) (mean, p95 float64) {
	if l == nil || l.p95 == 0 {
		return declared.Seconds(), declared.Seconds() * undeclaredSpread
	}
	return l.mean, max(l.p95, l.mean)
}

const (
	// priceIntegral and priceProportional steer the price of a rating, as a
	// share of the dearest candidate's cost, towards a half full bucket. The
	// proportional part is small because the fill is noisy and a noisy price
	// makes the chooser alternate between plans.
	priceIntegral     = 0.01 // per second and unit of fill
	priceProportional = 0.2
)

// ratingBucket is a token bucket over the host's share of the rating service.
type ratingBucket struct {
	rate, burst, tokens float64
	integral            float64
	at                  time.Time
}

func (b *ratingBucket) refill(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.tokens = min(b.burst, b.tokens+elapsed*b.rate)
	b.integral = min(1, max(0, b.integral+elapsed*priceIntegral*(0.5-b.fill())))
	b.at = now
}

func (b *ratingBucket) fill() float64 { return b.tokens / b.burst }

// price is the shadow price of one rating relative to the dearest candidate.
// It rises while ratings are spent faster than they arrive, so that scarce
// ratings go where they save the most.
func (b *ratingBucket) price() float64 {
	return max(0, b.integral+priceProportional*(0.5-b.fill()))
}
