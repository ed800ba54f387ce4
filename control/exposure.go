package control

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderlever/corianderlever/rollout"
)

// exposureLimit keeps the requests that this host sends to the target of a roll-out within
// its part of the exposure. It decides at each request, from the host's own counts.
type exposureLimit struct {
	// requests is the number of attempts sent to the service since the order, toTarget
	// that of those sent to the target.
	requests, toTarget int
	// inProgress is set once this host has sent a request while the roll-out was in progress.
	// One that starts later does not know the time of the order.
	inProgress bool
	// firstShare is the share of the first stage; zero if this host has not seen it.
	firstShare float64
	// before and after are the allowances before and after the completion; nil until the
	// host needs them.
	before, after *startedAllowance
	// limitedShare is the point from which sessions use the baseline under the step with
	// share limitedStep, because the host has used up its allowance. It only falls, so that
	// a session does not change its version time and again.
	limitedShare, limitedStep float64
}

// startedAllowance is an allowance and the number of requests that the host had sent to
// the target when it began.
type startedAllowance struct {
	rollout.Allowance
	toTarget int
}

func (l *exposureLimit) permits(a *startedAllowance) bool {
	return a.Permits(l.requests, l.toTarget-a.toTarget)
}

// share returns the share of a step that this host follows.
func (l *exposureLimit) share(step Step) float64 {
	if l.limitedStep == step.Share {
		return min(step.Share, l.limitedShare)
	}
	return step.Share
}

// Admit implements relay.Versions: it admits and counts an attempt that is about to be sent
// to a version for the session at point.
func (r *Rollouts) Admit(name, version string, point float64) rollout.Admission {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	if !s.hasOrder {
		return rollout.Admission{Admitted: true}
	}
	if version == s.order.Target {
		if refused, ok := r.refuseTarget(name, s, point); ok {
			return refused
		}
		s.limit.toTarget++
	}
	s.limit.requests++
	s.limit.inProgress = s.limit.inProgress || !isFinal(s.current().State)
	t := s.ownTallies[version]
	t.Sent++
	s.ownTallies[version] = t
	return rollout.Admission{Admitted: true}
}

// Unsent implements relay.Versions: it takes back that an attempt was admitted that has not
// reached its endpoint.
func (r *Rollouts) Unsent(name, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	s.limit.requests = max(0, s.limit.requests-1)
	if s.hasOrder && version == s.order.Target {
		s.limit.toTarget = max(0, s.limit.toTarget-1)
	}
}

// refuseTarget returns the refusal of an attempt at the target, or false if it may be sent.
// While the target is not done, an attempt is refused only if another version has endpoints.
func (r *Rollouts) refuseTarget(name string, s *service, point float64) (rollout.Admission, bool) {
	step := s.current()
	if step.State == rollout.OrderDone {
		remaining := s.order.TimeLimit - s.age.atLeast(r.clock.Now())
		if !s.limit.inProgress || remaining <= 0 || s.limit.permits(r.allowanceAfter(s)) {
			return rollout.Admission{}, false
		}
		return rollout.Admission{RetryAfter: remaining}, true
	}
	if !s.targetWorse && step.State != rollout.OrderReverted && r.targetPermitted(name, s, step, point) {
		return rollout.Admission{}, false
	}
	baseline := r.baselineVersion(name, s.order.Target)
	return rollout.Admission{Instead: baseline}, baseline != ""
}

// targetPermitted reports whether this host may send another request to the target of a
// roll-out in progress. While the share is small, few sessions use the target. They are
// limited by the counts of all hosts, as one of them may make most of the requests of its host,
// whose own part may be smaller than that.
func (r *Rollouts) targetPermitted(name string, s *service, step Step, point float64) bool {
	l := &s.limit
	permitted := false
	if step.Share <= r.stage().MaxCanaryShare() {
		l.firstShare = step.Share
	}
	if step.Share < 1 || point < l.firstShare {
		permitted = r.stage().FirstStagePermits(r.counts(s))
	} else {
		permitted = l.permits(r.allowanceBefore(s))
	}
	if permitted {
		return true
	}
	if l.share(step) > point {
		r.log.Warn("rollout target limited at this host", "service", name, "target", s.order.Target, "share", step.Share, "limited_share", point,
			"requests", l.requests, "target_requests", l.toTarget)
		l.limitedShare, l.limitedStep = point, step.Share
	}
	return false
}

// allowanceBefore returns the allowance of this host until the target is done.
func (r *Rollouts) allowanceBefore(s *service) *startedAllowance {
	if s.limit.before == nil {
		all := r.counts(s)
		all.Target += s.limit.firstShare * all.Rate * rollout.CountDelay.Seconds()
		a := r.stage().AllowanceBeforeCompletion(all, s.limit.requests, r.roundingOffset(s, "before"))
		s.limit.before = &startedAllowance{Allowance: a, toTarget: s.limit.toTarget}
	}
	return s.limit.before
}

// allowanceAfter returns the allowance of this host from the completion to the deadline.
func (r *Rollouts) allowanceAfter(s *service) *startedAllowance {
	if s.limit.after == nil {
		own := rollout.Counts{Requests: float64(s.limit.requests), Target: float64(s.limit.toTarget)}
		a := r.stage().AllowanceAfterCompletion(r.counts(s), own, r.roundingOffset(s, "after"))
		s.limit.after = &startedAllowance{Allowance: a, toTarget: s.limit.toTarget}
	}
	return s.limit.after
}

// roundingOffset returns a number in [0, 1) that is spread evenly over the hosts.
func (r *Rollouts) roundingOffset(s *service, phase string) float64 {
	hash := xxhash.Sum64String(r.self.host + "/" + strconv.FormatInt(s.order.Revision, 10) + "/" + phase)
	return float64(uint32(hash)) / (math.MaxUint32 + 1)
}

// counts returns the requests for the service since the order, as known here.
func (r *Rollouts) counts(s *service) rollout.Counts {
	hosts, now := r.hosts(), r.clock.Now()
	target, _ := s.tallies(r.self)
	return rollout.Counts{
		Requests: s.requests(hosts), Target: float64(target.Requests()), Rate: s.rate(now, hosts), Hosts: hosts,
		Advance: s.order.CompletionAdvance(s.age.uncertainty(now)),
	}
}
