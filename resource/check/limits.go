package check

import (
	"fmt"

	"github.com/corianderlever/corianderlever/resource"
)

// The checks in this file find limits that contradict others.

// checkQuality compares the target with what all models reach together, if an answer
// of one model that is not good enough always goes on to the next. It says nothing
// unless each version has a declared pass rate.
func (c *checker) checkQuality(r resource.Resource, cascade *resource.Cascade) {
	missed := 1.0
	for _, m := range cascade.Models {
		best := 0.0
		for _, v := range c.VersionsOf(m) {
			switch rate := c.Versions[v].PassRate; {
			case c.withdrawn(v):
			case rate == 0:
				return
			default:
				best = max(best, rate)
			}
		}
		missed *= 1 - best
	}
	// rounding allows for the rounding error of decimal rates.
	const rounding = 1e-9
	if reached := 1 - missed; cascade.QualityTarget > reached+rounding {
		c.warn(r, CodeQualityTooHigh, "quality_target", "%g is above the %.4g that the models reach together at their declared pass rates",
			cascade.QualityTarget, reached)
	}
}

// checkTimeouts compares the timeouts of operations with the longest deadline.
func (c *checker) checkTimeouts(r resource.Resource, svc *resource.Service) {
	var longest resource.Duration
	for _, rank := range c.Ranks {
		longest = max(longest, rank.Deadline)
	}
	if longest == 0 {
		return
	}
	for i, op := range svc.Operations {
		if op.Timeout > longest {
			c.warn(r, CodeTimeoutTooLong, fmt.Sprintf("operations[%d].timeout", i), "%v is longer than the longest deadline of a rank, %v",
				op.Timeout.AsDuration(), longest.AsDuration())
		}
	}
}

func (c *checker) checkTerms(r resource.Resource, terms *resource.Terms) {
	if terms.PeakPrice == 0 && (terms.Allowance > 0 || terms.StandingPeak > 0) {
		c.warn(r, CodeAllowanceUnused, "allowance, standing_peak", "have no effect while peak_price is 0")
	}
}
