package allowance

import (
	"sync"
	"testing"
)

// Guards against a missed target and against figures that differ between runs.
func TestTargetsMetAndRepeatable(t *testing.T) {
	results := runAll()
	for _, line := range lines(results) {
		t.Log(line)
		if !line.Met() {
			t.Errorf("target missed, seeds %v: %v", seeds, line)
		}
	}
	again := make([]result, len(scenarios))
	var wg sync.WaitGroup
	for i, sc := range scenarios {
		wg.Go(func() { again[i] = runOne(seeds[i], sc) })
	}
	wg.Wait()
	for i := range scenarios {
		if again[i] != results[i][i] {
			t.Errorf("scenario %d, seed %d: %+v, then %+v", i, seeds[i], results[i][i], again[i])
		}
	}
}
