package placement

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a measurement that differs from run to run, or is missing.
func TestRunRepeatsExactly(t *testing.T) {
	first := run(seeds[:1])
	if len(first) != 4 {
		t.Fatalf("%d lines", len(first))
	}
	if diff := cmp.Diff(first, run(seeds[:1])); diff != "" {
		t.Fatal(diff)
	}
}
