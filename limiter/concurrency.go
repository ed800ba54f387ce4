package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// latencyTolerance is the ratio of current to base latency that is still
	// considered normal. Batching engines slow down a little with each
	// additional request.
	latencyTolerance = 1.5
	// minGradient is the lower bound of the factor by which latency reduces the
	// limit in one update.
	minGradient = 0.5
	// limitSmoothing is the weight of the new target in each update of the
	// limit.
	limitSmoothing = 0.2
	// errorDecrease is the factor applied to the limit when an update interval
	// contains errors.
	errorDecrease = 0.8
	// updateInterval is the minimum time between two changes of the limit, so
	// that one burst of errors reduces it only once.
	updateInterval = 200 * time.Millisecond
	// basePeriod is how long a latency minimum is kept. At the end of a period,
	// the minimum of that period replaces the base latency, but raises it by at
	// most a factor of baseGrowth, so that the latency of a standing queue is
	// not taken for the normal latency.
	basePeriod = 30 * time.Second
	baseGrowth = 1.1
)

// ConcurrencyConfig sets the initial limit of one endpoint and its bounds.
type ConcurrencyConfig struct {
	// Initial is the initial limit, usually the endpoint's declared
	// concurrency.
	Initial int
	// Min and Max bound the limit. A Min below 1 is treated as 1.
	Min, Max int
}

// Concurrency is an adaptive limit on the requests in flight at one endpoint.
// The limit follows the gradient between base and current latency and decreases
// multiplicatively on errors.
type Concurrency struct {
	clock clockwork.Clock
	min   float64
	max   float64

	mu           sync.Mutex
	limit        float64
	inFlight     int
	peakInFlight int // highest inFlight since the last update
	baseLatency  time.Duration
	periodMin    time.Duration // lowest latency in the current period
	periodEnd    time.Time
	latencySum   time.Duration
	latencyCount int
	failed       bool
	lastUpdate   time.Time
}

// NewConcurrency returns a limit that starts at cfg.Initial.
func NewConcurrency(clock clockwork.Clock, cfg ConcurrencyConfig) *Concurrency {
	low := max(1, cfg.Min)
	high := max(low, cfg.Max)
	now := clock.Now()
	return &Concurrency{
		clock:      clock,
		min:        float64(low),
		max:        float64(high),
		limit:      float64(min(max(cfg.Initial, low), high)),
		periodEnd:  now.Add(basePeriod),
		lastUpdate: now,
	}
}

// TryAcquire acquires one slot, or returns false if the limit is reached. Each
// successful call must be followed by one call to Release.
func (c *Concurrency) TryAcquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= int(c.limit) {
		return false
	}
	c.inFlight++
	c.peakInFlight = max(c.peakInFlight, c.inFlight)
	return true
}

// Release frees one slot. The latency is the time to the first token, or to the
// response for endpoints that do not stream. It is used for OutcomeOK only.
func (c *Concurrency) Release(latency time.Duration, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = max(0, c.inFlight-1)
	switch outcome {
	case OutcomeOK:
		c.observe(latency)
	case OutcomeOverload, OutcomeError:
		c.failed = true
	case OutcomeIgnored:
		return
	}
	c.update(c.clock.Now())
}

// Limit returns the current limit.
func (c *Concurrency) Limit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.limit)
}

// InFlight returns the number of acquired slots.
func (c *Concurrency) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

func (c *Concurrency) observe(latency time.Duration) {
	latency = max(latency, time.Microsecond)
	c.latencySum += latency
	c.latencyCount++
	if c.periodMin == 0 || latency < c.periodMin {
		c.periodMin = latency
	}
	if c.baseLatency == 0 || latency < c.baseLatency {
		c.baseLatency = latency
	}
}

func (c *Concurrency) update(now time.Time) {
	if now.Sub(c.lastUpdate) < updateInterval {
		return
	}
	c.lastUpdate = now
	c.rotateBase(now)
	switch {
	case c.failed:
		c.limit *= errorDecrease
	case c.latencyCount > 0:
		c.applyGradient()
	}
	c.limit = min(max(c.limit, c.min), c.max)
	c.failed = false
	c.latencySum, c.latencyCount = 0, 0
	c.peakInFlight = c.inFlight
}

// applyGradient moves the limit by the latency gradient. It does not raise a
// limit that was not reached, because the latency then gives no information
// about a higher one.
func (c *Concurrency) applyGradient() {
	mean := float64(c.latencySum) / float64(c.latencyCount)
	gradient := latencyTolerance * float64(c.baseLatency) / mean
	gradient = min(max(gradient, minGradient), 1)
	target := c.limit*gradient + math.Sqrt(c.limit)
	if target > c.limit && c.peakInFlight < int(c.limit) {
		return
	}
	c.limit += limitSmoothing * (target - c.limit)
}

func (c *Concurrency) rotateBase(now time.Time) {
	if now.Before(c.periodEnd) {
		return
	}
	if c.periodMin > 0 {
		c.baseLatency = min(c.periodMin, time.Duration(float64(c.baseLatency)*baseGrowth))
	}
	c.periodMin = 0
	c.periodEnd = now.Add(basePeriod)
}
