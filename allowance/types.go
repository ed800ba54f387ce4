// Package allowance keeps the month's busiest minute low. Below the standing
// peak an extra request is nearly free, above it the request raises the bill.
// Controller decides for one host which requests run now, later or not at all.
// Allocator moves unused shares of the running minute between hosts.
package allowance

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports terms, requests or messages that fail a check.
var ErrInvalid = errors.New("allowance: invalid")

// MaxClockSkew bounds the difference between a host's clock and the supplier's.
// Consumption this close to the edge of a minute counts against both minutes.
const MaxClockSkew = time.Second

// Terms are the supplier's terms as the operator declares them.
type Terms struct {
	// PeakPrice is the price per unit of the month's busiest minute.
	PeakPrice float64
	// StandingPeak is the busiest minute so far this month, in cost units.
	StandingPeak float64
	// Allowance is the cost units a minute may use without a stated reason.
	Allowance float64
	// Month is the month of StandingPeak; the zero value means the month in
	// which the terms are set. A standing peak of an earlier month is ignored.
	Month Month
}

// Check reports the first fault of the terms.
func (t Terms) Check() error {
	for _, v := range []float64{t.PeakPrice, t.StandingPeak, t.Allowance} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return errors.Wrapf(ErrInvalid, "terms %+v", t)
		}
	}
	return nil
}

// Minute is a billing minute: minutes since the Unix epoch.
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

// Start returns the beginning of the minute.
func (m Minute) Start() time.Time { return time.Unix(int64(m)*60, 0).UTC() }

// Month returns the billing month that contains the minute.
func (m Minute) Month() Month {
	t := m.Start()
	return Month(t.Year()*12 + int(t.Month()))
}

// Month is a billing month, in UTC.
type Month int

// touched returns the minutes that a clock within MaxClockSkew of now may show.
func touched(now time.Time) (first, last Minute) {
	return MinuteOf(now.Add(-MaxClockSkew)), MinuteOf(now.Add(MaxClockSkew))
}

// Request is one piece of work before it is admitted.
type Request struct {
	// Rank and Team name the urgency and the owner, for the log.
	Rank, Team string
	// Worth is the value of the served request in price units.
	Worth float64
	// Cost is the estimated consumption in cost units.
	Cost float64
	// Deadline is when the answer must be complete; zero means that the
	// request cannot wait.
	Deadline time.Time
	// Expected is the estimated running time.
	Expected time.Duration
	// Deferred is set when the same request was deferred before.
	Deferred bool
}

// lastStart returns the last moment at which the request may start.
func (r Request) lastStart() time.Time { return r.Deadline.Add(-r.Expected) }

// Action is what to do with a request.
type Action int

// The actions.
const (
	// Admit runs the request now.
	Admit Action = iota
	// Defer asks again at Decision.Until, with Request.Deferred set.
	Defer
	// Reject ends the request with the outcome not_run.
	Reject
)

// String returns the name of the action as it appears in logs.
func (a Action) String() string {
	return [...]string{"admit", "defer", "refuse"}[a]
}

// Reason says why a decision was taken.
type Reason string

// The reasons.
const (
	// ReasonUnderPeak: the request fits under the host's share of the minute.
	ReasonUnderPeak Reason = "under_peak"
	// ReasonWorthExceedsRise: the request cannot wait and is worth more than the rise.
	ReasonWorthExceedsRise Reason = "worth_exceeds_rise"
	// ReasonBacklogDue: deferred work cannot all run later under the share.
	ReasonBacklogDue Reason = "backlog_due"
	// ReasonLaterMinute: the request can wait for a later minute.
	ReasonLaterMinute Reason = "later_minute"
	// ReasonRiseExceedsWorth: the request cannot wait and is worth less than the rise.
	ReasonRiseExceedsWorth Reason = "rise_exceeds_worth"
	// ReasonInvalid: the request fails a check.
	ReasonInvalid Reason = "invalid"
)

// Overrun describes, for the log, an admitted request that takes a host above
// its share of a minute.
type Overrun struct {
	// Minute is the minute that rises.
	Minute Minute
	// Units is the part of the request above the share.
	Units float64
	// BillIncrease is the largest rise of the bill that Units can cause, in
	// price units.
	BillIncrease float64
	// Worth is that of the request.
	Worth float64
	// Rank and Team are those of the request.
	Rank, Team string
	// Reason is ReasonWorthExceedsRise or ReasonBacklogDue.
	Reason Reason
}

// Decision is what to do with a request.
type Decision struct {
	// Action is what to do.
	Action Action
	// Until is when to ask again, for Defer.
	Until time.Time
	// RetryAfter is when a repeat has a chance, for Reject.
	RetryAfter time.Duration
	// ShadowPrice is the price of one more unit now, in price units.
	ShadowPrice float64
	// Reason says why.
	Reason Reason
	// Overrun is set when the request goes above the share, and must be logged.
	Overrun *Overrun
	// Commitment must be settled when the admitted request ends.
	Commitment Commitment
}
