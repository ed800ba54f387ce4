package admission

import "testing"

// Guards against a missed target and against figures that differ between runs.
func TestTargetsMetAndRepeatable(t *testing.T) {
	first := Run()
	for _, line := range first {
		t.Log(line)
		if !line.Met() {
			t.Errorf("target missed, seeds %v: %v", seeds, line)
		}
	}
	for i, def := range definitions {
		if again := worst(def, 7, newCore); again != first[len(definitions)+i].Value {
			t.Errorf("a second run differs: %v, then %v", first[len(definitions)+i], again)
		}
	}
}
