package limiter

import (
	"slices"
	"time"
)

const (
	// crashMoment is the greatest distance between crashes that may have one cause.
	// Hosts notice the crashes of one moment at different times.
	crashMoment = 400 * time.Millisecond
	// momentSettled is the age from which all crashes of the moment are known.
	momentSettled = 500 * time.Millisecond
)

// crashLog holds all known crashes, sorted by time, apart from those that a rejected part
// explains. Crashes on which a part was not show that a moment had another cause.
type crashLog struct {
	open, explained []partCrash
	now             time.Time
}

// newCrashLog returns the log of all known crashes. The caller holds the lock.
func (g *PartGuard) newCrashLog(now time.Time) *crashLog {
	l := &crashLog{now: now}
	for _, c := range g.lastCrash.Values() {
		if now.Sub(c.at) < CrashMarkTTL && !g.disproved(c) {
			l.open = append(l.open, c)
		}
	}
	slices.SortFunc(l.open, partCrash.compare)
	g.countAround(l)
	return l
}

// countAround keeps the number of crashes around each one that other hosts may be told of.
func (g *PartGuard) countAround(l *crashLog) {
	for i, c := range l.open {
		if l.now.Sub(c.at) > recentPartMarks {
			continue
		}
		l.open[i].around = l.around(c)
		g.noteCrash(l.open[i])
	}
}

// explain takes out crashes that a rejected part explains.
func (l *crashLog) explain(crashes []partCrash) {
	l.open = slices.DeleteFunc(l.open, func(c partCrash) bool { return slices.ContainsFunc(crashes, c.sameEvent) })
	l.explained = append(l.explained, crashes...)
	slices.SortFunc(l.explained, partCrash.compare)
}

// around returns the number of crashes in the moment of one, itself included, as far as
// this host or another one knows of them.
func (l *crashLog) around(c partCrash) int {
	from, to := c.span()
	return max(countBetween(l.open, from, to), c.around-countBetween(l.explained, from, to))
}

// span returns the time in which crashes may have the same cause as this one.
func (c partCrash) span() (from, to time.Time) {
	return c.at.Add(-crashMoment), c.at.Add(crashMoment)
}

// countBetween counts the crashes from one time to another. They are sorted by time.
func countBetween(crashes []partCrash, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(crashes, from, partCrash.compareTime)
	end, _ := slices.BinarySearchFunc(crashes, to.Add(1), partCrash.compareTime)
	return max(0, end-first)
}

const (
	// waveCrashes is the number of crashes within waveTime of which all hosts must know,
	// because few of them notice more than one. They are told again when it has grown by
	// waveGrowth.
	waveCrashes = 8
	waveTime    = time.Second
	waveGrowth  = 4
)

// checkWave reports whether so many endpoints have crashed lately that the other hosts must
// know of it. The caller holds the lock.
func (g *PartGuard) checkWave(now time.Time) bool {
	n := 0
	for _, c := range g.lastCrash.Values() {
		if now.Sub(c.at) <= waveTime {
			n++
		}
	}
	if n < waveCrashes {
		g.waveTold = 0
		return false
	}
	if n < waveGrowth*g.waveTold {
		return false
	}
	g.waveTold = n
	return true
}

// moment is how a part relates to the crashes around one of its own.
type moment int

const (
	// momentExplained: the part was on at least half of the crashes.
	momentExplained moment = iota
	// momentUnclear: the same, but more crashes may become known.
	momentUnclear
	// momentDoubtful: the part was on less than half of the crashes.
	momentDoubtful
	// momentOfOthers: nearly all crashes have another cause.
	momentOfOthers
)

const (
	// explainedShare is the least number of crashes of a part among a number of crashes
	// that it explains, doubtfulShare the least at which one crash still counts.
	explainedShare = 1.0 / 2
	doubtfulShare  = 1.0 / 8
)

// momentOf returns how a part relates to the crashes around one of its own.
func (l *crashLog) momentOf(crash partCrash, c *candidate) moment {
	from, to := crash.span()
	all := l.around(crash)
	if oldest := c.crashes[0].at; c.full && oldest.After(from) {
		from = oldest
		all = countBetween(l.open, from, to)
	}
	own := countBetween(c.crashes, from, to)
	switch share := float64(own) / float64(all); {
	case share < doubtfulShare:
		return momentOfOthers
	case share < explainedShare:
		return momentDoubtful
	case own < all && !l.settled(crash):
		return momentUnclear
	default:
		return momentExplained
	}
}

// settled reports whether all crashes around one are known.
func (l *crashLog) settled(c partCrash) bool { return l.now.Sub(c.at) >= momentSettled }

// evidence is what counts against a part.
type evidence struct {
	// counted are the crashes that count, settled those of them around which no more
	// become known.
	counted, settled []partCrash
}

// evidenceOf returns the crashes that count against a part. Of those in doubtful moments
// only the first one does.
func (l *crashLog) evidenceOf(c *candidate) evidence {
	var e evidence
	doubtful := false
	for _, crash := range c.crashes {
		switch l.momentOf(crash, c) {
		case momentOfOthers:
			continue
		case momentUnclear, momentDoubtful:
			if doubtful {
				continue
			}
			doubtful = true
		case momentExplained:
		}
		e.counted = append(e.counted, crash)
		if l.settled(crash) {
			e.settled = append(e.settled, crash)
		}
	}
	return e
}

// reviewAt returns when the evidence against candidates may change without a further
// report; zero for never.
func (l *crashLog) reviewAt(candidates []candidate) time.Time {
	var at time.Time
	for _, c := range candidates {
		for _, crash := range c.crashes {
			settled := crash.at.Add(momentSettled)
			if settled.After(l.now) && (at.IsZero() || settled.Before(at)) {
				at = settled
			}
		}
	}
	return at
}
