package placement

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRunIsDeterministic guards against measures that are missing or that differ
// between runs with the same seed.
func TestRunIsDeterministic(t *testing.T) {
	first := run(seeds[:1])
	if len(first) != 4 {
		t.Fatalf("got %d lines, want 4", len(first))
	}
	if diff := cmp.Diff(first, run(seeds[:1])); diff != "" {
		t.Fatal(diff)
	}
}
