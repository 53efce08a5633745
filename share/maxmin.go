// Package share divides work among customers by max-min fairness: nobody's share can grow
// except at the cost of somebody whose share is smaller. A customer that wants less than an
// equal share gets what it wants, and the others divide the rest equally.
package share

import (
	"math"
	"slices"
)

// Level returns the largest amount that a single demand may have of the capacity under
// max-min fairness, +Inf if the capacity covers all demands. It sorts the demands.
func Level(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	rest := capacity
	for i, d := range demands {
		equal := rest / float64(len(demands)-i)
		if d > equal {
			return max(0, equal)
		}
		rest -= d
	}
	return math.Inf(1)
}

// Shares returns the max-min fair share of each demand. Capacity that the demands leave is
// divided equally, so that the shares always sum to the capacity.
func Shares(demands []float64, capacity float64) []float64 {
	level := Level(slices.Clone(demands), capacity)
	shares := make([]float64, len(demands))
	rest := capacity
	for i, d := range demands {
		shares[i] = min(d, level)
		rest -= shares[i]
	}
	for i := range shares {
		shares[i] += rest / float64(len(shares))
	}
	return shares
}
