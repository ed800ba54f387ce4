package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/rollout"
)

const (
	timeLimit = 24 * time.Second
	// exposureExtra is the number of requests that a bad version may receive in
	// addition to its share.
	exposureExtra = 30
)

var (
	stageConfig = rollout.StageConfig{ExposureShare: 0.15, ExposureTolerance: exposureExtra}
	order       = rollout.Order{Service: "s", Target: "v2", TimeLimit: timeLimit, Revision: 1}
)

// simulate runs a roll-out with perSecond requests per second. The bad rate of
// the target is badBaseline until badFrom and badTarget after it. simulate returns
// the number of requests to the target, the number of all requests, and how and
// when the roll-out ended.
func simulate(rng *rand.Rand, perSecond, badTarget, badBaseline float64, badFrom time.Duration) (exposed, total int, end rollout.OrderState, at time.Duration) {
	const tick = 100 * time.Millisecond
	share := 0.0
	var target, baseline rollout.Tally
	for at = 0; at <= timeLimit; at += tick {
		d := stageConfig.Advance(order, at, share, target, baseline, rollout.Conditions{CapacityRatio: 1, RequestRate: perSecond})
		if d.State != rollout.OrderRunning {
			return exposed, total, d.State, at
		}
		share = d.Share
		for range int(perSecond * tick.Seconds()) {
			total++
			if rng.Float64() >= share {
				baseline = baseline.Add(outcome(rng, badBaseline))
				continue
			}
			exposed++
			bad := badBaseline
			if at >= badFrom {
				bad = badTarget
			}
			target = target.Add(outcome(rng, bad))
		}
	}
	return exposed, total, rollout.OrderRunning, at
}

func outcome(rng *rand.Rand, bad float64) rollout.Tally {
	if rng.Float64() < bad {
		return rollout.Tally{Bad: 1}
	}
	return rollout.Tally{Good: 1}
}

// TestBadVersionsAreRevertedWithinTheExposure guards against a bad version that
// receives more requests than its exposure share plus exposureExtra, whether it
// is bad from the first request or turns bad later.
func TestBadVersionsAreRevertedWithinTheExposure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		badFrom := time.Duration(rapid.IntRange(0, 8).Draw(rt, "from_s")) * time.Second
		exposed, _, end, _ := simulate(rng, 30, 0.4, 0.02, badFrom)
		all := 30 * timeLimit.Seconds()
		if end != rollout.OrderReverted || float64(exposed) > stageConfig.ExposureShare*all+exposureExtra {
			rt.Fatalf("state %v after %d of %.0f requests went to a bad version, want reverted within the exposure", end, exposed, all)
		}
	})
}

// TestGoodVersionsAreDoneInTime guards against good versions that are reverted
// by chance or not done within the time limit.
func TestGoodVersionsAreDoneInTime(t *testing.T) {
	const trials = 400
	failed := 0
	for seed := range uint64(trials) {
		_, _, end, at := simulate(rand.New(rand.NewPCG(seed, 2)), 30, 0.05, 0.05, 0)
		if end != rollout.OrderDone || at > timeLimit {
			failed++
		}
	}
	if failed > trials/50 {
		t.Errorf("%d of %d good versions not done within the time limit", failed, trials)
	}
}

// TestUndetectableFaultStaysWithinTheExposure guards against a version that receives most
// requests of its service before its deadline, because its fault shows only under a load
// that it does not reach until then.
func TestUndetectableFaultStaysWithinTheExposure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(2, 900).Draw(rt, "rate")
		config := rollout.StageConfig{
			ExposureShare: rapid.Float64Range(0.08, 0.2).Draw(rt, "share"), ExposureTolerance: exposureExtra,
		}
		o := rollout.Order{Service: "s", Target: "v2", TimeLimit: time.Duration(rapid.IntRange(12, 60).Draw(rt, "limit_s")) * time.Second, Revision: 1}
		const tick = 300 * time.Millisecond // time between two decisions
		share, targets, others, state := 0.0, 0.0, 0.0, rollout.OrderRunning
		for at := time.Duration(0); at < o.TimeLimit; at += tick {
			if state == rollout.OrderRunning {
				d := config.Advance(o, at, share, rollout.Tally{Sent: int(targets), Good: int(targets)}, rollout.Tally{Sent: int(others), Good: int(others)},
					rollout.Conditions{CapacityRatio: 1, RequestRate: rate, Requests: targets + others})
				share, state = max(share, d.Share), d.State
			}
			requests := rate * tick.Seconds()
			targets += requests * share
			others += requests * (1 - share)
		}
		if allowed := config.ExposureShare*(targets+others) + exposureExtra; targets > allowed {
			rt.Errorf("%.0f of %.0f requests went to the target until its deadline, allowed %.0f", targets, targets+others, allowed)
		}
		if state != rollout.OrderDone {
			rt.Errorf("state %v at the deadline of a target without a bad answer, want done", state)
		}
	})
}

// TestExposureHoldsInABurst guards against a target that exceeds its exposure because the
// requests become more while it gets all traffic, and the counts of other hosts come late.
func TestExposureHoldsInABurst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const (
			tick      = 300 * time.Millisecond // time between two decisions
			reportLag = 4                      // ticks until another host's counts arrive
		)
		config := rollout.StageConfig{ExposureShare: rapid.Float64Range(0.08, 0.2).Draw(rt, "share"), ExposureTolerance: exposureExtra}
		o := rollout.Order{Service: "s", Target: "v2", TimeLimit: time.Duration(rapid.IntRange(15, 60).Draw(rt, "limit_s")) * time.Second, Revision: 1}
		rate := rapid.Float64Range(10, 900).Draw(rt, "rate")
		burstAt := time.Duration(rapid.IntRange(2, 60).Draw(rt, "burst_s")) * time.Second
		targets, others, share := []float64{0}, []float64{0}, 0.0
		state := rollout.OrderRunning
		for at := time.Duration(0); at < o.TimeLimit; at += tick {
			known := max(0, len(targets)-1-reportLag)
			if state == rollout.OrderRunning {
				d := config.Advance(o, at, share, rollout.Tally{Sent: int(targets[known])}, rollout.Tally{Sent: int(others[known])},
					rollout.Conditions{CapacityRatio: 1, RequestRate: rate, Requests: targets[known] + others[known]})
				share, state = max(share, d.Share), d.State
			}
			now := rate * tick.Seconds()
			if at >= burstAt && at < burstAt+8*time.Second {
				now *= 1.2
			}
			targets = append(targets, targets[len(targets)-1]+now*share)
			others = append(others, others[len(others)-1]+now*(1-share))
		}
		got := targets[len(targets)-1]
		if allowed := config.ExposureShare*(got+others[len(others)-1]) + exposureExtra; got > allowed {
			rt.Errorf("%.0f requests went to the target until its deadline, allowed %.0f", got, allowed)
		}
	})
}

// TestShareIsConstantInTheFirstHalf guards against sessions that change their
// version in the first half of a roll-out because the share changes.
func TestShareIsConstantInTheFirstHalf(t *testing.T) {
	first := stageConfig.Advance(order, 0, 0, rollout.Tally{}, rollout.Tally{}, rollout.Conditions{CapacityRatio: 1})
	for at := time.Duration(0); at <= timeLimit/2; at += 50 * time.Millisecond {
		if d := stageConfig.Advance(order, at, first.Share, rollout.Tally{}, rollout.Tally{}, rollout.Conditions{CapacityRatio: 1}); d.Share != first.Share {
			t.Fatalf("share %v after %v, want the first stage's share", d.Share, at)
		}
	}
}

// TestShareIsLimitedByTargetCapacity guards against sending all traffic to the
// only endpoint of the target that has started.
func TestShareIsLimitedByTargetCapacity(t *testing.T) {
	d := stageConfig.Advance(order, timeLimit*9/10, 0.075, rollout.Tally{Good: 50}, rollout.Tally{Good: 500}, rollout.Conditions{CapacityRatio: 0.1})
	if d.Share > 0.1 || d.State != rollout.OrderRunning {
		t.Errorf("decision %+v with a tenth of the endpoints, want share at most 0.1 and state running", d)
	}
}

// TestBusyServicesBeginWithFewSessions guards against many sessions that change
// their version when the first stage of a busy service begins, and against a
// share that changes with the request rate in the first half.
func TestBusyServicesBeginWithFewSessions(t *testing.T) {
	busy := rollout.Conditions{CapacityRatio: 1, RequestRate: 500}
	first := stageConfig.Advance(order, 0, 0, rollout.Tally{}, rollout.Tally{}, busy)
	if first.Share > 0.01 || first.Share*busy.RequestRate < 1 {
		t.Errorf("first share %v at %v requests per second, want at most 0.01 and at least one request per second", first.Share, busy.RequestRate)
	}
	calm := rollout.Conditions{CapacityRatio: 1, RequestRate: 5}
	if d := stageConfig.Advance(order, timeLimit/3, first.Share, rollout.Tally{}, rollout.Tally{}, calm); d.Share != first.Share {
		t.Errorf("share changed from %v to %v when the request rate fell", first.Share, d.Share)
	}
}

// TestShareIsNotRaisedWhileTheTargetLooksWorse guards against a bad version that gets most
// requests, because the share rises on schedule, before there are enough answers to revert
// it. Its slow answers are the last to arrive.
func TestShareIsNotRaisedWhileTheTargetLooksWorse(t *testing.T) {
	o := rollout.Order{Service: "s", Target: "v2", TimeLimit: 15 * time.Second, Revision: 1}
	config := rollout.StageConfig{ExposureShare: 0.15, ExposureTolerance: exposureExtra}
	for _, c := range []struct {
		elapsed          time.Duration
		share, want      float64
		target, baseline rollout.Tally
	}{
		{9837 * time.Millisecond, 0.3, 0.3, rollout.Tally{Good: 9, Slow: 3}, rollout.Tally{Good: 226, Slow: 30}},
		{11336 * time.Millisecond, 0.6, 0.6, rollout.Tally{Good: 9, Slow: 5}, rollout.Tally{Good: 246, Slow: 31}},
		{14 * time.Second, 0.6, 0.6, rollout.Tally{Good: 9, Slow: 5}, rollout.Tally{Good: 246, Slow: 31}},
		{14 * time.Second, 0.6, 1, rollout.Tally{Good: 13, Slow: 1}, rollout.Tally{Good: 246, Slow: 31}},
		{14 * time.Second, 0.3, 1, rollout.Tally{Good: 25, Slow: 3}, rollout.Tally{Good: 246, Slow: 31}},
	} {
		d := config.Advance(o, c.elapsed, c.share, c.target, c.baseline, rollout.Conditions{CapacityRatio: 1, RequestRate: 37, Requests: 37 * c.elapsed.Seconds()})
		if d.State != rollout.OrderRunning || d.Share != c.want {
			t.Errorf("target %+v, baseline %+v: state %v, share %v, want running with share %v", c.target, c.baseline, d.State, d.Share, c.want)
		}
	}
}

// TestTargetWithFewSlowAnswersIsNotCompleted guards against a slow version that is declared
// done, because a service with few requests has too few slow answers to be sure of it.
func TestTargetWithFewSlowAnswersIsNotCompleted(t *testing.T) {
	o := rollout.Order{Service: "s", Target: "v2", TimeLimit: 15 * time.Second, Revision: 1}
	config := rollout.StageConfig{ExposureShare: 0.15, ExposureTolerance: exposureExtra}
	baseline := rollout.Tally{Good: 179, Bad: 42}
	d := config.Advance(o, 14200*time.Millisecond, 1, rollout.Tally{Good: 15, Bad: 4, Slow: 3}, baseline, rollout.Conditions{CapacityRatio: 1, RequestRate: 18})
	if d.State != rollout.OrderReverted {
		t.Errorf("3 of 22 answers slow, none of 221 of the baseline: %v, want reverted", d.State)
	}
	d = config.Advance(o, 14200*time.Millisecond, 1, rollout.Tally{Good: 20, Bad: 4, Slow: 1}, baseline, rollout.Conditions{CapacityRatio: 1, RequestRate: 18})
	if d.State != rollout.OrderDone {
		t.Errorf("one of 25 answers slow: %v, want done", d.State)
	}
}

// TestDoubtfulTargetIsNotCompleted guards against a bad version that is declared done, because
// it has had too few answers by its deadline to be sure of what they suggest.
func TestDoubtfulTargetIsNotCompleted(t *testing.T) {
	o := rollout.Order{Service: "s", Target: "v2", TimeLimit: 15 * time.Second, Revision: 1}
	config := rollout.StageConfig{ExposureShare: 0.15, ExposureTolerance: exposureExtra}
	target, baseline := rollout.Tally{Good: 14, Bad: 3, Slow: 3}, rollout.Tally{Good: 322, Bad: 37, Slow: 11}
	d := config.Advance(o, 14500*time.Millisecond, 1, target, baseline, rollout.Conditions{CapacityRatio: 1, RequestRate: 27})
	if d.State != rollout.OrderReverted {
		t.Errorf("6 of 20 answers bad or slow, 48 of 370 of the other versions: %v, want reverted", d.State)
	}
}
