package limiter_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/limiter"
)

// pendingLoan is a loan on its way to the host that has asked for it.
type pendingLoan struct {
	to, retries int
	until       time.Time
}

// TestLoansKeepToTheSumOfTheBudgets guards against hosts that together make more retries in some
// window than their budgets allow, because a retry that was lent is made by both hosts: late by
// one of them, or again by the other one once the window has passed.
func TestLoansKeepToTheSumOfTheBudgets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const (
			hosts, extra = 2, 4
			window       = 10 * time.Second
			lease        = time.Second
		)
		clock := clockwork.NewFakeClock()
		var budgets []*limiter.WindowBudget
		for range hosts {
			budgets = append(budgets, limiter.NewWindowBudget(clock, limiter.WindowConfig{Window: window, ExtraRetries: extra}))
		}
		host := func(rt *rapid.T) int { return rapid.IntRange(0, hosts-1).Draw(rt, "host") }
		var retries []time.Time
		var pending []pendingLoan
		rt.Repeat(map[string]func(*rapid.T){
			"retry": func(rt *rapid.T) {
				for b := budgets[host(rt)]; b.TryRetry(); {
					retries = append(retries, clock.Now())
				}
				n := 0
				for _, at := range retries {
					if clock.Now().Sub(at) <= window {
						n++
					}
				}
				if n > hosts*extra {
					rt.Fatalf("%d retries in one window, want at most %d", n, hosts*extra)
				}
			},
			"ask": func(rt *rapid.T) {
				asked := clock.Now()
				clock.Advance(rapid.SampledFrom([]time.Duration{0, lease / 4}).Draw(rt, "delay"))
				n := budgets[host(rt)].Lend(rapid.IntRange(1, 6).Draw(rt, "retries"), lease)
				pending = append(pending, pendingLoan{host(rt), n, asked.Add(lease)})
			},
			"answer": func(rt *rapid.T) {
				if len(pending) == 0 {
					return
				}
				l := pending[0]
				pending = pending[1:]
				budgets[l.to].Borrow(l.retries, l.until)
			},
			"wait": func(rt *rapid.T) {
				clock.Advance(rapid.SampledFrom([]time.Duration{lease / 4, lease / 2, window - lease, window - lease/2, window}).Draw(rt, "time"))
			},
		})
	})
}

// TestLoansLeaveTheLenderHalf guards against a host that lends all that it has left and then
// breaks off its own streams, and against one that lends what its requests have paid for, which
// other windows may not cover.
func TestLoansLeaveTheLenderHalf(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := limiter.NewWindowBudget(clock, limiter.WindowConfig{Window: 10 * time.Second, RetryRatio: 1, ExtraRetries: 7})
	for range 100 {
		b.RecordRequest()
	}
	lent := 0
	for n := b.Lend(4, time.Second); n > 0; n = b.Lend(4, time.Second) {
		if lent += n; n > 3 {
			t.Errorf("%d of 7 retries lent at once, want at most half", n)
		}
	}
	if lent >= 7 {
		t.Errorf("%d retries lent, want fewer than the 7 that do not depend on requests", lent)
	}
}

// TestLentRetriesStayTaken guards against a lender that makes the retries that it has lent again
// while a window still holds those of the borrower, who may make them until the end of the lease.
func TestLentRetriesStayTaken(t *testing.T) {
	const window, lease = 10 * time.Second, time.Second
	clock := clockwork.NewFakeClock()
	b := limiter.NewWindowBudget(clock, limiter.WindowConfig{Window: window, ExtraRetries: 4})
	if n := b.Lend(4, lease); n != 2 {
		t.Fatalf("%d of 4 retries lent, want 2", n)
	}
	granted := func() (n int) {
		for b.TryRetry() {
			n++
		}
		return n
	}
	if n := granted(); n != 2 {
		t.Errorf("%d retries beside the loan, want 2", n)
	}
	clock.Advance(window + lease - time.Millisecond)
	if n := granted(); n != 2 {
		t.Errorf("%d retries right before the loan has left the window, want 2", n)
	}
	clock.Advance(2 * time.Millisecond)
	if n := granted(); n != 2 {
		t.Errorf("%d further retries after the loan has left the window, want 2", n)
	}
}

// TestBorrowedRetriesExpire guards against a retry that is made when its lender may use it again.
func TestBorrowedRetriesExpire(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := limiter.NewWindowBudget(clock, limiter.WindowConfig{Window: 10 * time.Second})
	b.Borrow(2, clock.Now().Add(time.Second))
	if !b.HasBorrowed() || !b.TryRetry() {
		t.Error("got no retry from a loan")
	}
	clock.Advance(time.Second)
	if b.HasBorrowed() || b.TryRetry() {
		t.Error("got a retry from a loan that has expired")
	}
}
