package relay

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestExpectedDurationBoundsMostRequests guards against an expectation that more requests
// exceed than it says, or that is far above the longest one.
func TestExpectedDurationBoundsMostRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := rapid.SliceOfN(rapid.Int64Range(0, 600_000), minDurations, maxDurations).Draw(t, "durations in ms")
		var d routeDurations
		var longest time.Duration
		for _, m := range ms {
			took := time.Duration(m) * time.Millisecond
			longest = max(longest, took)
			d.observe(durationKey{route: "r"}, took)
		}
		expected := d.expected(durationKey{route: "r"})
		within := 0
		for _, m := range ms {
			if time.Duration(m)*time.Millisecond <= expected {
				within++
			}
		}
		if float64(within) < expectedQuantile*float64(len(ms)) {
			t.Fatalf("%d of %d requests end within the expected %v", within, len(ms), expected)
		}
		if limit := max(shortestDuration, time.Duration(bucketRatio*float64(longest))+time.Microsecond); expected > limit {
			t.Fatalf("expected %v, the longest took %v", expected, longest)
		}
	})
}

// TestExpectedDurationFollowsRecentRequests guards against an expectation that old requests
// determine for ever.
func TestExpectedDurationFollowsRecentRequests(t *testing.T) {
	var d routeDurations
	for range 10 * maxDurations {
		d.observe(durationKey{route: "r"}, time.Minute)
	}
	for range 10 * maxDurations {
		d.observe(durationKey{route: "r"}, time.Second)
	}
	if got := d.expected(durationKey{route: "r"}); got > 2*time.Second {
		t.Errorf("got %v after many requests of 1 s", got)
	}
}

// TestFewRequestsTellNothing guards against an expectation from too few requests.
func TestFewRequestsTellNothing(t *testing.T) {
	var d routeDurations
	for range minDurations - 1 {
		d.observe(durationKey{route: "r"}, time.Minute)
	}
	if got := d.expected(durationKey{route: "r"}); got != 0 {
		t.Errorf("got %v, want nothing", got)
	}
	if got := d.expected(durationKey{route: "other"}); got != 0 {
		t.Errorf("got %v for a route without requests, want nothing", got)
	}
}

// TestExpectedDurationDependsOnTheLengthOfTheAnswer guards against short answers that are
// expected to last as long as the longest ones of their route, and are rejected for that.
func TestExpectedDurationDependsOnTheLengthOfTheAnswer(t *testing.T) {
	var d routeDurations
	short := keyOf("r", &Request{MaxOutputTokens: 4000, OutputHint: 20})
	long := keyOf("r", &Request{MaxOutputTokens: 4000})
	for range minDurations {
		d.observe(short, time.Second)
		d.observe(long, time.Minute)
	}
	if got := d.expected(short); got > 2*time.Second {
		t.Errorf("got %v for a short answer, want about 1 s", got)
	}
	if got := d.expected(long); got < time.Minute {
		t.Errorf("got %v for a long answer, want at least 1 min", got)
	}
	unseen := keyOf("r", &Request{OutputHint: 200})
	if got := d.expected(unseen); got < time.Minute {
		t.Errorf("got %v for a length that was not seen, want that of the route", got)
	}
}
