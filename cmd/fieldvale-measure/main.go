package main

import (
	"os"

	"fieldvale/measure"
)

func main() {
	r := measure.NewReport(os.Stdout)
	measure.Cascade(r, 1)
	measure.Placement(r, 1)
	measure.Overload(r, 1)
	measure.Rollout(r, 1)
}
