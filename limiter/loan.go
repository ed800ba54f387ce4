package limiter

import (
	"slices"
	"time"
)

// loan is a number of retries that another host may make until a time.
type loan struct {
	retries int
	until   time.Time
}

// Lend takes up to n retries from the budget for another host, which may make them within
// lease, and returns their number. Only ExtraRetries are lent, which do not depend on the
// requests of a window, and at least as many stay. They count as made here until no window
// holds one of them, so that the hosts together keep to the sum of their budgets.
func (b *WindowBudget) Lend(n int, lease time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	unused := b.cfg.ExtraRetries - float64(b.retries+b.lentRetries())
	n = max(0, min(n, int(unused/2)))
	if n > 0 {
		b.lent = append(b.lent, loan{n, b.clock.Now().Add(lease)})
	}
	return n
}

// Borrow adds retries that other hosts have lent, until they expire.
func (b *WindowBudget) Borrow(n int, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.borrowed = append(b.borrowed, loan{n, until})
}

// HasBorrowed reports whether a borrowed retry is left.
func (b *WindowBudget) HasBorrowed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	return slices.ContainsFunc(b.borrowed, func(l loan) bool { return l.retries > 0 && now.Before(l.until) })
}

// takeBorrowed takes a borrowed retry. The caller holds the lock.
func (b *WindowBudget) takeBorrowed() bool {
	now := b.clock.Now()
	for len(b.borrowed) > 0 {
		first := &b.borrowed[0]
		if first.retries > 0 && now.Before(first.until) {
			first.retries--
			return true
		}
		b.borrowed = b.borrowed[1:]
	}
	return false
}

// lentRetries returns the number of lent retries that may be in the window. The caller holds
// the lock.
func (b *WindowBudget) lentRetries() int {
	now := b.clock.Now()
	for len(b.lent) > 0 && now.Sub(b.lent[0].until) > b.cfg.Window {
		b.lent = b.lent[1:]
	}
	n := 0
	for _, l := range b.lent {
		n += l.retries
	}
	return n
}

// left returns the number of retries that the budget has left. The caller holds the lock.
func (b *WindowBudget) left() float64 {
	return b.cfg.RetryRatio*float64(b.requests) + b.cfg.ExtraRetries - float64(b.retries+b.lentRetries())
}

// MinLendable is the number of ExtraRetries from which a host may have one to lend.
const MinLendable = 2
