package relay

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/balance"
)

// TestSlowEngineIsReportedOnce guards against a log line at each update while an engine is
// slow, and against one that is never reported or never ends.
func TestSlowEngineIsReportedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, reported := make(slowEngines), false
		for _, slowness := range rapid.SliceOf(rapid.Float64Range(0.2, 4)).Draw(rt, "slowness") {
			slow, ended := s.update([]balance.EnginePace{{Endpoint: "e", Slowness: slowness}}, time.Time{})
			begins, ends := !reported && slowness >= slowFrom, reported && slowness < slowUntil
			if (len(slow) == 1) != begins || (len(ended) == 1) != ends {
				rt.Fatalf("slowness %v, reported %v: got slow %v, ended %v", slowness, reported, slow, ended)
			}
			reported = begins || reported && !ends
		}
	})
}

// TestSlowEngineIsForgotten guards against an engine that counts as slow for good because nobody
// measures it any more.
func TestSlowEngineIsForgotten(t *testing.T) {
	s, now := make(slowEngines), time.Unix(0, 0)
	s.update([]balance.EnginePace{{Endpoint: "e", Slowness: slowFrom}}, now)
	if s.update(nil, now.Add(slowMemory)); len(s) != 1 {
		t.Error("an engine is forgotten before slowMemory has passed")
	}
	if s.update(nil, now.Add(slowMemory+1)); len(s) != 0 {
		t.Errorf("slow engines %v, want none after slowMemory without a measurement", s)
	}
}
