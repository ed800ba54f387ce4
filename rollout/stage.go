package rollout

import (
	"math"
	"time"
)

// Tally counts the requests sent to one version since the roll-out was ordered, and
// their answers.
type Tally struct {
	// Sent counts requests, also those that are not answered yet. Hosts of earlier
	// releases leave it out; use Requests.
	Sent int `json:"n,omitempty"`
	Good int `json:"g"`
	// Bad counts requests without a usable answer, Slow usable answers that came
	// slowly.
	Bad  int `json:"b"`
	Slow int `json:"s,omitempty"`
}

// Add returns the sum of two tallies.
func (t Tally) Add(o Tally) Tally {
	return Tally{Sent: t.Requests() + o.Requests(), Good: t.Good + o.Good, Bad: t.Bad + o.Bad, Slow: t.Slow + o.Slow}
}

// Max returns the higher counts of two reports of one host. Counts only rise, so a late
// report changes nothing.
func (t Tally) Max(o Tally) Tally {
	return Tally{Sent: max(t.Sent, o.Sent), Good: max(t.Good, o.Good), Bad: max(t.Bad, o.Bad), Slow: max(t.Slow, o.Slow)}
}

// Requests returns the number of requests that were sent, at least those with an answer.
func (t Tally) Requests() int { return max(t.Sent, t.total()) }

func (t Tally) total() int { return t.Good + t.Bad + t.Slow }

// StageConfig configures a staged roll-out.
type StageConfig struct {
	// ExposureShare is the maximum share of the service's requests that a bad
	// version may receive.
	ExposureShare float64
	// ExposureTolerance is the number of requests that a bad version may receive in
	// addition.
	ExposureTolerance float64
	// SessionTTL is the idle time after which a session ends. A session keeps
	// its version during the first half of a roll-out.
	SessionTTL time.Duration
}

// canaryExposureFraction is the fraction of ExposureShare that the first stage
// may use. The rest is left for later stages, which can reveal faults that
// appear only under load.
const canaryExposureFraction = 0.5

// canaryRequestRate is the number of requests per second that the first stage
// needs to detect a bad version. In a busy service this is a small share. It
// affects few ongoing sessions, so that hosts can exchange the list of them.
const canaryRequestRate = 2.5

// MaxCanaryShare returns the maximum share of the first stage.
func (c StageConfig) MaxCanaryShare() float64 {
	return canaryExposureFraction * min(c.ExposureShare, 1)
}

// canaryStartFraction is the fraction of an order's time limit at which the
// first stage starts to take requests. Until then the hosts exchange their
// ongoing sessions.
const canaryStartFraction = 0.08

// CanaryStarted reports whether the first stage may take requests.
func (c StageConfig) CanaryStarted(o Order, elapsed time.Duration) bool {
	return elapsed.Seconds() >= canaryStartFraction*o.TimeLimit.Seconds()
}

// CanaryShare returns the share of the first stage of a service that receives rate
// requests per second (zero if unknown).
func (c StageConfig) CanaryShare(rate float64) float64 {
	if rate > 0 {
		return min(c.MaxCanaryShare(), canaryRequestRate/rate)
	}
	return c.MaxCanaryShare()
}

// canaryFraction is the fraction of an order's time limit in which the share stays that
// of the first stage. Sessions keep their version in the first half.
const canaryFraction = 0.55

// Conditions describes the service at the time of a decision.
type Conditions struct {
	// CapacityRatio is the number of endpoints of the target divided by the
	// number of endpoints of the other versions.
	CapacityRatio float64
	// RequestRate is the number of requests per second for the service, or zero
	// if unknown.
	RequestRate float64
	// Requests is the number of requests for the service since the order, over all
	// hosts, or zero if unknown.
	Requests float64
	// Hosts is the number of hosts that send requests.
	Hosts int
	// ShareAge is the time for which the target has had its share; zero if unknown.
	ShareAge time.Duration
	// Uncertainty is how much longer ago the order may have been given; zero if unknown.
	Uncertainty time.Duration
}

// Decision is the next step of a roll-out as decided by its coordinator.
type Decision struct {
	State OrderState
	// Share is the share of the traffic that the target receives.
	Share float64
	// Reason explains the decision.
	Reason string
}

// minBadAnswers is the number of bad answers below which a roll-out is never
// reverted.
const minBadAnswers = 4

// isWorse reports whether the target is worse than the baseline, the other versions: by
// its failures, its slow answers, or both together. Under load many answers of all
// versions are slow, and failures would be hidden among them; likewise slow answers are
// hidden among failures where all versions fail often.
func isWorse(target, baseline Tally) bool {
	return exceeds(target.Bad, target.total(), baseline.Bad, baseline.total()) ||
		exceeds(target.Slow, target.total(), baseline.Slow, baseline.total()) ||
		exceeds(target.Bad+target.Slow, target.total(), baseline.Bad+baseline.Slow, baseline.total())
}

// IsWorseOnRoute reports whether the target is worse than the baseline by the answers on
// one of several routes. It asks for more confidence than a single comparison.
func IsWorseOnRoute(target, baseline Tally) bool {
	bad, total := target.Bad, target.total()
	return bad >= minBadAnswers && wilsonLowerBound(bad, total, routeZ) > acceptedRate(baseline.Bad, baseline.total())
}

// exceeds reports whether the lower confidence bound of the target's bad rate exceeds
// worseRatio times the baseline's bad rate plus worseMargin. One good and one bad answer
// are added to the baseline.
func exceeds(bad, total, baselineBad, baselineTotal int) bool {
	return bad >= minBadAnswers && wilsonLowerBound(bad, total, boundZ) > acceptedRate(baselineBad, baselineTotal)
}

// isProbablyWorse is isWorse with less confidence. It decides on the traffic of a target
// whose time runs out.
func isProbablyWorse(target, baseline Tally) bool {
	probably := func(bad, baselineBad int) bool {
		return bad >= minSuspectAnswers && wilsonLowerBound(bad, target.total(), probableZ) > acceptedRate(baselineBad, baseline.total())
	}
	return probably(target.Slow, baseline.Slow) || probably(target.Bad+target.Slow, baseline.Bad+baseline.Slow)
}

// acceptedRate returns the bad rate up to which a target counts as as good as the
// baseline.
func acceptedRate(baselineBad, baselineTotal int) float64 {
	return (float64(baselineBad)+1)/(float64(baselineTotal)+2)*worseRatio + worseMargin
}

// minSuspectAnswers is the number of bad answers below which a target is not suspect.
const minSuspectAnswers = 2

// looksWorse reports whether the target would be worse than the baseline if its answers so
// far were typical, although there may be too few to be sure.
func looksWorse(target, baseline Tally) bool {
	bad := target.Bad + target.Slow
	return bad >= minSuspectAnswers && float64(bad)/float64(target.total()) > acceptedRate(baseline.Bad+baseline.Slow, baseline.total())
}

const (
	// worseRatio and worseMargin define how much higher the target's bad rate
	// must be to count as worse.
	worseRatio  = 1.3
	worseMargin = 0.05
	// boundZ is the normal quantile of the confidence bound. It gives about one
	// false alarm per hundred evaluations.
	boundZ = 2.3
	// routeZ is the normal quantile of the bound on each of several routes.
	routeZ = 2.6
	// probableZ is the normal quantile of a bound that a bad rate of an as good target
	// exceeds once in six evaluations.
	probableZ = 1
)

// wilsonLowerBound returns the lower bound of the Wilson confidence interval of
// the bad rate for a normal quantile.
func wilsonLowerBound(bad, total int, quantile float64) float64 {
	n := float64(total)
	p := float64(bad) / n
	z2 := quantile * quantile
	centre := p + z2/(2*n)
	spread := quantile * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return (centre - spread) / (1 + z2/n)
}

// Advance decides the next step of an order from the shortest time since the order was
// given, the current share, the tallies of the target and of the other versions
// over all hosts, and the conditions of the service.
func (c StageConfig) Advance(o Order, elapsed time.Duration, share float64, target, baseline Tally, cond Conditions) Decision {
	if isWorse(target, baseline) {
		return Decision{State: OrderReverted, Reason: "target is worse"}
	}
	left := c.exposure(o, elapsed, share, target, baseline, cond)
	completes := o.TimeLimit-elapsed <= left.completion
	next := Decision{State: OrderRunning, Share: share, Reason: "stage"}
	if isProbablyWorse(target, baseline) {
		if o.TimeLimit > 0 && completes {
			return Decision{State: OrderReverted, Reason: "target looks worse at its deadline"}
		}
		next.Reason = "target looks worse"
		return next // the next answers show whether it is
	}
	wanted := c.wantedShare(o, elapsed, share, target, baseline, cond.RequestRate, left)
	if wanted > next.Share && cond.CapacityRatio >= min(wanted, fullTrafficCapacityRatio) {
		next.Share = wanted
	}
	switch {
	case !completes, share < 1 && cond.CapacityRatio < fullTrafficCapacityRatio:
	case looksWorse(target, baseline):
		return Decision{State: OrderReverted, Reason: "target looks worse at its deadline"}
	default:
		next.State, next.Share, next.Reason = OrderDone, 1, "target is as good"
	}
	return next
}

// wantedShare returns the share that the target may have now, if its endpoints can serve
// it.
func (c StageConfig) wantedShare(o Order, elapsed time.Duration, share float64, target, baseline Tally, rate float64, left exposure) float64 {
	if elapsed.Seconds() < canaryFraction*o.TimeLimit.Seconds() {
		if share > 0 {
			return share
		}
		return c.CanaryShare(rate)
	}
	if left.permitsFullTraffic() {
		return 1
	}
	if trial := left.trialShare(); trial >= minShareIncrease*share && !looksWorse(target, baseline) {
		return trial
	}
	return share
}

// fullTrafficCapacityRatio is the CapacityRatio from which the target may
// receive all traffic.
const fullTrafficCapacityRatio = 0.5
