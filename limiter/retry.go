package limiter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// retryShareNum/retryShareDen is the number of retries allowed per request;
	// with the first attempt it gives the stated bound of 1.1 attempts.
	retryShareNum, retryShareDen = 10, 100
	// paceShareNum/paceShareDen applies over the last retryPace. The credit of
	// a busy minute is thus not spent at once when an outage begins: if the
	// traffic falls after that, the minutes that follow stay in bounds too.
	paceShareNum, paceShareDen = 9, 100
	retryPace                  = 2 * time.Second
	// retryFloor is the time in which one retry is allowed at any pace, or hosts
	// with few requests could never retry. The minute's bound applies to it.
	retryFloor = 10 * time.Second
	// retryBucket is the resolution of the sliding windows.
	retryBucket        = 100 * time.Millisecond
	retryWindowBuckets = int64(time.Minute / retryBucket)
	retryPaceBuckets   = int64(retryPace / retryBucket)
	retryFloorBuckets  = int64(retryFloor / retryBucket)
)

type retryCount struct {
	requests int
	retries  int
}

// within reports whether one more retry keeps the share num/den.
func (c retryCount) within(num, den int) bool {
	return (c.retries+1)*den <= c.requests*num
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
	floor   int // retries within retryFloor
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
	if !b.minute.within(retryShareNum, retryShareDen) {
		return false
	}
	if b.floor > 0 && !b.pace.within(paceShareNum, paceShareDen) {
		return false
	}
	b.at(b.current).retries++
	b.minute.retries++
	b.pace.retries++
	b.floor++
	return true
}

func (b *RetryBudget) at(bucket int64) *retryCount {
	return &b.ring[bucket%int64(len(b.ring))]
}

// advance moves the windows to the current bucket. The oldest bucket lies only
// partly in the minute: its retries still count and its requests do not, so
// rounding never allows a retry too many.
func (b *RetryBudget) advance() {
	now := max(b.current, int64(b.clock.Since(b.start)/retryBucket))
	if now-b.current > retryWindowBuckets {
		b.ring = [retryWindowBuckets + 1]retryCount{}
		b.minute, b.pace, b.floor = retryCount{}, retryCount{}, 0
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
	if left := b.current - retryFloorBuckets; left >= 0 {
		b.floor -= b.at(left).retries
	}
}
