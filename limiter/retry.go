package limiter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// retryShareNum/retryShareDen is the number of retries allowed per request.
	// Together with the first attempt this limits attempts to 1.1 per request.
	retryShareNum, retryShareDen = 10, 100
	// shortShareNum/shortShareDen is the number of retries allowed per request
	// over the last shortWindow. It keeps the retries accumulated in a busy
	// minute from being used at once when an outage begins, so that the following
	// minutes also stay within the limit if traffic decreases.
	shortShareNum, shortShareDen = 9, 100
	shortWindow                  = 2 * time.Second
	// guaranteedRetryInterval is the interval in which one retry is allowed
	// regardless of the limit over shortWindow. Without it, hosts with few
	// requests could never retry. The limit over the minute still applies.
	guaranteedRetryInterval = 10 * time.Second
	// bucketWidth is the resolution of the sliding windows.
	bucketWidth            = 100 * time.Millisecond
	minuteBuckets          = int64(time.Minute / bucketWidth)
	shortWindowBuckets     = int64(shortWindow / bucketWidth)
	guaranteedRetryBuckets = int64(guaranteedRetryInterval / bucketWidth)
)

type retryCount struct {
	requests int
	retries  int
}

// allowsRetry reports whether one more retry stays within num/den retries per
// request.
func (c retryCount) allowsRetry(num, den int) bool {
	return (c.retries+1)*den <= c.requests*num
}

// RetryBudget limits retries to a share of the requests in the sliding minute
// that ends at the retry. Attempts stay at or below 1.1 per request even if
// every attempt fails.
type RetryBudget struct {
	clock clockwork.Clock
	start time.Time

	mu            sync.Mutex
	ring          [minuteBuckets + 1]retryCount
	current       int64
	minute        retryCount
	short         retryCount
	recentRetries int // retries within guaranteedRetryInterval
}

// NewRetryBudget returns an empty budget.
func NewRetryBudget(clock clockwork.Clock) *RetryBudget {
	return &RetryBudget{clock: clock, start: clock.Now()}
}

// RecordRequest counts a new request. Its first attempt takes nothing from the
// budget.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.at(b.current).requests++
	b.minute.requests++
	b.short.requests++
}

// TryRetry takes one retry from the budget, or returns false if none is left.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if !b.minute.allowsRetry(retryShareNum, retryShareDen) {
		return false
	}
	if b.recentRetries > 0 && !b.short.allowsRetry(shortShareNum, shortShareDen) {
		return false
	}
	b.at(b.current).retries++
	b.minute.retries++
	b.short.retries++
	b.recentRetries++
	return true
}

func (b *RetryBudget) at(bucket int64) *retryCount {
	return &b.ring[bucket%int64(len(b.ring))]
}

// advance moves the windows to the current bucket. The oldest bucket is only
// partly within the minute. Its retries still count and its requests do not, so
// that rounding never allows too many retries.
func (b *RetryBudget) advance() {
	now := max(b.current, int64(b.clock.Since(b.start)/bucketWidth))
	if now-b.current > minuteBuckets {
		b.ring = [minuteBuckets + 1]retryCount{}
		b.minute, b.short, b.recentRetries = retryCount{}, retryCount{}, 0
		b.current = now
		return
	}
	for b.current < now {
		b.current++
		b.expire()
	}
}

// expire removes the buckets that have left each window from its counts.
func (b *RetryBudget) expire() {
	expired := b.at(b.current) // the bucket that is completely outside the minute
	b.minute.retries -= expired.retries
	*expired = retryCount{}
	if partial := b.current - minuteBuckets; partial >= 0 {
		b.minute.requests -= b.at(partial).requests
	}
	if left := b.current - shortWindowBuckets; left >= 0 {
		b.short.requests -= b.at(left).requests
		b.short.retries -= b.at(left).retries
	}
	if left := b.current - guaranteedRetryBuckets; left >= 0 {
		b.recentRetries -= b.at(left).retries
	}
}
