package placement_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/placement"
)

var noon = time.Unix(1_700_000_000, 0)

func TestLedgerWeighsWaitingAgainstReadingAgain(t *testing.T) {
	l := placement.NewLedger(0)
	a := placement.Ask{Key: "m/k", Replicas: []string{"a", "b"}, Read: 50, Shared: 100}
	for i, want := range []int{0, 0, 0, 0, 0, 0, 1, 1} {
		// a keeps the shared part after the first prompt; with 400 ms of work
		// there, reading all at b is better, and then b keeps it too.
		if c := l.Choose(a, noon); c.Index != want {
			t.Errorf("prompt %d went to %d after %.0f ms of work, want %d", i, c.Index, c.Wait, want)
		}
	}
}

func TestLedgerForgetsWorkThatNobodyEnds(t *testing.T) {
	l := placement.NewLedger(0)
	a := placement.Ask{Replicas: []string{"a"}, Read: 100}
	l.Choose(a, noon)
	if c := l.Choose(a, noon.Add(time.Second)); c.Wait != 100 {
		t.Errorf("wait %.0f ms, want 100", c.Wait)
	}
	if c := l.Choose(a, noon.Add(time.Minute)); c.Wait != 0 {
		t.Errorf("wait %.0f ms after a minute, want 0", c.Wait)
	}
}

func TestLedgerBalances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := placement.NewLedger(rapid.Uint64().Draw(t, "start"))
		now := noon
		var open []placement.Choice
		want := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "read") {
				c := open[0]
				open = open[1:]
				l.Read(c.Ticket)
				l.Read(c.Ticket)
				want -= c.Cost
				continue
			}
			c := l.Choose(placement.Ask{Replicas: []string{"a"}, Read: rapid.Float64Range(1, 100).Draw(t, "cost")}, now)
			if d := c.Wait - want; d > 1e-3 || d < -1e-3 {
				t.Fatalf("wait %f, want %f", c.Wait, want)
			}
			want += c.Cost
			open = append(open, c)
		}
	})
}
