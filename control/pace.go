package control

import (
	"slices"
	"time"

	"github.com/corianderlever/corianderlever/rollout"
)

const (
	// slowFactor is the multiple of the usual time above which an answer is slow.
	slowFactor = 3
	// minSlowTime is the time up to which no answer is slow. It is also added to
	// the expected time, for delays that the estimate leaves out.
	minSlowTime = 150 * time.Millisecond
	// baselineGain is the weight of one answer in the moving average.
	baselineGain = 0.02
	// minBaselineSamples is the number of answers before any answer is called slow.
	minBaselineSamples = 20
	// slowPaceFactor is the multiple of the usual time between events above which an
	// answer is slow.
	slowPaceFactor = 2.5
	// maxRecent is the number of recent answers by which a usual time is known, and
	// minRecent the number from which it is.
	maxRecent = 64
	minRecent = 12
	// jitter is the time by which the network and a busy host may delay an answer. It
	// is added to the usual time of short answers.
	jitter = 10 * time.Millisecond
)

// latencyBaseline detects answers that take several times as long as usual, where their
// time is estimated from the load and the size of the request. It keeps an exponentially
// weighted moving average of the time relative to the expected time, over the versions
// that are not the target of a roll-out.
type latencyBaseline struct {
	mean    float64
	samples int
}

func newLatencyBaseline() *latencyBaseline { return &latencyBaseline{} }

// relativeLatency returns the time of an answer as a multiple of the expected time.
func relativeLatency(o rollout.Observation) float64 {
	return o.Latency.Seconds() / (o.ExpectedLatency + minSlowTime).Seconds()
}

func (b *latencyBaseline) observe(o rollout.Observation) {
	if o.ExpectedLatency == 0 {
		return
	}
	b.samples++
	gain := max(baselineGain, 1/float64(b.samples))
	b.mean += gain * (relativeLatency(o) - b.mean)
}

// slow reports whether an answer took more than slowFactor times the usual time.
func (b *latencyBaseline) slow(o rollout.Observation) bool {
	return b.samples >= minBaselineSamples && o.ExpectedLatency > 0 && o.Latency > minSlowTime && relativeLatency(o) > slowFactor*b.mean
}

// recentTimes holds a time of each of the last answers of one kind.
type recentTimes struct {
	times []time.Duration
	next  int // the oldest, once there are maxRecent
}

func (r *recentTimes) add(d time.Duration) {
	if len(r.times) < maxRecent {
		r.times = append(r.times, d)
		return
	}
	r.times[r.next] = d
	r.next = (r.next + 1) % maxRecent
}

// median returns the usual time, or false if there are too few answers to know it.
func (r *recentTimes) median() (time.Duration, bool) {
	if r == nil || len(r.times) < minRecent {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(r.times))
	return sorted[len(sorted)/2], true
}

// kindTimes holds the recent times of each kind of answer.
type kindTimes map[string]*recentTimes

func (k kindTimes) add(kind string, d time.Duration) {
	if k[kind] == nil {
		k[kind] = &recentTimes{}
	}
	k[kind].add(d)
}

// routeBaseline detects answers that take several times as long as usual at services
// whose time to an answer is not estimated, such as plain ones. The usual time is the
// median over the last answers on the same route by versions that are not the target of
// a roll-out; on a route with few answers, over those on all routes.
type routeBaseline struct {
	byRoute kindTimes
	all     recentTimes
}

func newRouteBaseline() *routeBaseline { return &routeBaseline{byRoute: make(kindTimes)} }

func (b *routeBaseline) observe(o rollout.Observation) {
	if o.ExpectedLatency > 0 {
		return
	}
	b.byRoute.add(o.Route, o.Latency)
	b.all.add(o.Latency)
}

// slow reports whether an answer took more than slowFactor times the usual time.
func (b *routeBaseline) slow(o rollout.Observation) bool {
	usual, ok := b.byRoute[o.Route].median()
	if !ok {
		usual, ok = b.all.median()
	}
	return ok && o.ExpectedLatency == 0 && o.Latency > slowFactor*usual+jitter
}

// paceBaseline detects answers whose events come several times as slowly as usual. The
// usual time is the median over the last answers of the same model by versions that are
// not the target of a roll-out.
type paceBaseline struct {
	byModel kindTimes
}

func newPaceBaseline() *paceBaseline { return &paceBaseline{byModel: make(kindTimes)} }

func (b *paceBaseline) observe(o rollout.Observation) {
	if o.EventGap > 0 {
		b.byModel.add(o.Model, o.EventGap)
	}
}

// slow reports whether the events of an answer came more slowly than slowPaceFactor
// times the usual.
func (b *paceBaseline) slow(o rollout.Observation) bool {
	usual, ok := b.byModel[o.Model].median()
	return ok && float64(o.EventGap) > slowPaceFactor*float64(usual)
}
