package balance

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a measurement that differs from run to run, or is missing.
func TestRunRepeatsExactly(t *testing.T) {
	first := compare(seeds[:1], smallEngine)
	if first.perfect.value < 1 || first.hits.value <= 0 {
		t.Fatalf("%+v", first)
	}
	second := compare(seeds[:1], smallEngine)
	if diff := cmp.Diff(first, second, cmp.AllowUnexported(comparison{}, pair{})); diff != "" {
		t.Fatal(diff)
	}
}
