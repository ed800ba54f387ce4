package rollout

import "testing"

// TestTrialRepeats guards against exposure figures that differ between runs,
// and against a trial that ends without a verdict and so counts too little.
func TestTrialRepeats(t *testing.T) {
	play := func() int {
		trial := newTrial(1, 7, 1, version)
		trial.run(goodRate, warmUpSeconds)
		before := trial.exposed
		trial.run(badRate, warmUpSeconds+horizonSeconds)
		if trial.suspectAt < trial.verdictAt || trial.verdictAt < warmUpSeconds {
			t.Errorf("verdict at %v, known everywhere at %v", trial.verdictAt, trial.suspectAt)
		}
		return trial.exposed - before
	}
	if a, b := play(), play(); a != b {
		t.Errorf("exposure %d and %d with seed 1", a, b)
	}
}
