package upstream

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSilenceNeedsAnUnansweredProbe guards against an answer that is cut although its endpoint
// acknowledges every probe, however far apart the probes are, and against a silent endpoint that
// is not noticed.
func TestSilenceNeedsAnUnansweredProbe(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const timeout = 3 * time.Second
		s := silence{timeout: timeout}
		now := time.Unix(0, 0)
		lastAck, seen := now, time.Time{} // seen is the time of the first look at an unanswered probe
		for range rapid.IntRange(1, 60).Draw(rt, "looks") {
			now = now.Add(time.Duration(rapid.IntRange(100, 2000).Draw(rt, "ms")) * time.Millisecond)
			probed := true
			switch rapid.SampledFrom([]string{"unanswered", "unanswered", "unanswered", "answered", "answered, probed again"}).Draw(rt, "probe") {
			case "answered":
				lastAck, seen, probed = now, time.Time{}, false
			case "answered, probed again":
				lastAck, seen = now.Add(-20*time.Millisecond), time.Time{}
			}
			if probed && seen.IsZero() {
				seen = now
			}
			want := probed && now.Sub(seen) >= timeout
			if got := s.observe(now, probed, now.Sub(lastAck)); got != want {
				rt.Fatalf("silent %t at %v, want %t: unanswered since %v", got, now, want, seen)
			}
		}
	})
}
