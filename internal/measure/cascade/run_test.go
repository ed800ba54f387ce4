package cascade

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderlever/corianderlever/cascade"
)

// TestEvaluate guards against a wrong expectation in the oracle: the joint
// probabilities must sum to one and the quality of a two-step plan must equal
// the value computed by hand.
func TestEvaluate(t *testing.T) {
	k := kindsBeforeShift[0]
	total := 0.0
	for mask := range 8 {
		total += k.joint([]int{0, 1, 2}, mask)
	}
	if math.Abs(total-1) > 1e-9 {
		t.Errorf("joint probabilities sum to %v, want 1", total)
	}
	// With shared difficulty a request passes if the better version passes;
	// otherwise the versions pass independently.
	either := 0.3*0.75 + 0.7*(1-0.55*0.25)
	want := either - gateMissing*(either-0.75)
	if got := k.evaluate([]int{0, 1}).quality; math.Abs(got-want) > 1e-9 {
		t.Errorf("quality %v, want %v", got, want)
	}
}

// TestRunIsDeterministic guards against results that differ between runs with
// the same seed, for example through the iteration order of a map.
func TestRunIsDeterministic(t *testing.T) {
	run := func() totals {
		s := newSimulation(seeds[0], cascade.Config{}, uniform(qualityTarget))
		s.run(kindsBeforeShift, 2000)
		return sum(s.records)
	}
	a, b := run(), run()
	if diff := cmp.Diff(a.quality, b.quality); diff != "" || a.cost != b.cost {
		t.Errorf("two runs with the same seed differ: quality %s, cost %v and %v", diff, a.cost, b.cost)
	}
}
