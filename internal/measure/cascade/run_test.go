package cascade

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderlever/corianderlever/cascade"
)

// TestEvaluate guards against a wrong expectation in the oracle: the joint
// probabilities must sum to one and a plan's quality must match a hand count.
func TestEvaluate(t *testing.T) {
	k := kindsBefore[0]
	total := 0.0
	for mask := range 8 {
		total += k.joint([]int{0, 1, 2}, mask)
	}
	if math.Abs(total-1) > 1e-9 {
		t.Errorf("joint probabilities sum to %v", total)
	}
	// Shared difficulty passes with the better version, else independent.
	either := 0.3*0.75 + 0.7*(1-0.55*0.25)
	kept := either - gateMissing*(either-0.75)
	if got := k.evaluate([]int{0, 1}).quality; math.Abs(got-kept) > 1e-9 {
		t.Errorf("quality %v, want %v", got, kept)
	}
}

// TestRepeats guards against figures that differ between runs, for example
// through the iteration order of a map.
func TestRepeats(t *testing.T) {
	run := func() totals {
		s := newSimulation(seeds[0], cascade.Config{}, uniform(qualityTarget))
		s.run(kindsBefore, 2000)
		return sum(s.records)
	}
	a, b := run(), run()
	if diff := cmp.Diff(a.quality, b.quality); diff != "" || a.cost != b.cost {
		t.Errorf("runs differ: %s cost %v and %v", diff, a.cost, b.cost)
	}
}
