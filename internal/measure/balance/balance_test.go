package balance

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRunIsDeterministic guards against results that are missing or that differ
// between runs with the same seed.
func TestRunIsDeterministic(t *testing.T) {
	first := compare(seeds[:1], smallEngine)
	if first.perfect.value < 1 || first.hits.value <= 0 {
		t.Fatalf("implausible results, want perfect >= 1 and hits > 0: %+v", first)
	}
	second := compare(seeds[:1], smallEngine)
	if diff := cmp.Diff(first, second, cmp.AllowUnexported(comparison{}, pair{})); diff != "" {
		t.Fatal(diff)
	}
}

// TestPaceIsDeterministic guards against results of the choice by pace that differ between runs
// with the same seed, and against paces that the choosers do not use.
func TestPaceIsDeterministic(t *testing.T) {
	first := simulatePace(seeds[0], conditions[1], pacedChoosers(true))
	if diff := cmp.Diff(first, simulatePace(seeds[0], conditions[1], pacedChoosers(true)), cmp.AllowUnexported(paceResult{})); diff != "" {
		t.Fatal(diff)
	}
	if without := simulatePace(seeds[0], conditions[1], pacedChoosers(false)); without.first <= first.first {
		t.Errorf("first events after %v s with paces and %v s without", first.first, without.first)
	}
}
