package timing

import (
	"fmt"
	"time"

	"fieldvale/version"
)

func ExampleTokenTimes() {
	p := NewTokenTimes()
	for range minTokenTimeSamples {
		p.Observe(version.New("small", "1"), 10*time.Millisecond)
	}
	fmt.Println(p.IsSlow(39*time.Millisecond, version.New("small", "1")), p.IsSlow(41*time.Millisecond, version.New("small", "1")))
	// Output: false true
}
