package faults

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pairSeeds is how many days with several faults are played; the seeds are 1
// to pairSeeds.
const pairSeeds = 96

// severalFaults draws two or three faults; every fourth time the same fault
// comes twice.
func severalFaults() *rapid.Generator[[]placed] {
	f := rapid.SampledFrom(faultList())
	s := rapid.SampledFrom(steps)
	after := rapid.IntRange(4, 30)
	return rapid.Custom(func(t *rapid.T) []placed {
		n := rapid.IntRange(2, 3).Draw(t, "faults")
		var l []placed
		for range n {
			l = append(l, placed{f.Draw(t, "fault"), s.Draw(t, "step"), time.Duration(after.Draw(t, "after")) * time.Second})
		}
		if rapid.IntRange(0, 3).Draw(t, "twice") == 0 {
			l[1].fault = l[0].fault
		}
		return l
	})
}

// playPairs plays the days of all seeds and returns how many there are.
func playPairs(t *testing.T) int {
	t.Run("pairs", func(t *testing.T) {
		for n := 1; n <= pairSeeds; n++ {
			l := severalFaults().Example(n)
			t.Run(fmt.Sprintf("seed=%d", n), func(t *testing.T) {
				t.Parallel()
				bad, _ := play(t, l...)
				for _, b := range bad {
					t.Errorf("%v: %s", l, b)
				}
			})
		}
	})
	return pairSeeds
}
