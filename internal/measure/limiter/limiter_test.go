package limiter

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a measurement that differs from run to run, or is missing.
func TestRunRepeatsExactly(t *testing.T) {
	first := run(seeds[:1])
	if len(first) != 7 {
		t.Fatalf("%d lines", len(first))
	}
	for _, line := range first {
		t.Log(line)
	}
	if diff := cmp.Diff(first, run(seeds[:1])); diff != "" {
		t.Fatal(diff)
	}
}
