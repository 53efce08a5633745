package faults

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// seedCount is the number of runs with several faults. The seeds are 1 to seedCount.
const seedCount = 96

// injectionsGen generates two or three injections; in one of four cases the first two
// have the same fault.
func injectionsGen() *rapid.Generator[[]injection] {
	f := rapid.SampledFrom(faultList())
	s := rapid.SampledFrom(steps)
	after := rapid.IntRange(4, 30)
	return rapid.Custom(func(t *rapid.T) []injection {
		n := rapid.IntRange(2, 3).Draw(t, "faults")
		var l []injection
		for range n {
			l = append(l, injection{f.Draw(t, "fault"), s.Draw(t, "step"), time.Duration(after.Draw(t, "after")) * time.Second})
		}
		if rapid.IntRange(0, 3).Draw(t, "twice") == 0 {
			l[1].fault = l[0].fault
		}
		return l
	})
}

// runSeeds runs the script with the injections of each seed and returns the number of
// seeds.
func runSeeds(t *testing.T) int {
	t.Run("pairs", func(t *testing.T) {
		for n := 1; n <= seedCount; n++ {
			l := injectionsGen().Example(n)
			t.Run(fmt.Sprintf("seed=%d", n), func(t *testing.T) {
				t.Parallel()
				violations, _ := runWithFaults(t, l...)
				for _, b := range violations {
					t.Errorf("%v: %s", l, b)
				}
			})
		}
	})
	return seedCount
}
