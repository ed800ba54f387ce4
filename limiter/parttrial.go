package limiter

import (
	"slices"
	"time"
)

const (
	// maxPartTrials is the number of requests in all that are let through with a
	// rejected part. Each may crash an endpoint.
	maxPartTrials = 2
	// trialDelay is the time after a rejection in which the hosts exchange what they
	// know of it, and trialTimeout the time after which a trial without a result is
	// over.
	trialDelay   = time.Second
	trialTimeout = 3 * time.Second
	// minSharedCrashes is the number of crashes of a rejected part from which on another
	// part that was on them too may be the real cause.
	minSharedCrashes = 2
)

// mayTry reports whether a request may run although it has all parts of a rejected
// group. If another part may be the real cause, a sound part that many requests share
// would otherwise be rejected for good: no answer would be left to clear it. The request
// must have none of those other parts.
func (g *PartGuard) mayTry(group partGroup, parts []Hash) bool {
	// Tries must not run under the lock: it may ask a component that calls this one.
	if g.Tries == nil || !g.Tries() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if now.Sub(group.since) < trialDelay {
		return false
	}
	for _, part := range group.parts {
		if s := g.suspects[part]; s == nil || s.trials >= maxPartTrials || now.Sub(s.lastTrial) < trialTimeout {
			return false
		}
	}
	others := g.otherCauses(group, now)
	return len(others) > 0 && !slices.ContainsFunc(others, func(part Hash) bool { return slices.Contains(parts, part) })
}

// otherCauses returns the parts outside of a rejected group that are most likely the
// cause of its crashes instead: those on the most of them. Parts that were ever proven are
// not. The caller holds the lock.
func (g *PartGuard) otherCauses(group partGroup, now time.Time) []Hash {
	crashes := g.countedCrashes(g.suspects[group.parts[0]])
	var others []Hash
	most := minSharedCrashes
	for part, s := range g.suspects {
		if slices.Contains(group.parts, part) || s.isProven(now) {
			continue
		}
		n := commonCrashes(g.countedCrashes(s), crashes)
		if n > most {
			most, others = n, nil
		}
		if n == most {
			others = append(others, part)
		}
	}
	return others
}

// countTrials counts a run that has all parts of a rejected group. The caller holds the
// lock.
func (g *PartGuard) countTrials(parts []Hash, now time.Time) {
	for _, group := range *g.rejected.Load() {
		if !group.in(parts) {
			continue
		}
		g.logger.Info("prompt part tried", "parts", group.parts)
		for _, part := range group.parts {
			if s := g.suspects[part]; s != nil {
				s.trials++
				s.lastTrial, s.updated = now, now
			}
		}
		g.report()
	}
}
