package limiter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// WindowConfig configures a WindowBudget.
type WindowConfig struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// RetryRatio is the number of retries allowed per request in the window.
	RetryRatio float64
	// ExtraRetries is the number of retries allowed in addition to RetryRatio.
	ExtraRetries float64
}

// windowBuckets is the number of buckets per window.
const windowBuckets = 50

// WindowBudget limits retries to a ratio of the requests in a sliding window
// plus a fixed number. Each host keeps its own budget: the retries of all hosts stay
// within the sum of their budgets, also when hosts lend each other retries.
type WindowBudget struct {
	clock clockwork.Clock
	start time.Time

	mu       sync.Mutex
	cfg      WindowConfig
	ring     [windowBuckets + 1]retryCount
	current  int64
	requests int
	retries  int
	// lent holds the retries that other hosts make in place of this one, borrowed those that
	// this host makes in place of others, both in the order of their times.
	lent, borrowed []loan
}

// NewWindowBudget returns an empty budget.
func NewWindowBudget(clock clockwork.Clock, cfg WindowConfig) *WindowBudget {
	return &WindowBudget{clock: clock, start: clock.Now(), cfg: cfg}
}

// SetConfig changes the limits. If the window changes, earlier retries count as
// made now and earlier requests no longer count.
func (b *WindowBudget) SetConfig(cfg WindowConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cfg.Window != b.cfg.Window {
		b.advance()
		b.start, b.current, b.requests = b.clock.Now(), 0, 0
		b.ring = [windowBuckets + 1]retryCount{{retries: b.retries}}
	}
	b.cfg = cfg
}

// RecordRequest counts a request.
func (b *WindowBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.ring[b.current%int64(len(b.ring))].requests++
	b.requests++
}

// TryRetry takes one retry from the budget, or else a borrowed one. It returns false if none
// is left.
func (b *WindowBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if b.left() < 1 {
		return b.takeBorrowed()
	}
	b.ring[b.current%int64(len(b.ring))].retries++
	b.retries++
	return true
}

// advance moves the window to the current bucket. The oldest bucket is only
// partly within the window. Its retries count and its requests do not.
func (b *WindowBudget) advance() {
	now := max(b.current, int64(b.clock.Since(b.start)/(b.cfg.Window/windowBuckets)))
	if now-b.current > windowBuckets {
		b.ring = [windowBuckets + 1]retryCount{}
		b.requests, b.retries, b.current = 0, 0, now
		return
	}
	for b.current < now {
		b.current++
		expired := &b.ring[b.current%int64(len(b.ring))]
		b.retries -= expired.retries
		*expired = retryCount{}
		partial := &b.ring[(b.current+1)%int64(len(b.ring))]
		b.requests -= partial.requests
		partial.requests = 0
	}
}
