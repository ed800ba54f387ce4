package relay

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/balance"
)

// TestSlowEngineIsReportedOnce guards against a log line at each update while an engine is
// slow, and against one that is never reported or never ends.
func TestSlowEngineIsReportedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, reported := make(slowEngines), false
		for _, slowness := range rapid.SliceOf(rapid.Float64Range(0.2, 4)).Draw(rt, "slowness") {
			slow, ended := s.update([]balance.EnginePace{{Endpoint: "e", Slowness: slowness}})
			begins, ends := !reported && slowness >= slowFrom, reported && slowness < slowUntil
			if (len(slow) == 1) != begins || (len(ended) == 1) != ends {
				rt.Fatalf("slowness %v, reported %v: got slow %v, ended %v", slowness, reported, slow, ended)
			}
			reported = begins || reported && !ends
		}
	})
}
