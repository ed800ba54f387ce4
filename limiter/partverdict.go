package limiter

import (
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
	crashes []partCrash
}

// explains reports whether the part must be taken for the cause of its crashes.
func (c *candidate) explains() bool {
	if c.proven {
		return countSeparate(c.crashes, separateProvenCrashes) >= provenCrashLimit
	}
	return len(c.crashes) >= maxPartCrashesAtOnce || countSeparate(c.crashes, separateCrashes) >= partCrashLimit
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
	candidates := g.candidates(now)
	var groups []partGroup
	for {
		group := strongest(candidates)
		if group == nil {
			break
		}
		groups = append(groups, partGroup{parts: partsOf(group), crashes: len(group[0].crashes), since: now})
		candidates = withoutCrashes(candidates, group[0].crashes)
	}
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
	if changed {
		g.revision.Add(1)
	}
	return changed
}

// candidates returns the parts that explain their crashes. Another one cannot do so later,
// when crashes that others explain are removed.
func (g *PartGuard) candidates(now time.Time) []candidate {
	var out []candidate
	for part, s := range g.suspects {
		if len(s.crashes) < partCrashLimit {
			continue // nearly all parts, so this is checked before the crashes are copied
		}
		c := candidate{part: part, proven: s.isProven(now), crashes: g.countedCrashes(s)}
		if c.explains() {
			out = append(out, c)
		}
	}
	return out
}

// countedCrashes returns the crashes of a part that count.
func (g *PartGuard) countedCrashes(s *partSuspect) []partCrash {
	var out []partCrash
	for _, crash := range s.crashes {
		if crash.at.After(s.provenAt) && !g.disproved(crash) {
			out = append(out, crash)
		}
	}
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

// strongest returns the candidates that explain the most crashes, those without a
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
	if len(c.crashes) != len(o.crashes) {
		return len(c.crashes) > len(o.crashes)
	}
	return c.part < o.part
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

// withoutCrashes removes explained crashes, and the candidates that keep none.
func withoutCrashes(candidates []candidate, explained []partCrash) []candidate {
	var out []candidate
	for _, c := range candidates {
		c.crashes = slices.DeleteFunc(slices.Clone(c.crashes), func(crash partCrash) bool { return slices.ContainsFunc(explained, crash.sameEvent) })
		if len(c.crashes) > 0 {
			out = append(out, c)
		}
	}
	return out
}
