package relay

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLiveGapsFollowTheStreams guards against a gap that stays high after an overload, one that is
// outside what was seen, and memory of endpoints that are gone.
func TestLiveGapsFollowTheStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l liveGaps
		now := time.Unix(1_700_000_000, 0)
		var lowest, highest time.Duration // of all gaps
		last := now.Add(-time.Hour)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 7000).Draw(t, "pause")) * time.Millisecond)
			gap := time.Duration(rapid.IntRange(1, 3000).Draw(t, "gap")) * time.Millisecond
			l.observe(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint"), gap, now)
			if lowest == 0 || gap < lowest {
				lowest = gap
			}
			highest, last = max(highest, gap), now
			if got := l.mean(now); got < lowest-1 || got > highest {
				t.Fatalf("got a mean of %v for gaps from %v to %v", got, lowest, highest)
			}
		}
		calm := time.Duration(rapid.IntRange(20, 100).Draw(t, "calm")) * time.Millisecond
		for range int(10 * time.Second / calm) {
			now = now.Add(calm)
			l.observe("a", calm, now)
		}
		if got := l.mean(now); got > calm*21/20 || len(l.byEndpoint) != 1 {
			t.Fatalf("10 s after the last other event, at %v: mean %v of %d endpoints, want %v of one", last, got, len(l.byEndpoint), calm)
		}
		if got := l.mean(now.Add(gapMemory + 1)); got != 0 || len(l.byEndpoint) != 0 {
			t.Fatalf("got %v, %d endpoints without events, want none", got, len(l.byEndpoint))
		}
	})
}
