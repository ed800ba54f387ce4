package allowance

import "testing"

// Guards against a missed target and against figures that differ between runs.
func TestTargetsMetAndRepeatable(t *testing.T) {
	results := runAll()
	for _, line := range lines(results) {
		t.Log(line)
		if !line.Met() {
			t.Errorf("target missed, seeds %v: %v", seeds, line)
		}
	}
	for i, sc := range scenarios {
		if again := runOne(seeds[i], sc); again != results[i][i] {
			t.Errorf("scenario %d, seed %d: %+v, then %+v", i, seeds[i], results[i][i], again)
		}
	}
}
