package limiter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// partCrashLimit is the number of separate crashes that a part without a proof
	// explains; maxPartCrashesAtOnce is the number that it explains however close
	// they are. Endpoints that share a fault of their own fail together.
	partCrashLimit       = 3
	maxPartCrashesAtOnce = 5
	separateCrashes      = 100 * time.Millisecond
	// provenCrashLimit is the number of separate crashes since its last proof that a
	// part explains which was sound before.
	provenCrashLimit      = 6
	separateProvenCrashes = 400 * time.Millisecond
)

// partGroup is a set of parts of which one or more crash endpoints. Nearly always it
// has one part. Parts with the same crashes cannot be told apart, so only
// requests with all of them are rejected: requests with one of them go on and clear it,
// or crash and confirm it.
type partGroup struct {
	parts   []Hash
	crashes int
	since   time.Time // when this host began to reject it
}

func findGroup(groups []partGroup, parts []Hash) (partGroup, bool) {
	i := slices.IndexFunc(groups, func(o partGroup) bool { return slices.Equal(o.parts, parts) })
	if i < 0 {
		return partGroup{}, false
	}
	return groups[i], true
}

func (p partGroup) in(parts []Hash) bool {
	return !slices.ContainsFunc(p.parts, func(h Hash) bool { return !slices.Contains(parts, h) })
}

// candidate is a part with the crashes that no other part explains.
type candidate struct {
	part    Hash
	proven  bool
	crashes []partCrash // sorted by time
	full    bool        // whether older crashes were dropped
	evidence
}

// explains reports whether the part must be taken for the cause of its crashes.
func (c *candidate) explains() bool { return c.enough(c.evidence) }

// mayExplain reports whether it would if all of its crashes counted.
func (c *candidate) mayExplain() bool {
	return c.enough(evidence{counted: c.crashes, settled: c.crashes})
}

func (c *candidate) enough(e evidence) bool {
	if c.proven {
		return countSeparate(e.counted, separateProvenCrashes) >= provenCrashLimit
	}
	return len(e.counted) >= maxPartCrashesAtOnce || countSeparate(e.settled, separateCrashes) >= partCrashLimit
}

// countSeparate counts the crashes that are at least a distance apart.
func countSeparate(crashes []partCrash, distance time.Duration) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.at.Sub(last) >= distance {
			n++
			last = c.at
		}
	}
	return n
}

// evaluate determines the rejected parts. It reports whether others are rejected than
// before. The caller holds the lock.
func (g *PartGuard) evaluate(now time.Time) bool {
	groups := g.findGroups(now)
	previous, changed := *g.rejected.Load(), false
	for i, group := range groups {
		if old, ok := findGroup(previous, group.parts); ok {
			groups[i].since = old.since
			continue
		}
		changed = true
		g.logger.Warn("prompt part rejected", "parts", group.parts, "crashes", group.crashes, "suspects", len(g.suspects))
	}
	for _, group := range previous {
		if _, ok := findGroup(groups, group.parts); !ok {
			changed = true
			g.logger.Warn("prompt part no longer rejected", "parts", group.parts)
		}
	}
	g.rejected.Store(&groups)
	if g.checkWave(now) || changed {
		g.revision.Add(1)
	}
	return changed
}

// findGroups returns the parts that explain crashes, those with the most first.
func (g *PartGuard) findGroups(now time.Time) []partGroup {
	candidates := g.candidates(now)
	if len(candidates) == 0 {
		g.reviewAt.Store(nil)
		return nil
	}
	var groups []partGroup
	log := g.newCrashLog(now)
	for {
		log.weigh(candidates)
		group := strongest(candidates)
		if group == nil {
			break
		}
		groups = append(groups, partGroup{parts: partsOf(group), crashes: len(group[0].crashes), since: now})
		explained := group[0].crashes
		log.explain(explained)
		candidates = withoutCrashes(candidates, explained)
	}
	at := log.reviewAt(candidates)
	g.reviewAt.Store(&at)
	return groups
}

// weigh determines the crashes that count against each candidate.
func (l *crashLog) weigh(candidates []candidate) {
	for i := range candidates {
		c := &candidates[i]
		c.evidence = l.evidenceOf(c)
	}
}

// Review determines the rejected parts again if all crashes of a moment have become known
// since. It reports whether other parts are rejected than before.
func (g *PartGuard) Review() bool {
	now := g.clock.Now()
	if at := g.reviewAt.Load(); at == nil || at.IsZero() || now.Before(*at) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evaluate(now)
}

// candidates returns the parts that would explain their crashes if all of them counted.
func (g *PartGuard) candidates(now time.Time) []candidate {
	var out []candidate
	for part, s := range g.suspects {
		if len(s.crashes) < partCrashLimit {
			continue // nearly all parts, so this is checked before the crashes are copied
		}
		c := candidate{part: part, proven: s.isProven(now), crashes: g.countedCrashes(s), full: len(s.crashes) == maxPartCrashes}
		if c.mayExplain() {
			out = append(out, c)
		}
	}
	return out
}

// countedCrashes returns the crashes of a part since its last proof that no answer
// disproves.
func (g *PartGuard) countedCrashes(s *partSuspect) []partCrash {
	return slices.DeleteFunc(g.crashesSinceProof(s), g.disproved)
}

// crashesSinceProof returns the crashes of a part since its last proof, with what was
// reported of them for any part, sorted by time.
func (g *PartGuard) crashesSinceProof(s *partSuspect) []partCrash {
	var out []partCrash
	for _, c := range s.crashes {
		if c = g.known(c); c.at.After(s.provenAt) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, partCrash.compare)
	return out
}

// disproved reports whether the endpoint has answered after its presumed crash and
// cannot have restarted meanwhile. A host that is cut off from an endpoint reports a
// crash that never was.
func (g *PartGuard) disproved(c partCrash) bool {
	sent, ok := g.answered.Peek(c.endpoint)
	if !ok || !sent.After(c.at) {
		return false
	}
	after := sent.Sub(c.at)
	return after < minRestartTime || after > maxRestartTime
}

// strongest returns the candidates with the most crashes that count, those without a
// proof first. It returns several if their crashes are the same, and nil if none
// explains its crashes.
func strongest(candidates []candidate) []candidate {
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		if c.explains() && (best == nil || c.stronger(best)) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	group := []candidate{*best}
	for _, c := range candidates {
		if c.part != best.part && c.sameCrashes(best) {
			group = append(group, c)
		}
	}
	return group
}

func (c *candidate) stronger(o *candidate) bool {
	if c.proven != o.proven {
		return o.proven
	}
	return cmp.Or(cmp.Compare(len(o.counted), len(c.counted)), cmp.Compare(len(o.crashes), len(c.crashes)), cmp.Compare(c.part, o.part)) < 0
}

// sameCrashes reports whether two parts were on the same crashes.
func (c *candidate) sameCrashes(o *candidate) bool {
	return c.proven == o.proven && len(c.crashes) == len(o.crashes) && commonCrashes(c.crashes, o.crashes) == len(o.crashes)
}

func commonCrashes(a, b []partCrash) int {
	n := 0
	for _, crash := range a {
		if slices.ContainsFunc(b, crash.sameEvent) {
			n++
		}
	}
	return n
}

func partsOf(group []candidate) []Hash {
	var parts []Hash
	for _, c := range group {
		parts = append(parts, c.part)
	}
	slices.Sort(parts)
	return parts
}

// withoutCrashes removes explained crashes, and the candidates that keep too few.
func withoutCrashes(candidates []candidate, explained []partCrash) []candidate {
	var out []candidate
	for _, c := range candidates {
		c.crashes = slices.DeleteFunc(slices.Clone(c.crashes), func(crash partCrash) bool { return slices.ContainsFunc(explained, crash.sameEvent) })
		if c.mayExplain() {
			out = append(out, c)
		}
	}
	return out
}
