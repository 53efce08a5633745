package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/admission"
	"fieldvale/standin/seed"
)

var _ = seed.Fix()

// In any span of the window the repeats stay within the part of the requests
// of that span and the one before, and what is allowed on top.
func TestRepeatsStayWithinTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := admission.Repeats{Part: 0.8, Burst: 5}
		w := admission.NewWindow(l)
		now := noon
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				w.Request(now)
				requests = append(requests, now)
			} else if w.Repeat(now, 1, 0) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			q := within(requests, end.Add(-10*time.Second), end)
			p := within(repeats, end.Add(-9500*time.Millisecond), end)
			if float64(p) > l.Part*float64(q)+l.Burst {
				t.Fatalf("%d repeats beside %d requests", p, q)
			}
		}
	})
}

func within(l []time.Time, from, to time.Time) int {
	n := 0
	for _, x := range l {
		if !x.Before(from) && !x.After(to) {
			n++
		}
	}
	return n
}

func TestReserveLeavesRepeatsForFailures(t *testing.T) {
	w := admission.NewWindow(admission.Repeats{Part: 1})
	for range 100 {
		w.Request(noon)
	}
	n := 0
	for w.Repeat(noon, 1, 0.25) {
		n++
	}
	for w.Repeat(noon, 1, 0) {
		n++
	}
	if n != 100 {
		t.Errorf("%d repeats in all, want 100", n)
	}
	if w.Repeat(noon, 1, 0) || !w.Repeat(noon.Add(time.Minute), 1, 0) == false {
		t.Error("what was counted a minute ago still counts, or repeats without requests are allowed")
	}
}
