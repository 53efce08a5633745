package means_test

import (
	"fmt"

	"fieldvale/means"
)

// A mean starts at its initial value and moves towards each new value by its weight. One of
// NewFastStart moves further for the first values.
func ExampleRunningMeans() {
	slow, quick := means.New(0.1), means.NewFastStart(0.1, 1)
	for range 3 {
		slow.Update("k", 10, func(float64) float64 { return 20 })
		quick.Update("k", 10, func(float64) float64 { return 20 })
	}
	fmt.Printf("%.2f %.2f %.0f\n", slow.Get("k", 10), quick.Get("k", 10), slow.Get("other", 10))
	// Output: 12.71 17.50 10
}
