package daemon

import (
	"time"

	"github.com/corianderlever/corianderlever/allowance"
	"github.com/corianderlever/corianderlever/dispatch"
)

// allowanceAdapter implements dispatch.Allowance.
type allowanceAdapter struct {
	signals *signalService
}

var _ dispatch.Allowance = (*allowanceAdapter)(nil)

// Decide implements dispatch.Allowance with the controller of this host. It admits
// every request while no terms are declared.
func (a *allowanceAdapter) Decide(req dispatch.AllowanceRequest) dispatch.AllowanceDecision {
	s := a.signals
	if !s.hasTerms.Load() {
		return dispatch.AllowanceDecision{Admit: true, PriceMultiplier: 1, Reason: "no terms", Settle: func(float64) {}}
	}
	now := s.opts.Clock.Now()
	request := allowance.Request{
		Rank: req.Rank, Team: req.Team, Worth: req.Worth, Cost: req.Cost, ExpectedDuration: req.Expected, Deferred: req.Deferred,
	}
	if !req.Urgent {
		request.Deadline = req.Deadline
	}
	d := s.allowance.Decide(now, request)
	if d.Overrun != nil {
		s.opts.Logger.Info("minute raised", "minute", d.Overrun.Minute.Start().Format(time.RFC3339), "units", d.Overrun.Units,
			"price", d.Overrun.BillIncrease, "worth", d.Overrun.Worth, "rank", d.Overrun.Rank, "team", d.Overrun.Team, "reason", d.Overrun.Reason)
	}
	out := dispatch.AllowanceDecision{
		PriceMultiplier: 1 + d.ShadowPrice, Reason: string(d.Reason), RetryAfter: d.RetryAfter,
	}
	switch d.Action {
	case allowance.Admit:
		out.Admit = true
		out.Settle = func(actual float64) { s.allowance.Settle(s.opts.Clock.Now(), d.Commitment, actual) }
	case allowance.Defer:
		out.DeferUntil = d.Until
	case allowance.Reject:
	}
	return out
}
