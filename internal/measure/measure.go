// Package measure holds the line format and the statistics shared by the
// measurements of the router's decisions. Measurements run in virtual time
// with fixed seeds.
package measure

import (
	"fmt"
	"math"
	"slices"
)

// Bound is the side of the target on which a value must lie.
type Bound int

// The two kinds of bound.
const (
	AtMost Bound = iota
	AtLeast
)

// Line is one measure with its baseline and its target.
type Line struct {
	// Name identifies the measure, for example cascade_cost_ratio.
	Name string
	// Baseline is the result of a simple reference method or of an earlier version.
	Baseline float64
	// Value is the result of the shipped algorithm.
	Value float64
	// Target is the required limit. It is set independently of Value.
	Target float64
	// Bound states whether Value must be at most or at least Target.
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

// Quantile returns the q-quantile of values by the nearest-rank method, or NaN
// if values is empty. The input is not modified.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// Mean returns the arithmetic mean of values, or NaN if values is empty.
func Mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Jain returns Jain's fairness index of values, between 1/n and 1. It returns 1
// if all values are zero.
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
