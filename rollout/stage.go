package rollout

import (
	"math"
	"time"
)

// Tally counts the answers of one version since the order of a roll-out.
type Tally struct {
	Good int `json:"g"`
	Bad  int `json:"b"`
}

// Add returns the sum of two tallies.
func (t Tally) Add(o Tally) Tally { return Tally{t.Good + o.Good, t.Bad + o.Bad} }

func (t Tally) total() int { return t.Good + t.Bad }

func (t Tally) badRate() float64 {
	if t.total() == 0 {
		return 0
	}
	return float64(t.Bad) / float64(t.total())
}

// StageConfig bounds a staged roll-out.
type StageConfig struct {
	// ExposureShare is the part of the service's requests that a bad version may
	// get.
	ExposureShare float64
	// SessionTTL is the time after an answer in which its session goes on. A
	// session keeps its version in the first half of a roll-out.
	SessionTTL time.Duration
}

// Stage is a share of the traffic and the part of the order's time at which it begins.
type Stage struct {
	From  float64
	Share float64
}

// canaryPart is the part of the exposure bound that the first stage uses, so
// that the later ones can find what shows only under load.
const canaryPart = 0.5

// canaryRate is the number of requests a second with which the first stage
// finds a bad version. In a busy service it takes a small share, so that hosts
// can tell each other of the sessions under way in it.
const canaryRate = 2.5

// MaxCanaryShare is the largest share of the first stage.
func (c StageConfig) MaxCanaryShare() float64 { return canaryPart * min(c.ExposureShare, 1) }

// canaryFrom is the part of an order's time at which requests of the first stage
// begin. Until then the hosts tell each other of the sessions under way.
const canaryFrom = 0.08

// CanaryStarted reports whether the first stage may take sessions.
func (c StageConfig) CanaryStarted(o Order, elapsed time.Duration) bool {
	return elapsed.Seconds() >= canaryFrom*o.TimeLimit.Seconds()
}

// stages returns the steps of a roll-out of a service that gets so many requests
// a second. Sessions stay on their version in its first half, so the share stays
// the same there.
func (c StageConfig) stages(rate float64) []Stage {
	canary := c.MaxCanaryShare()
	if rate > 0 {
		canary = min(canary, canaryRate/rate)
	}
	return []Stage{
		{From: 0, Share: canary},
		{From: 0.55, Share: 0.3},
		{From: 0.65, Share: 0.6},
		{From: 0.74, Share: 1},
	}
}

// doneFrom is the part of the order's time at which a good version is declared
// done. What is left covers a store that answers late.
const doneFrom = 0.86

// Conditions is what a roll-out finds.
type Conditions struct {
	// CapacityRatio is the number of endpoints of the target relative to those of the
	// other versions.
	CapacityRatio float64
	// RequestRate is the number of requests a second for the service, zero if unknown.
	RequestRate float64
}

// Decision is what the coordinator of a roll-out does next.
type Decision struct {
	State OrderState
	// Share is the part of the traffic that the target gets.
	Share float64
	// Reason says what decided.
	Reason string
}

// minBad is the number of bad answers below which no version is reverted.
const minBad = 4

// worse decides whether the target's answers are worse than the other
// versions': the lower confidence bound of its bad rate lies above theirs.
func worse(target, base Tally) bool {
	if target.Bad < minBad {
		return false
	}
	reference := (float64(base.Bad) + 1) / (float64(base.total()) + 2)
	return lowerBound(target) > reference*badRatio+badMargin
}

const (
	// badRatio and badMargin are how much worse than the others a version must be.
	badRatio  = 1.3
	badMargin = 0.05
	// boundZ is the normal quantile of the confidence bound, about one false
	// alarm in a hundred looks.
	boundZ = 2.3
)

// lowerBound is the Wilson lower bound of the bad rate.
func lowerBound(t Tally) float64 {
	n := float64(t.total())
	p := t.badRate()
	z2 := boundZ * boundZ
	centre := p + z2/(2*n)
	spread := boundZ * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return (centre - spread) / (1 + z2/n)
}

// Advance decides the next step of an order from the time since it was given,
// the share in force, the evidence of all hosts and the situation of the service.
func (c StageConfig) Advance(o Order, elapsed time.Duration, share float64, target, base Tally, s Conditions) Decision {
	if worse(target, base) {
		return Decision{State: OrderReverted, Reason: "target is worse"}
	}
	at := 1.0
	if o.TimeLimit > 0 {
		at = elapsed.Seconds() / o.TimeLimit.Seconds()
	}
	next := Decision{State: OrderRunning, Share: share, Reason: "stage"}
	for _, stage := range c.stages(s.RequestRate) {
		begun := at >= stage.From && (stage.From > 0 || share == 0)
		if begun && stage.Share > next.Share && s.CapacityRatio >= min(stage.Share, minCapacity) {
			next.Share = stage.Share
		}
	}
	if at >= doneFrom && share >= 1 {
		next.State, next.Reason = OrderDone, "target is as good"
	}
	return next
}

// minCapacity is the number of target endpoints, relative to the others, that
// may take all traffic.
const minCapacity = 0.5
