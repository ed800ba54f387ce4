// Package allowance keeps the busiest minute of the billing month low, because the
// supplier bills the month by it. Up to the highest minute so far (the standing
// peak), an extra request is nearly free; above it, the request raises the bill.
// Controller decides for one host whether a request runs now, runs later or is
// rejected. Consumption above a host's share of the minute must be justified: the
// request is worth the increase of the bill, or deferred work is due. Allocator
// moves unused shares of the running minute between hosts.
package allowance

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports terms or messages that fail validation.
var ErrInvalid = errors.New("allowance: invalid")

// MaxClockSkew bounds the difference between a host's clock and the supplier's.
// Consumption within this time of a minute boundary counts in both minutes.
const MaxClockSkew = time.Second

// Terms holds the supplier's billing terms as the operator declares them.
type Terms struct {
	// PeakPrice is the price per cost unit of the month's busiest minute.
	PeakPrice float64
	// StandingPeak is the consumption of the busiest minute so far this month, in
	// cost units.
	StandingPeak float64
	// Allowance is the number of cost units that all hosts together may use per
	// minute without justification.
	Allowance float64
	// Month is the month of StandingPeak. Zero means the month in which the terms
	// are set. A standing peak of an earlier month is ignored.
	Month Month
}

// Check returns an error if a value is negative or not finite.
func (t Terms) Check() error {
	for _, v := range []float64{t.PeakPrice, t.StandingPeak, t.Allowance} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return errors.Wrapf(ErrInvalid, "terms with a negative or non-finite value: %+v", t)
		}
	}
	return nil
}

// Minute is a billing minute, counted from the Unix epoch.
type Minute int64

// MinuteOf returns the minute that contains t.
func MinuteOf(t time.Time) Minute {
	seconds := t.Unix()
	minute := seconds / 60
	if seconds%60 < 0 {
		minute--
	}
	return Minute(minute)
}

// Start returns the start of the minute.
func (m Minute) Start() time.Time { return time.Unix(int64(m)*60, 0).UTC() }

// Month returns the billing month that contains the minute.
func (m Minute) Month() Month {
	t := m.Start()
	return Month(t.Year()*12 + int(t.Month()))
}

// Month is a billing month in UTC: 12 times the year plus the month from 1 to 12.
type Month int

// possibleMinutes returns the first and last minute that a clock within
// MaxClockSkew of now may show.
func possibleMinutes(now time.Time) (first, last Minute) {
	return MinuteOf(now.Add(-MaxClockSkew)), MinuteOf(now.Add(MaxClockSkew))
}

// Request describes a request that asks for admission.
type Request struct {
	// Rank and Team are used only for the log.
	Rank, Team string
	// Worth is the value of serving the request, in price units.
	Worth float64
	// Cost is the estimated consumption in cost units.
	Cost float64
	// Deadline is the time by which the answer must be complete. Zero means that
	// the request cannot be deferred.
	Deadline time.Time
	// ExpectedDuration is the estimated running time.
	ExpectedDuration time.Duration
	// Deferred is set if the same request was deferred before.
	Deferred bool
}

// latestStart returns the latest time at which the request may start.
func (r Request) latestStart() time.Time { return r.Deadline.Add(-r.ExpectedDuration) }

// Action says what to do with a request.
type Action int

// The actions.
const (
	// Admit runs the request now.
	Admit Action = iota
	// Defer delays the request until Decision.Until. The caller then calls Decide
	// again with Request.Deferred set.
	Defer
	// Reject ends the request with the outcome not_run.
	Reject
)

// String returns the name of the action as it appears in logs, where Reject is
// called refuse.
func (a Action) String() string {
	return [...]string{"admit", "defer", "refuse"}[a]
}

// Reason is the reason for a decision, as it appears in logs.
type Reason string

// The reasons.
const (
	// ReasonUnderPeak: the request fits into the host's share of the minute.
	ReasonUnderPeak Reason = "under_peak"
	// ReasonWorthExceedsRise: the request cannot wait and is worth at least the
	// increase of the bill that it causes.
	ReasonWorthExceedsRise Reason = "worth_exceeds_rise"
	// ReasonBacklogDue: not all deferred work can run later within the share.
	ReasonBacklogDue Reason = "backlog_due"
	// ReasonLaterMinute: the request can wait for a later minute.
	ReasonLaterMinute Reason = "later_minute"
	// ReasonRiseExceedsWorth: the request cannot wait and is worth less than the
	// increase of the bill that it causes.
	ReasonRiseExceedsWorth Reason = "rise_exceeds_worth"
	// ReasonInvalid: the request fails validation.
	ReasonInvalid Reason = "invalid"
)

// Overrun describes, for the log, an admitted request that takes a host above
// its share of a minute.
type Overrun struct {
	// Minute is the minute whose share is exceeded.
	Minute Minute
	// Units is the part of the request above the share, in cost units.
	Units float64
	// BillIncrease is the largest increase of the bill that Units can cause, in
	// price units.
	BillIncrease float64
	// Worth is Request.Worth.
	Worth float64
	// Rank and Team are the rank and team of the request.
	Rank, Team string
	// Reason is ReasonWorthExceedsRise or ReasonBacklogDue.
	Reason Reason
}

// Decision is the decision about one request.
type Decision struct {
	// Action is what to do.
	Action Action
	// Until is the time at which to call Decide again, if Action is Defer.
	Until time.Time
	// RetryAfter is the time after which a retry can succeed, if Action is Reject.
	RetryAfter time.Duration
	// ShadowPrice is the price of one more cost unit now, in price units.
	ShadowPrice float64
	// Reason is the reason for the decision.
	Reason Reason
	// Overrun is set if the request exceeds the share; the caller must log it.
	Overrun *Overrun
	// Commitment must be passed to Controller.Settle when the admitted request
	// ends.
	Commitment Commitment
}
