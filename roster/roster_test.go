package roster_test

import (
	"fmt"

	"fieldvale/roster"
)

func Example() {
	for _, registered := range []int{0, 10, 23, 24, 47, 48, 60} {
		fmt.Printf("%d of 1000 registered: a starting instance registers with probability %.3f, a running one with %.3f\n", registered, roster.JoinProbability(registered, 1000), roster.LateJoinProbability(registered, 1000))
	}
	fmt.Println("probabilities in small fleets:", roster.JoinProbability(1, 7), roster.JoinProbability(6, 7), roster.JoinProbability(30, 58))
	// Output:
	// 0 of 1000 registered: a starting instance registers with probability 0.048, a running one with 0.048
	// 10 of 1000 registered: a starting instance registers with probability 0.038, a running one with 0.038
	// 23 of 1000 registered: a starting instance registers with probability 0.026, a running one with 0.026
	// 24 of 1000 registered: a starting instance registers with probability 0.025, a running one with 0.000
	// 47 of 1000 registered: a starting instance registers with probability 0.001, a running one with 0.000
	// 48 of 1000 registered: a starting instance registers with probability 0.000, a running one with 0.000
	// 60 of 1000 registered: a starting instance registers with probability 0.000, a running one with 0.000
	// probabilities in small fleets: 1 1 0.6428571428571429
}
