package entry

import (
	"fmt"
	"time"
)

// A write may take until two seconds after the request's deadline, or after the write's start if that is later.
func ExampleWriteDeadline() {
	start := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	q := &OpaqueRequest{Deadline: start.Add(10 * time.Second), TimeoutAt: start.Add(8 * time.Second)}
	d := q.WriteDeadline()
	for _, s := range []time.Duration{1, 7, 11} {
		d = d.WithWrite(start.Add(s * time.Second))
		fmt.Printf("write at %d s: until %v\n", s, d.At().Sub(start))
	}
	// Output:
	// write at 1 s: until 10s
	// write at 7 s: until 10s
	// write at 11 s: until 13s
}
