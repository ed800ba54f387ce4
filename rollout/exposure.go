package rollout

import "time"

const (
	// exposureReserve is the fraction of the permitted exposure that a roll-out plans
	// to use. The rest covers a request rate that rises.
	exposureReserve = 0.8
	// countDelay is the time after which the counts of other hosts are known.
	countDelay = 1200 * time.Millisecond
	// maxTrialShare is the maximum share before the target receives all traffic.
	maxTrialShare = 0.5
	// minShareIncrease is the factor by which a new share exceeds the last one, so that
	// a share that follows its budget does not change all the time.
	minShareIncrease = 1.3
	// fullTrafficTime is the time before the deadline for which the target is meant
	// to receive all traffic, so that most requests at the other versions end before
	// their endpoints are stopped.
	fullTrafficTime = 2 * time.Second
	// maxFullTrafficFraction bounds the last part of the time limit in which the
	// target receives all traffic.
	maxFullTrafficFraction = 0.26
)

// exposure is what a roll-out may still send to its target. A fault may show only under
// a load that the target has not had yet, so the requests that it will have received at
// its deadline stay within the exposure, however good its answers are.
type exposure struct {
	// requests is the number of requests that the target may still receive.
	requests float64
	// rate is the number of requests per second for the service.
	rate float64
	// remaining is the time to the deadline.
	remaining time.Duration
	limit     time.Duration
}

// exposure returns what is left of the exposure after some time with a share.
func (c StageConfig) exposure(o Order, elapsed time.Duration, share float64, target, baseline Tally, cond Conditions) exposure {
	e := exposure{rate: cond.RequestRate, remaining: max(0, o.TimeLimit-elapsed), limit: o.TimeLimit}
	total := max(cond.Requests, float64(target.Requests()+baseline.Requests()))
	if elapsed > 0 {
		e.rate = max(e.rate, total/elapsed.Seconds())
	}
	total += e.rate * e.remaining.Seconds()
	sent := float64(target.Requests()) + share*e.rate*countDelay.Seconds()
	e.requests = exposureReserve*(c.ExposureShare*total+c.ExposureTolerance) - sent
	return e
}

// permitsFullTraffic reports whether the target may receive all traffic from now until
// the deadline.
func (e exposure) permitsFullTraffic() bool {
	return e.remaining.Seconds() <= maxFullTrafficFraction*e.limit.Seconds() && e.rate*e.remaining.Seconds() <= e.requests
}

// trialShare returns the share that the target may have until it receives all traffic.
func (e exposure) trialShare() float64 {
	full := min(fullTrafficTime, e.remaining)
	trial := (e.remaining - full).Seconds() * e.rate
	if trial == 0 {
		return 0
	}
	return min(maxTrialShare, max(0, e.requests-full.Seconds()*e.rate)/trial)
}
