package cascade

import (
	"math"
	"time"
)

const (
	// latencyBuckets buckets, each latencyRatio times as wide as the one before,
	// cover 1 ms to about 400 s.
	latencyBuckets = 136
	latencyRatio   = 1.1
	// latencyMemory is the number of latencies that the discounting averages over.
	// It is small because load changes latencies within minutes.
	latencyMemory = 400
	// minLatencySamples is the number of observations after which the observed
	// latency replaces the declared one. The percentile is refreshed after every
	// minLatencySamples observations.
	minLatencySamples = 20
	// maxLatencyEstimates bounds the number of versions with a latency estimate.
	maxLatencyEstimates = 256
	// defaultP95Ratio is the ratio of p95 to mean assumed without observations.
	defaultP95Ratio = 1.5
)

// latencyEstimate is a histogram of latencies with exponential discounting. The
// mean and p95 are in seconds.
type latencyEstimate struct {
	weights      [latencyBuckets]float64
	total        float64
	mean         float64
	p95          float64
	nextWeight   float64 // weight of the next observation
	sinceRefresh int     // observations since p95 was refreshed
}

// observe adds one latency. Instead of discounting all earlier observations it
// gives each new one a larger weight.
func (l *latencyEstimate) observe(d time.Duration) {
	if l.nextWeight == 0 {
		l.nextWeight = 1
	}
	seconds := max(d.Seconds(), 0.001)
	i := int(math.Log(seconds/0.001) / math.Log(latencyRatio))
	l.weights[min(i, latencyBuckets-1)] += l.nextWeight
	l.total += l.nextWeight
	l.mean += l.nextWeight / l.total * (seconds - l.mean)
	l.nextWeight *= 1 + 1.0/latencyMemory
	if l.nextWeight > 1e9 {
		l.rescale()
	}
	l.sinceRefresh++
	if l.sinceRefresh >= minLatencySamples {
		l.refresh()
	}
}

// rescale divides all weights by nextWeight, so that they don't overflow.
func (l *latencyEstimate) rescale() {
	for i := range l.weights {
		l.weights[i] /= l.nextWeight
	}
	l.total /= l.nextWeight
	l.nextWeight = 1
}

// refresh recomputes the 95th percentile by interpolation within its bucket.
func (l *latencyEstimate) refresh() {
	l.sinceRefresh = 0
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

// stats returns the mean and the 95th percentile in seconds. It derives them from
// the declared latency until there are minLatencySamples observations.
func (l *latencyEstimate) stats(declared time.Duration) (mean, p95 float64) {
	if l == nil || l.p95 == 0 {
		return declared.Seconds(), declared.Seconds() * defaultP95Ratio
	}
	return l.mean, max(l.p95, l.mean)
}

const (
	// priceIntegralGain and priceProportionalGain are the gains of the controller
	// that sets the price of a rating, as a fraction of the cost of the most
	// expensive candidate, to keep the bucket half full. The proportional gain is
	// small because the fill level is noisy and a noisy price makes the chooser
	// alternate between plans.
	priceIntegralGain     = 0.01 // per second and unit of fill
	priceProportionalGain = 0.2
)

// ratingBucket is the token bucket that limits this host's use of the rating
// service.
type ratingBucket struct {
	rate, burst, tokens float64
	integral            float64
	refilledAt          time.Time
}

func (b *ratingBucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.tokens = min(b.burst, b.tokens+elapsed*b.rate)
	b.integral = min(1, max(0, b.integral+elapsed*priceIntegralGain*(0.5-b.fill())))
	b.refilledAt = now
}

func (b *ratingBucket) fill() float64 { return b.tokens / b.burst }

// price returns the shadow price of one rating as a fraction of the cost of the
// most expensive candidate. It rises while ratings are spent faster than the bucket
// refills, so that scarce ratings go to the requests where they save the most.
func (b *ratingBucket) price() float64 {
	return max(0, b.integral+priceProportionalGain*(0.5-b.fill()))
}
