package drain

import (
	"math"
	"slices"
	"time"
)

// idleLimit is how long a connection may be unused. A change to a longer limit holds at once.
// A connection keeps the longest limit that was in force since its last answer, because its
// caller may still reckon with that one.
type idleLimit struct {
	current time.Duration // zero: no limit
	// replaced are the longer limits that were in force before, oldest and longest first.
	replaced []replacedLimit
}

type replacedLimit struct {
	limit time.Duration
	until time.Time
}

// set makes a limit the one in force.
func (l *idleLimit) set(limit time.Duration, now time.Time) {
	if l.current > 0 && limit != l.current {
		l.replaced = append(l.replaced, replacedLimit{limit: l.current, until: now})
	}
	l.current = limit
	l.replaced = slices.DeleteFunc(l.replaced, func(r replacedLimit) bool {
		return limit == 0 || r.limit <= limit || now.Sub(r.until) > r.limit
	})
	// A limit that a longer one has followed has no effect any more.
	kept := l.replaced[:0]
	for _, r := range l.replaced {
		for len(kept) > 0 && kept[len(kept)-1].limit <= r.limit {
			kept = kept[:len(kept)-1]
		}
		kept = append(kept, r)
	}
	l.replaced = kept
}

// since returns the limit of a connection that has been unused since a time.
func (l *idleLimit) since(t time.Time) time.Duration {
	if l.current == 0 {
		return math.MaxInt64
	}
	for _, r := range l.replaced {
		if t.Before(r.until) {
			return r.limit
		}
	}
	return l.current
}
