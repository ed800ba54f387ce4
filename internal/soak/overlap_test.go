package soak

import (
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// TestCheckFindsStreamAtTwoEndpoints guards against a check that does not see a stream that runs
// at two endpoints at once, or that excuses more than a host that cannot end its run.
func TestCheckFindsStreamAtTwoEndpoints(t *testing.T) {
	base := time.Unix(1000, 0)
	at := func(s float64) time.Time { return base.Add(time.Duration(s * float64(time.Second))) }
	run := func(endpoint, source string, from, to float64) platformtest.Run {
		return platformtest.Run{Attempt: "x", Path: platformtest.StreamPath + "x", Endpoint: endpoint, Source: source, Team: platformtest.TeamName, At: at(from), Ended: at(to)}
	}
	twice := []platformtest.Run{run("a", "first", 0, 9), run("b", "second", 5, 9)}
	stillWorks := []platformtest.Run{run("a", "first", 0, 9), run("b", "second", 5, 9)}
	stillWorks[0].Ended = time.Time{}
	span := func(from, to float64) []Span { return []Span{{From: at(from), To: at(to)}} }
	for name, c := range map[string]struct {
		runs        []platformtest.Run
		disturbed   string // the host
		disturbance Disturbances
		want        int
	}{
		"two runs at once":                        {runs: twice, want: 1},
		"listed in another order":                 {runs: []platformtest.Run{twice[1], twice[0]}, want: 1},
		"the first one has not ended":             {runs: stillWorks, want: 1},
		"the same endpoint":                       {runs: []platformtest.Run{twice[0], run("a", "second", 5, 9)}},
		"the first one ends in time":              {runs: []platformtest.Run{run("a", "first", 0, 5.4), twice[1]}},
		"the first one ends late":                 {runs: []platformtest.Run{run("a", "first", 0, 5.41), twice[1]}, want: 1},
		"the third one goes on beside the second": {runs: []platformtest.Run{run("a", "first", 0, 1), run("b", "second", 2, 9), run("c", "first", 4, 9)}, want: 1},
		"the first host was paused before":        {runs: twice, disturbed: "first", disturbance: Disturbances{Down: span(0, 2.1)}},
		"the first host was paused long before":   {runs: twice, disturbed: "first", disturbance: Disturbances{Down: span(0, 1.9)}, want: 1},
		"the first host was paused later":         {runs: twice, disturbed: "first", disturbance: Disturbances{Down: span(5.5, 7)}, want: 1},
		"the first host is down":                  {runs: twice, disturbed: "first", disturbance: Disturbances{Down: []Span{{From: at(4)}}}},
		"the second host was paused":              {runs: twice, disturbed: "second", disturbance: Disturbances{Down: span(0, 9)}, want: 1},
		"the first host reached no endpoint":      {runs: twice, disturbed: "first", disturbance: Disturbances{Unlinked: span(4, 5.1)}},
		"the first host reached them again":       {runs: twice, disturbed: "first", disturbance: Disturbances{Unlinked: span(0, 4.9)}, want: 1},
		"the second host reached no endpoint":     {runs: twice, disturbed: "second", disturbance: Disturbances{Unlinked: span(0, 9)}, want: 1},
	} {
		h := History{Runs: c.runs, Disturbances: map[string]Disturbances{c.disturbed: c.disturbance}}
		if got := h.Check(); len(got) != c.want {
			t.Errorf("%s: got violations %q, want %d", name, got, c.want)
		}
	}
}
