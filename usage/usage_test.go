package usage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldvale/usage"
)

const (
	length = 5 * time.Second
	late   = 10 * time.Second
)

var retained = usage.RetainedWindows(length, late)

var start = time.Unix(1_700_000_000, 0)

func ExampleDueWindows() {
	for _, s := range []int{0, 2, 3, 7, 9} {
		fmt.Println(s, usage.DueWindows(start.Add(time.Duration(s)*time.Second), length, 10*time.Second))
	}
	// Output:
	// 0 [339999998]
	// 2 [339999998]
	// 3 [339999998 339999999]
	// 7 [339999999]
	// 9 [339999999 340000000]
}

// Counts must be neither billed twice nor lost: reports that arrive repeatedly or out of
// order count once, and the counts of an instance before its restart are added to those
// of its new incarnation.
func TestBookSumsIncarnations(t *testing.T) {
	a, b := usage.NewTally(length, retained), usage.NewFleetCounts(retained)
	for range 3 {
		a.CountRequest("acme", start)
	}
	earlier := a.Counts()
	a.CountRequest("acme", start.Add(time.Second))
	a.CountRequest("zeta", start.Add(length))
	latest := a.Counts()
	for _, w := range []usage.CountsByWindow{latest, earlier, latest} {
		b.Merge("n1", 1, w)
	}
	b.Merge("n1", 2, usage.CountsByWindow{usage.WindowNumber(start, length): {"acme": 5}})
	b.Merge("n2", 1, usage.CountsByWindow{usage.WindowNumber(start, length): {"acme": 1, "zeta": 2}})
	got := []usage.Counts{b.Sum(usage.WindowNumber(start, length)), b.Sum(usage.WindowNumber(start.Add(length), length))}
	if d := cmp.Diff([]usage.Counts{{"acme": 10, "zeta": 2}, {"zeta": 1}}, got); d != "" {
		t.Error(d)
	}
}

// Guards against counts that are dropped while their window may still be reported, where windows are
// short: another instance that takes the reports over would report too few.
func TestCountsAreKeptWhileTheyAreDue(t *testing.T) {
	for _, c := range []struct{ length, late time.Duration }{{time.Second, 8 * time.Second}, {length, late}, {3 * time.Second, 20 * time.Second}} {
		k := usage.RetainedWindows(c.length, c.late)
		a, b := usage.NewTally(c.length, k), usage.NewFleetCounts(k)
		now := start
		for range 40 {
			a.CountRequest("acme", now)
			b.Merge("n1", 1, a.Counts())
			now = now.Add(c.length)
			for _, w := range usage.DueWindows(now, c.length, c.late) {
				if !usage.WindowEnd(w, c.length).After(start) {
					continue
				}
				if got := b.Sum(w)["acme"]; got != 1 {
					t.Errorf("windows of %s, late after %s: got %d requests in a window that is due, want 1", c.length, c.late, got)
				}
			}
		}
	}
}
