package rollout

import (
	"math"
	"time"
)

const (
	// minReserve and maxReserve bound the fraction of the exposure that is kept for the time
	// between the completion and the deadline, when only the target is left.
	minReserve = 0.2
	maxReserve = 0.4
	// afterCompletionFraction is the fraction of what is left of its part that a host may use
	// after the completion. The rest makes up for hosts that have used more than their part.
	afterCompletionFraction = 0.85
	// reservedTime is the part of that time for which the reserve is meant to last.
	reservedTime = 400 * time.Millisecond
	// plannedFraction is the fraction that a roll-out plans to use of what the hosts may use
	// until the completion. The rest absorbs that some hosts have more of the sessions at the
	// target than others.
	plannedFraction = 0.95
	// firstStageLimit is the fraction of the exposure that the target may use while it does
	// not get all traffic.
	firstStageLimit = 0.8
	// rateRise and rateRiseAtCompletion are the factors by which the request rate may
	// rise before and after the completion without a host having to limit the target.
	rateRise             = 1.25
	rateRiseAtCompletion = 1.4
	// CountDelay is the time after which the counts of other hosts are known.
	CountDelay = 1200 * time.Millisecond
	// maxTrialShare is the maximum share before the target receives all traffic.
	maxTrialShare = 0.5
	// minTrialFraction is the fraction of what is left that the trial stage may use at least.
	// Its answers come in time for the decision.
	minTrialFraction = 0.4
	// minShareIncrease is the factor by which a new share exceeds the last one, so that
	// a share that follows its budget does not change all the time.
	minShareIncrease = 1.3
	// fullTrafficTime is the time before the completion for which the target is meant
	// to receive all traffic, so that most requests at the other versions end before
	// their endpoints are stopped.
	fullTrafficTime = 2 * time.Second
	// maxFullTrafficFraction bounds the last part of the time limit in which the
	// target receives all traffic.
	maxFullTrafficFraction = 0.26
	// completionFraction is the fraction of the order's time limit from which a good
	// version is declared done, if its exposure permits that much time before the
	// deadline. The remaining time allows for a store that responds late.
	completionFraction = 0.96
	// usualCompletionTime is the minimum of that time, minCompletionTime what remains of
	// it when the request rate is high.
	usualCompletionTime = 900 * time.Millisecond
	minCompletionTime   = 350 * time.Millisecond
	// publishTime is the time before the deadline by which a target is to be declared done, so
	// that the operator learns of it in time.
	publishTime = 600 * time.Millisecond
	// fullAdvance is how much earlier than usual the completion is planned from which
	// advancedMaxReserve and advancedRateRise replace maxReserve and rateRiseAtCompletion:
	// the target then needs more of the exposure after its completion, and less before it.
	fullAdvance        = 500 * time.Millisecond
	advancedMaxReserve = 0.6
	advancedRateRise   = 1.2
	// maxAdvanceFraction bounds the fraction of the time limit by which the completion is
	// planned earlier, so that the stages before it are not cut short.
	maxAdvanceFraction = 0.1
)

// CompletionAdvance returns how much earlier than usual the completion is planned because the
// order may have been given earlier than known, by the uncertainty. The usual time before the
// deadline absorbs a small one.
func (o Order) CompletionAdvance(uncertainty time.Duration) time.Duration {
	longest := time.Duration(maxAdvanceFraction * float64(o.TimeLimit))
	return min(longest, max(0, uncertainty-(usualCompletionTime-publishTime)))
}

// Counts are the requests for a service since the order of its roll-out.
type Counts struct {
	// Requests is the number of requests for the service, Target that of those sent to
	// the target.
	Requests, Target float64
	// Rate is the number of requests per second, Share the share of them that the target
	// gets.
	Rate, Share float64
	// ShareAge is the time for which the target has had that share; zero if unknown.
	ShareAge time.Duration
	// Hosts is the number of hosts that sent them.
	Hosts int
	// Advance is how much earlier than usual the completion is planned.
	Advance time.Duration
}

// allowed returns the number of requests that a bad version may receive.
func (c StageConfig) allowed(requests float64) float64 {
	return c.ExposureShare*requests + c.ExposureTolerance
}

// roundingReserve returns the number of requests by which hosts together may exceed what
// is left, since each rounds its part at random: two standard deviations.
func roundingReserve(hosts int) float64 { return math.Sqrt(float64(hosts)) }

// reserve returns the fraction of the exposure that is kept for the time after the completion.
func (c StageConfig) reserve(n Counts) float64 {
	reservedSeconds := n.Advance.Seconds() + n.advanced(reservedTime.Seconds(), usualCompletionTime.Seconds())
	needed := rateRiseAtCompletion*n.Rate*reservedSeconds + roundingReserve(n.Hosts)
	return min(n.advanced(maxReserve, advancedMaxReserve), max(minReserve, needed/max(1, c.allowed(n.Requests))))
}

// leftBeforeCompletion returns how many more requests the target may receive until it is
// declared done, if it may receive a fraction of the exposure until then.
func (c StageConfig) leftBeforeCompletion(n Counts, fraction float64) float64 {
	return fraction*c.allowed(n.Requests) - n.Target - roundingReserve(n.Hosts)
}

// leftAfterCompletion returns how many requests the target may receive between its
// completion and the deadline, if a fraction of the exposure was kept for that. Before the
// completion the target has received what the hosts permit at most, and often less.
func (c StageConfig) leftAfterCompletion(n Counts, reserve float64) float64 {
	allowed := c.allowed(n.Requests)
	received := min((1-reserve)*allowed, n.Target+n.unreported())
	return allowed - received - roundingReserve(n.Hosts)
}

// unreported estimates the requests to the target that are not in the counts yet.
func (n Counts) unreported() float64 {
	delay := CountDelay
	if n.ShareAge > 0 {
		delay = min(delay, n.ShareAge)
	}
	return n.Share * n.Rate * delay.Seconds()
}

// FirstStagePermits reports whether another request may be sent to the target while it does
// not get all traffic.
func (c StageConfig) FirstStagePermits(n Counts) bool {
	return n.Target+1 <= firstStageLimit*c.allowed(n.Requests)
}

// Allowance bounds the requests that one host sends to the target from some moment on. The
// allowances of all hosts add up to about what is left of the exposure, by the counts known at
// that moment. A host needs only its own counts to keep its allowance, so a rise of the request
// rate or a late coordinator does not exceed it.
type Allowance struct {
	// start is the number of the host's requests at that moment.
	start int
	// initial is the number of requests that may be sent to the target without further
	// requests for the service, perRequest what each of these adds.
	initial, perRequest float64
}

// AllowanceBeforeCompletion returns the allowance of a host for the stages after the first.
// all are the counts of all hosts, own the requests of this host. offset, in [0, 1), rounds
// the host's part; it is spread evenly over the hosts.
func (c StageConfig) AllowanceBeforeCompletion(all Counts, own int, offset float64) Allowance {
	fraction := 1 - c.reserve(all)
	return Allowance{
		start: own, initial: hostPart(c.leftBeforeCompletion(all, fraction), all, own) + offset,
		perRequest: fraction * c.ExposureShare,
	}
}

// AllowanceAfterCompletion returns the allowance of a host for the time between the
// completion and the deadline: what is left of its own part of the exposure. all are the counts
// of all hosts, of which only the number of requests matters, own those of this host.
func (c StageConfig) AllowanceAfterCompletion(all, own Counts, offset float64) Allowance {
	tolerance := hostPart(c.ExposureTolerance, all, int(own.Requests))
	left := max(0, c.ExposureShare*own.Requests+tolerance-own.Target)
	return Allowance{start: int(own.Requests), initial: afterCompletionFraction*left + offset}
}

// hostPart returns the part of what is left for a host, in proportion to its requests.
func hostPart(left float64, all Counts, own int) float64 {
	switch {
	case left <= 0:
		return 0
	case all.Requests == 0:
		return left / float64(max(1, all.Hosts))
	}
	return left * min(1, float64(own)/all.Requests)
}

// Permits reports whether a host that has sent so many requests for the service since the
// order may send another one to the target after it has sent some there under the allowance.
func (a Allowance) Permits(requests, sent int) bool {
	return float64(sent+1) <= a.initial+a.perRequest*float64(requests-a.start)
}

// exposure is what a roll-out may still send to its target before its completion. A fault
// may show only under a load that the target has not had yet, so the requests that it will
// have received at its deadline stay within the exposure, however good its answers are.
type exposure struct {
	// requests is the number of requests that the target may still receive.
	requests float64
	// rate is the number of requests per second for the service.
	rate float64
	// completion is the time before the deadline from which the target may be declared done,
	// plannedCompletion what is sure to be left of it. remaining is the time until then.
	completion, plannedCompletion, remaining time.Duration
	limit                                    time.Duration
}

// exposure returns what is left of the exposure after some time with a share.
func (c StageConfig) exposure(o Order, elapsed time.Duration, share float64, target, baseline Tally, cond Conditions) exposure {
	e := exposure{rate: cond.RequestRate, limit: o.TimeLimit}
	n := Counts{Requests: max(cond.Requests, float64(target.Requests()+baseline.Requests())), Target: float64(target.Requests()), Hosts: cond.Hosts}
	if elapsed > 0 {
		e.rate = max(e.rate, n.Requests/elapsed.Seconds())
	}
	n.Rate, n.Share, n.ShareAge = e.rate, share, cond.ShareAge
	n.Advance = o.CompletionAdvance(cond.Uncertainty)
	reserve := c.reserve(n)
	e.completion = completionTime(o, n, c.leftAfterCompletion(n, reserve))
	kept := reserve*c.allowed(n.Requests) - roundingReserve(n.Hosts)
	e.plannedCompletion = completionTime(o, n, kept)
	e.remaining = max(0, o.TimeLimit-elapsed-e.plannedCompletion)
	n.Target += n.unreported()
	n.Requests += e.rate * e.remaining.Seconds()
	e.requests = c.leftBeforeCompletion(n, plannedFraction*(1-reserve))
	return e
}

// advanced returns full if the completion is planned at least fullAdvance earlier than usual, and
// a value between usual and full below that.
func (n Counts) advanced(usual, full float64) float64 {
	return usual + (full-usual)*min(1, n.Advance.Seconds()/fullAdvance.Seconds())
}

// rateRise returns the factor by which the request rate may rise after the completion without a
// host having to limit the target.
func (n Counts) rateRise() float64 { return n.advanced(rateRiseAtCompletion, advancedRateRise) }

// completionTime returns how long before the deadline a target may be declared done that may
// receive a number of requests in that time.
func completionTime(o Order, n Counts, requests float64) time.Duration {
	wanted := n.Advance + max(usualCompletionTime, time.Duration((1-completionFraction)*float64(o.TimeLimit)))
	if n.Rate == 0 {
		return wanted
	}
	permitted := requests / (n.rateRise() * n.Rate)
	if permitted >= wanted.Seconds() {
		return wanted
	}
	return max(minCompletionTime, time.Duration(permitted*float64(time.Second)))
}

// permitsFullTraffic reports whether the target may receive all traffic from now until
// its completion.
func (e exposure) permitsFullTraffic() bool {
	inTime := (e.remaining + e.plannedCompletion).Seconds() <= maxFullTrafficFraction*e.limit.Seconds()
	return inTime && rateRise*e.rate*e.remaining.Seconds() <= e.requests
}

// trialShare returns the share that the target may have until it receives all traffic.
func (e exposure) trialShare() float64 {
	if e.remaining == 0 || e.rate == 0 {
		return 0
	}
	full := min(fullTrafficTime, e.remaining)
	trial := e.rate * (e.remaining - full).Seconds()
	if trial == 0 {
		return 0
	}
	share := minTrialFraction * e.requests / (e.rate * e.remaining.Seconds())
	return min(maxTrialShare, max(0, share, (e.requests-rateRise*e.rate*full.Seconds())/trial))
}
