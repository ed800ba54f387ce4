package drain

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestIdleLimitIsTheLongestSinceTheLastAnswer guards against a connection that is closed
// earlier than its caller could know, or that is kept beyond all limits.
func TestIdleLimitIsTheLongestSinceTheLastAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type change struct {
			at    time.Time
			limit time.Duration
		}
		var l idleLimit
		var changes []change
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			c := change{at: now, limit: time.Duration(rapid.IntRange(1, 60).Draw(t, "limit")) * time.Second}
			changes = append(changes, c)
			l.set(c.limit, now)
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "pause")) * time.Second)
		}
		idle := time.Duration(rapid.IntRange(0, 300).Draw(t, "idle")) * time.Second
		since := now.Add(-idle)
		var want time.Duration
		for i, c := range changes {
			if i == len(changes)-1 || changes[i+1].at.After(since) {
				want = max(want, c.limit)
			}
		}
		// A limit that has passed for all connections may be forgotten.
		if got := l.since(since); got != want && (got > want || idle <= want) {
			t.Fatalf("limit %v after %v without use, want %v", got, idle, want)
		}
	})
}

// TestNoIdleLimitBeforeTheFirstOne guards against connections that are closed by a default
// while the limit is not known.
func TestNoIdleLimitBeforeTheFirstOne(t *testing.T) {
	var l idleLimit
	now := time.Unix(1000, 0)
	l.set(0, now)
	if got := l.since(now.Add(-24 * time.Hour)); got < 48*time.Hour {
		t.Errorf("got a limit of %v, want none", got)
	}
	l.set(time.Minute, now)
	if got := l.since(now.Add(-time.Second)); got != time.Minute {
		t.Errorf("got %v, want the first limit", got)
	}
}
