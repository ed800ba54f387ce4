package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// latencyTolerance is the rise over the base latency that counts as normal;
	// batching engines slow down a little with every request that joins.
	latencyTolerance = 1.5
	// minGradient bounds one latency-driven decrease.
	minGradient = 0.5
	// limitSmoothing is the weight of the new limit in each update.
	limitSmoothing = 0.2
	// errorDecrease is the factor of a multiplicative decrease.
	errorDecrease = 0.8
	// updateInterval is the shortest time between two changes of the limit, so
	// that one burst of errors counts once.
	updateInterval = 200 * time.Millisecond
	// basePeriod is how long a latency minimum is kept. The minimum of a past
	// period may be replaced by one at most baseGrowth times as high, so a
	// standing queue cannot pass for the normal latency.
	basePeriod = 30 * time.Second
	baseGrowth = 1.1
)

// ConcurrencyConfig bounds the limit of one endpoint.
type ConcurrencyConfig struct {
	// Initial is the first limit, usually the endpoint's declared concurrency.
	Initial int
	// Min and Max bound the limit. Min is at least 1.
	Min, Max int
}

// Concurrency is the adaptive limit on requests in flight at one endpoint. The
// limit follows the gradient between base and current latency and decreases
// multiplicatively on errors.
type Concurrency struct {
	clock clockwork.Clock
	min   float64
	max   float64

	mu         sync.Mutex
	limit      float64
	inFlight   int
	peak       int // highest inFlight since the last update
	base       time.Duration
	next       time.Duration // minimum of the running period
	periodEnd  time.Time
	sum        time.Duration
	count      int
	failed     bool
	lastUpdate time.Time
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

// TryAcquire takes one place, or reports false if the limit is reached. Each
// success must be followed by one Release.
func (c *Concurrency) TryAcquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= int(c.limit) {
		return false
	}
	c.inFlight++
	c.peak = max(c.peak, c.inFlight)
	return true
}

// Release returns a place. The latency is the time to the first token, or to
// the answer for endpoints that do not stream; it counts for OutcomeOK only.
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

// Limit returns the limit in force.
func (c *Concurrency) Limit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.limit)
}

// InFlight returns the number of places taken.
func (c *Concurrency) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

func (c *Concurrency) observe(latency time.Duration) {
	latency = max(latency, time.Microsecond)
	c.sum += latency
	c.count++
	if c.next == 0 || latency < c.next {
		c.next = latency
	}
	if c.base == 0 || latency < c.base {
		c.base = latency
	}
}

func (c *Concurrency) update(now time.Time) {
	if now.Sub(c.lastUpdate) < updateInterval {
		return
	}
	c.lastUpdate = now
	c.rollBase(now)
	switch {
	case c.failed:
		c.limit *= errorDecrease
	case c.count > 0:
		c.follow()
	}
	c.limit = min(max(c.limit, c.min), c.max)
	c.failed = false
	c.sum, c.count = 0, 0
	c.peak = c.inFlight
}

// follow moves the limit by the latency gradient. A limit that was not used is
// not raised, because the latency then says nothing about a higher one.
func (c *Concurrency) follow() {
	mean := float64(c.sum) / float64(c.count)
	gradient := latencyTolerance * float64(c.base) / mean
	gradient = min(max(gradient, minGradient), 1)
	target := c.limit*gradient + math.Sqrt(c.limit)
	if target > c.limit && c.peak < int(c.limit) {
		return
	}
	c.limit += limitSmoothing * (target - c.limit)
}

func (c *Concurrency) rollBase(now time.Time) {
	if now.Before(c.periodEnd) {
		return
	}
	if c.next > 0 {
		c.base = min(c.next, time.Duration(float64(c.base)*baseGrowth))
	}
	c.next = 0
	c.periodEnd = now.Add(basePeriod)
}
