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

// Decide asks the controller of this host.
func (g *allowanceAdapter) Decide(req dispatch.AllowanceRequest) dispatch.AllowanceDecision {
	s := g.signals
	if !s.hasTerms.Load() {
		return dispatch.AllowanceDecision{Admit: true, PriceMultiplier: 1, Reason: "no terms", Settle: func(float64) {}}
	}
	now := s.opts.Clock.Now()
	ask := allowance.Request{
		Rank: req.Rank, Team: req.Team, Worth: req.Worth, Cost: req.Cost, Expected: req.Expected, Deferred: req.Deferred,
	}
	if !req.Urgent {
		ask.Deadline = req.Deadline
	}
	d := s.allowance.Decide(now, ask)
	if d.Raise != nil {
		s.opts.Logger.Info("minute raised", "minute", d.Raise.Minute.Start().Format(time.RFC3339), "units", d.Raise.Units,
			"price", d.Raise.Price, "worth", d.Raise.Worth, "rank", d.Raise.Rank, "team", d.Raise.Team, "reason", d.Raise.Reason)
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
	case allowance.Refuse:
	}
	return out
}
