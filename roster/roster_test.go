package roster_test

import (
	"fmt"

	"fieldvale/roster"
)

func Example() {
	for _, listed := range []int{0, 10, 23, 24, 47, 48, 60} {
		fmt.Printf("%d listed of 1000: one that starts joins with %.3f, one that runs with %.3f\n", listed, roster.Joins(listed, 1000), roster.JoinsLater(listed, 1000))
	}
	fmt.Println("of a small fleet all join:", roster.Joins(1, 7), roster.Joins(6, 7), roster.Joins(30, 58))
	// Output:
	// 0 listed of 1000: one that starts joins with 0.048, one that runs with 0.048
	// 10 listed of 1000: one that starts joins with 0.038, one that runs with 0.038
	// 23 listed of 1000: one that starts joins with 0.026, one that runs with 0.026
	// 24 listed of 1000: one that starts joins with 0.025, one that runs with 0.000
	// 47 listed of 1000: one that starts joins with 0.001, one that runs with 0.000
	// 48 listed of 1000: one that starts joins with 0.000, one that runs with 0.000
	// 60 listed of 1000: one that starts joins with 0.000, one that runs with 0.000
	// of a small fleet all join: 1 1 0.6428571428571429
}
