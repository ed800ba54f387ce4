package gate

import "testing"

// missed are the measures that miss their targets; docs/MEASUREMENTS.md says why. One that is met
// must be removed.
var missed = map[string]bool{
	"gate_urgent_p95_ratio_demand_1.5":            true,
	"gate_urgent_p95_ratio_demand_1.5_many_hosts": true,
	"gate_urgent_p95_ratio_repeats_at_once":       true,
	"gate_urgent_p95_ratio_burst_2.5":             true,
	"gate_even_share_team_at_6_times":             true,
}

// TestLoads replays each load against the gate. It guards against work that ends too late, an
// urgent rank that waits, teams below their share, and results that differ between runs.
func TestLoads(t *testing.T) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			without, with := measureLoad(l.scenario, false), measureLoad(l.scenario, true)
			for _, line := range linesOf(l, without, with) {
				t.Log(line)
				if line.Met() == missed[line.Name] {
					t.Errorf("seeds %v, listed as missed %t: %v", seeds, missed[line.Name], line)
				}
			}
			if again := measureLoad(l.scenario, true); again != with {
				t.Errorf("two runs with the seeds %v differ: %+v, then %+v", seeds, with, again)
			}
		})
	}
}

// TestCalmLoadIsServedAsBefore guards against a gate that rejects requests although there is
// room.
func TestCalmLoadIsServedAsBefore(t *testing.T) {
	for _, seed := range seeds {
		if without, with := run(calm, seed, false), run(calm, seed, true); with.asked != with.answered || without.asked != with.asked {
			t.Errorf("seed %d: asked %v, answered %v", seed, with.asked, with.answered)
		}
	}
}
