package limiter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// retryShareNum/retryShareDen is the number of retries allowed per request; with the first
	// attempt it gives the stated bound of 1.1 attempts per request.
	retryShareNum, retryShareDen = 1, 10
	// retryBucket is the resolution of the sliding window.
	retryBucket = 100 * time.Millisecond
	// retryWindowBuckets cover one minute.
	retryWindowBuckets = 600
	// retryPaceBuckets cover the last 10 s. Retries are paced over this shorter
	// time too, so that the credit of a busy minute is not spent at once when
	// an outage begins, after which traffic may fall.
	retryPaceBuckets = 100
)

type retryCount struct {
	requests int
	retries  int
}

// RetryBudget allows retries as a share of the requests of the sliding minute
// that ends at the retry: attempts stay at most 1.1 per request, also when
// every attempt fails.
type RetryBudget struct {
	clock clockwork.Clock
	start time.Time

	mu      sync.Mutex
	ring    [retryWindowBuckets + 1]retryCount
	current int64
	minute  retryCount
	pace    retryCount
}

// NewRetryBudget returns an empty budget.
func NewRetryBudget(clock clockwork.Clock) *RetryBudget {
	return &RetryBudget{clock: clock, start: clock.Now()}
}

// Request counts a new request; its first attempt needs no permission.
func (b *RetryBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.at(b.current).requests++
	b.minute.requests++
	b.pace.requests++
}

// TryRetry takes one retry from the budget, or reports false if none is left.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if !withinShare(b.minute) {
		return false
	}
	// One retry in 10 s is allowed at any rate of requests, or hosts with few
	// requests could never retry. The minute's bound applies nevertheless.
	if b.pace.retries > 0 && !withinShare(b.pace) {
		return false
	}
	b.at(b.current).retries++
	b.minute.retries++
	b.pace.retries++
	return true
}

// withinShare reports whether one more retry keeps the share.
func withinShare(c retryCount) bool {
	return (c.retries+1)*retryShareDen <= c.requests*retryShareNum
}

func (b *RetryBudget) at(bucket int64) *retryCount {
	return &b.ring[bucket%int64(len(b.ring))]
}

// advance moves the windows to the current bucket. The oldest bucket lies only
// partly in the window: its retries still count and its requests do not, so
// rounding never allows a retry too many.
func (b *RetryBudget) advance() {
	now := max(b.current, int64(b.clock.Since(b.start)/retryBucket))
	if now-b.current > retryWindowBuckets {
		b.ring = [retryWindowBuckets + 1]retryCount{}
		b.minute, b.pace = retryCount{}, retryCount{}
		b.current = now
		return
	}
	for b.current < now {
		b.current++
		b.expire()
	}
}

func (b *RetryBudget) expire() {
	slot := b.at(b.current) // the bucket that left the minute completely
	b.minute.retries -= slot.retries
	*slot = retryCount{}
	if partial := b.current - retryWindowBuckets; partial >= 0 {
		b.minute.requests -= b.at(partial).requests
	}
	if left := b.current - retryPaceBuckets; left >= 0 {
		b.pace.requests -= b.at(left).requests
		b.pace.retries -= b.at(left).retries
	}
}
