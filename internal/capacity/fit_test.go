package capacity

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestFitFindsTheLine guards against a fit that misses the line on which all
// points lie, and against sums of reads and writes that omit an operation.
func TestFitFindsTheLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Line{Intercept: rapid.Float64Range(-100, 100).Draw(t, "intercept"), Slope: rapid.Float64Range(1, 100).Draw(t, "slope")}
		var points []Point
		for i := range rapid.IntRange(2, 10).Draw(t, "points") {
			x := float64(10 * (i + 1))
			points = append(points, Point{x, want.At(x)})
		}
		got := Fit(points)
		if math.Abs(got.Slope-want.Slope) > 1e-6 || math.Abs(got.Intercept-want.Intercept) > 1e-4 || got.R2 < 1-1e-6 {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
	reads, writes := readsAndWrites(map[string]float64{"get a": 1, "list a": 2, "compare_and_swap a": 4, "keep_alive ": 8, "delete a": 16})
	if reads != 3 || writes != 28 {
		t.Errorf("got %v reads and %v writes, want 3 and 28", reads, writes)
	}
}

func ExampleFit() {
	line := Fit([]Point{{1, 3}, {2, 5}, {3, 7}})
	fmt.Printf("%.0f + %.0f x, R2 %.0f, at 10: %.0f\n", line.Intercept, line.Slope, line.R2, line.At(10))
	// Output: 1 + 2 x, R2 1, at 10: 21
}
