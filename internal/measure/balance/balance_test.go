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
