// Package measure holds what the decision measurements share: the line format
// and small statistics. Measurements run in virtual time with fixed seeds.
package measure

import (
	"fmt"
	"math"
	"slices"
)

// Bound tells on which side of the target a value must lie.
type Bound int

// The two kinds of bound.
const (
	AtMost Bound = iota
	AtLeast
)

// Line is one measure compared with its baseline and its stated target.
type Line struct {
	// Name identifies the measure, for example cascade_cost_ratio.
	Name string
	// Baseline is the figure of the simple method or the earlier version.
	Baseline float64
	// Value is the figure of the shipped decision.
	Value float64
	// Target is the stated limit, never derived from Value.
	Target float64
	// Bound tells whether Value must be at most or at least Target.
	Bound Bound
}

// Met reports whether the value meets the target.
func (l Line) Met() bool {
	if math.IsNaN(l.Value) {
		return false
	}
	if l.Bound == AtLeast {
		return l.Value >= l.Target
	}
	return l.Value <= l.Target
}

// String formats the line as make measure prints it.
func (l Line) String() string {
	return fmt.Sprintf("measure=%s baseline=%.4g value=%.4g target=%.4g met=%t",
		l.Name, l.Baseline, l.Value, l.Target, l.Met())
}

// Quantile returns the q-quantile of values by the nearest-rank method, NaN if
// there are none. The input is not modified.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// Mean returns the arithmetic mean, NaN if there are no values.
func Mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Jain returns Jain's fairness index, between 1/n and 1.
func Jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}
