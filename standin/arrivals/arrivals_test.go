package arrivals_test

import (
	"fmt"
	"time"

	"fieldvale/standin/arrivals"
)

func ExampleMaxInWindow() {
	noon := time.Date(2026, 1, 16, 12, 0, 0, 0, time.UTC)
	var l arrivals.Log
	for _, s := range []int{0, 1, 2, 5, 8, 9, 11} {
		l.Add(noon.Add(time.Duration(s) * time.Second))
	}
	at := l.Between(noon.Add(time.Second), noon.Add(11*time.Second))
	fmt.Println(len(at), arrivals.MaxInWindow(at, 4*time.Second), arrivals.MaxInWindow(at, 5*time.Second))
	// Output: 5 2 3
}
