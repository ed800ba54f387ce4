package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/rollout"
)

const (
	within = 24 * time.Second
	// exposureExtra is the number of requests that a bad version may get beside
	// its share.
	exposureExtra = 30
)

var (
	stageConfig = rollout.StageConfig{ExposureShare: 0.15}
	order       = rollout.Order{Service: "s", Target: "v2", TimeLimit: within, Revision: 1}
)

// drive plays a roll-out with a request rate and a bad rate of the target, and
// returns the requests that the target got, all requests, and how it ended.
func drive(rng *rand.Rand, perSecond, badTarget, badBase float64, badFrom time.Duration) (exposed, total int, end rollout.OrderState, at time.Duration) {
	const tick = 100 * time.Millisecond
	share := 0.0
	var target, base rollout.Tally
	for at = 0; at <= within; at += tick {
		d := stageConfig.Advance(order, at, share, target, base, rollout.Conditions{CapacityRatio: 1, RequestRate: perSecond})
		if d.State != rollout.OrderRunning {
			return exposed, total, d.State, at
		}
		share = d.Share
		for range int(perSecond * tick.Seconds()) {
			total++
			if rng.Float64() >= share {
				base = base.Add(outcome(rng, badBase))
				continue
			}
			exposed++
			bad := badBase
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
// gets more requests than the stated share and the extra, from the first
// request or when it turns bad later.
func TestBadVersionsAreRevertedWithinTheExposure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		badFrom := time.Duration(rapid.IntRange(0, 8).Draw(rt, "from_s")) * time.Second
		exposed, _, end, _ := drive(rng, 30, 0.4, 0.02, badFrom)
		all := 30 * within.Seconds()
		if end != rollout.OrderReverted || float64(exposed) > stageConfig.ExposureShare*all+exposureExtra {
			rt.Fatalf("%v after %d of %.0f requests", end, exposed, all)
		}
	})
}

// TestGoodVersionsAreDoneInTime guards against good versions that are reverted
// by chance or not done by the deadline.
func TestGoodVersionsAreDoneInTime(t *testing.T) {
	const trials = 400
	failed := 0
	for seed := range uint64(trials) {
		_, _, end, at := drive(rand.New(rand.NewPCG(seed, 2)), 30, 0.05, 0.05, 0)
		if end != rollout.OrderDone || at > within {
			failed++
		}
	}
	if failed > trials/50 {
		t.Errorf("%d of %d good versions not done", failed, trials)
	}
}

// TestShareIsConstantInTheFirstHalf guards against sessions that change their
// version in the first half of a roll-out.
func TestShareIsConstantInTheFirstHalf(t *testing.T) {
	first := stageConfig.Advance(order, 0, 0, rollout.Tally{}, rollout.Tally{}, rollout.Conditions{CapacityRatio: 1})
	for at := time.Duration(0); at <= within/2; at += 50 * time.Millisecond {
		if d := stageConfig.Advance(order, at, first.Share, rollout.Tally{}, rollout.Tally{}, rollout.Conditions{CapacityRatio: 1}); d.Share != first.Share {
			t.Fatalf("share %v after %v", d.Share, at)
		}
	}
}

// TestFewTargetsGetLittle guards against all traffic on the one endpoint of the
// target that has started.
func TestFewTargetsGetLittle(t *testing.T) {
	d := stageConfig.Advance(order, within*9/10, 0.075, rollout.Tally{Good: 50}, rollout.Tally{Good: 500}, rollout.Conditions{CapacityRatio: 0.1})
	if d.Share > 0.1 || d.State != rollout.OrderRunning {
		t.Errorf("%+v with a tenth of the endpoints", d)
	}
}

// TestBusyServicesBeginWithFewSessions guards against many sessions that change
// their version when the first stage of a busy service begins, and against a
// share that moves with the rate in the first half.
func TestBusyServicesBeginWithFewSessions(t *testing.T) {
	busy := rollout.Conditions{CapacityRatio: 1, RequestRate: 500}
	first := stageConfig.Advance(order, 0, 0, rollout.Tally{}, rollout.Tally{}, busy)
	if first.Share > 0.01 || first.Share*busy.RequestRate < 1 {
		t.Errorf("share %v of %v requests a second", first.Share, busy.RequestRate)
	}
	calm := rollout.Conditions{CapacityRatio: 1, RequestRate: 5}
	if d := stageConfig.Advance(order, within/3, first.Share, rollout.Tally{}, rollout.Tally{}, calm); d.Share != first.Share {
		t.Errorf("share went from %v to %v", first.Share, d.Share)
	}
}
