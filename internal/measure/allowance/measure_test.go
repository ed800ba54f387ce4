package allowance

import (
	"sync"
	"testing"
)

// TestTargetsMetAndDeterministic guards against a missed target and against
// results that differ between runs with the same seeds.
func TestTargetsMetAndDeterministic(t *testing.T) {
	results := runAll()
	for _, line := range lines(results) {
		t.Log(line)
		if !line.Met() {
			t.Errorf("target missed, seeds %v: %v", seeds, line)
		}
	}
	second := make([]result, len(scenarios))
	var wg sync.WaitGroup
	for i, sc := range scenarios {
		wg.Go(func() { second[i] = runOne(seeds[i], sc) })
	}
	wg.Wait()
	for i := range scenarios {
		if second[i] != results[i][i] {
			t.Errorf("scenario %d, seed %d: two runs differ: %+v, then %+v", i, seeds[i], results[i][i], second[i])
		}
	}
}
