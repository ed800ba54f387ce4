package relay

import (
	"context"
	"time"

	"github.com/corianderlever/corianderlever/internal/retryloans"
	"github.com/corianderlever/corianderlever/limiter"
)

// Lenders are the other hosts, which may lend retries.
type Lenders interface {
	// Borrow returns the number of retries of a service that other hosts have lent.
	Borrow(ctx context.Context, service string) int
}

const (
	// maxLoanRounds bounds how often the other hosts are asked for one retry.
	maxLoanRounds = 3
	// loanPause is the time after an unsuccessful round in which no other one begins.
	loanPause = 500 * time.Millisecond
)

// borrowRetry takes a retry that another host lends. Requests that find the budget used up at
// the same time share a round of questions.
func (p *pool) borrowRetry(ctx context.Context) bool {
	if p.relay.Lenders == nil || p.relay.Settings().Retry.ExtraRetries < limiter.MinLendable {
		return false // the other hosts have as few
	}
	for range maxLoanRounds {
		if !p.askLenders(ctx) {
			return false
		}
		if p.takeRetry() {
			return true
		}
	}
	return false
}

// askLenders asks the other hosts for retries, or waits for a round in progress. It returns
// false if they have lately had none.
func (p *pool) askLenders(ctx context.Context) bool {
	p.loanMu.Lock()
	defer p.loanMu.Unlock()
	asked := p.relay.Clock.Now()
	if p.loanAt.After(asked) {
		return false
	}
	if p.budget.HasBorrowed() {
		return true
	}
	lent := p.relay.Lenders.Borrow(ctx, p.service)
	p.relay.Logger.Info("retries borrowed", "service", p.service, "retries", lent)
	if lent == 0 {
		p.loanAt = p.relay.Clock.Now().Add(loanPause)
		return false
	}
	p.budget.Borrow(lent, asked.Add(retryloans.Lease))
	return true
}

// LendRetries takes retries of a service from the budget of this host for another one.
func (r *Relay) LendRetries(service string, retries int) int {
	p := r.pool(service)
	p.budget.SetConfig(r.Settings().Retry)
	lent := p.budget.Lend(retries, retryloans.Lease)
	if lent > 0 {
		r.Logger.Info("retries lent", "service", service, "retries", lent)
	}
	return lent
}
