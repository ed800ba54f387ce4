package rollout

import "testing"

// TestTrialIsDeterministic guards against exposures that differ between runs
// with the same seed, and against a trial that ends without a verdict and
// therefore counts too few requests.
func TestTrialIsDeterministic(t *testing.T) {
	runTrial := func() int {
		trial := newTrial(1, 7, 1, version)
		trial.run(goodRate, warmUpSeconds)
		before := trial.exposed
		trial.run(badRate, warmUpSeconds+horizonSeconds)
		if trial.allSuspectAt < trial.verdictAt || trial.verdictAt < warmUpSeconds {
			t.Errorf("first verdict at %v, on all hosts at %v, want both in order and after the warm-up", trial.verdictAt, trial.allSuspectAt)
		}
		return trial.exposed - before
	}
	if a, b := runTrial(), runTrial(); a != b {
		t.Errorf("two runs with seed 1 have exposures %d and %d", a, b)
	}
}
