package admission

import "testing"

// TestTargetsMetAndDeterministic guards against a missed target and against
// results that differ between runs with the same seeds.
func TestTargetsMetAndDeterministic(t *testing.T) {
	first := Run()
	for _, line := range first {
		t.Log(line)
		if !line.Met() {
			t.Errorf("target missed, seeds %v: %v", seeds, line)
		}
	}
	for i, def := range definitions {
		if second := worst(def, 7, newCorePolicies); second != first[len(definitions)+i].Value {
			t.Errorf("two runs with the same seeds differ: first %v, then value %v", first[len(definitions)+i], second)
		}
	}
}
