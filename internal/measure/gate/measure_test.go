package gate

import "testing"

func TestTrial(t *testing.T) {
	for _, l := range Run() {
		t.Log(l)
	}
}
