package roster_test

import (
	"fmt"

	"fieldvale/roster"
)

func Example() {
	for _, listed := range []int{0, 23, 24, 47, 48, 60} {
		fmt.Println(listed, "listed: one that starts joins:", roster.Wants(listed), "one that runs joins:", roster.IsFew(listed))
	}
	// Output:
	// 0 listed: one that starts joins: true one that runs joins: true
	// 23 listed: one that starts joins: true one that runs joins: true
	// 24 listed: one that starts joins: true one that runs joins: false
	// 47 listed: one that starts joins: true one that runs joins: false
	// 48 listed: one that starts joins: false one that runs joins: false
	// 60 listed: one that starts joins: false one that runs joins: false
}
