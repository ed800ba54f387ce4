package relay

import (
	"slices"
	"time"

	"github.com/corianderlever/corianderlever/rollout"
)

const (
	// paceEvents is the number of gaps between events, and paceTime the time, after which
	// the pace of an answer is judged, so that a slow version is noticed while its answers
	// are under way.
	paceEvents = 24
	paceTime   = 2 * time.Second
	// minPaceEvents is the number of gaps below which an answer that has ended says
	// nothing about the pace.
	minPaceEvents = 3
	// paceQuantile is the part of the gaps that counts as undisturbed. A slow engine
	// delays all gaps, prompts that it reads for other requests delay some, under load
	// most.
	paceQuantile = 1.0 / 6
)

// eventPace collects the first times between two events of an answer.
type eventPace struct {
	gaps  []time.Duration
	total time.Duration
}

func (p *eventPace) add(gap time.Duration) {
	if !p.complete() {
		p.gaps = append(p.gaps, gap)
		p.total += gap
	}
}

func (p *eventPace) complete() bool {
	return len(p.gaps) == paceEvents || len(p.gaps) >= minPaceEvents && p.total >= paceTime
}

// undisturbed returns the gap at paceQuantile; zero for too few gaps.
func (p *eventPace) undisturbed() time.Duration {
	if len(p.gaps) < minPaceEvents {
		return 0
	}
	sorted := slices.Sorted(slices.Values(p.gaps))
	return sorted[int(paceQuantile*float64(len(sorted)))]
}

// observePace records the time to the first event and the pace of an answer for its
// version's roll-out, once for each attempt. The time since the last event counts too,
// for answers that end while the caller waits for the next one.
func (j *job) observePace(sl *slot, first, last time.Time, pace *eventPace) {
	if sl.observed || first.IsZero() {
		return
	}
	pace.add(j.relay.Clock.Since(last))
	j.observeOutcome(sl, rollout.Observation{Latency: first.Sub(sl.started), EventGap: pace.undisturbed()})
}
