package placement_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/placement"
)

var noon = time.Unix(1_700_000_000, 0)

// shared is one shared part that takes so many milliseconds to read; reading it
// again counts for eight times that on top.
func shared(ms float64) []placement.PrefixPart {
	return []placement.PrefixPart{{Key: "m/k", PrefillMs: ms, ReprefillPenaltyMs: 8 * ms}}
}

// A part is kept only with all before it: a replica that keeps the first part
// reads the others, and one that keeps another first part reads all.
func TestLedgerKnowsPartsOneByOne(t *testing.T) {
	l := placement.NewLedger(0)
	ask := func(parts ...string) placement.Request {
		a := placement.Request{Replicas: []string{"a"}, UnsharedMs: 5}
		for _, k := range parts {
			a.SharedPrefix = append(a.SharedPrefix, placement.PrefixPart{Key: k, PrefillMs: 100})
		}
		return a
	}
	for _, c := range []struct {
		parts []string
		want  float64
	}{
		{[]string{"p", "p/q"}, 205},
		{[]string{"p", "p/q"}, 5},
		{[]string{"p", "p/r"}, 105},
		{[]string{"x", "x/q"}, 205},
		{[]string{"p"}, 5},
		{nil, 5},
	} {
		if g := l.Choose(ask(c.parts...), noon); g.PrefillMs != c.want {
			t.Errorf("%q costs %.0f ms, want %.0f", c.parts, g.PrefillMs, c.want)
		}
	}
}

func TestLedgerWeighsWaitingAgainstReadingAgain(t *testing.T) {
	l := placement.NewLedger(0)
	a := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 50, SharedPrefix: shared(100)}
	for i := range 19 {
		// a keeps the shared part after the first prompt; with over 900 ms of
		// work there, reading all at b is better, and then b keeps it too.
		want := 0
		if i >= 17 {
			want = 1
		}
		if c := l.Choose(a, noon); c.Index != want {
			t.Errorf("prompt %d went to %d after %.0f ms of work, want %d", i, c.Index, c.WaitMs, want)
		}
	}
}

// A replica that holds more runs counts for more, until they are expected to
// have ended.
func TestLedgerCountsRuns(t *testing.T) {
	l := placement.NewLedger(0)
	a := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 1, SharedPrefix: shared(10), SlotMs: 1000}
	at := map[int]int{}
	for range 8 {
		c := l.Choose(a, noon)
		l.Read(c.Ticket, noon)
		at[c.Index]++
	}
	// Each run counts for 20 ms, reading the shared part at b for 90.
	if at[0] != 5 || at[1] != 3 {
		t.Errorf("runs by replica: %v, want 5 and 3", at)
	}
	if c := l.Choose(a, noon.Add(5*time.Second)); c.WaitMs != 0 || c.Index != 0 {
		t.Errorf("wait %.0f ms at %d after the runs ended, want 0 at 0", c.WaitMs, c.Index)
	}
}

// What one instance meets with at a replica is known to all that ask the same
// keeper, and forgotten when others are served there or after some time.
func TestLedgerAvoidsFaultyReplicas(t *testing.T) {
	l := placement.NewLedger(0)
	a := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 10, SharedPrefix: shared(100), SlotMs: 100}
	want := "a"
	if g := l.Lost(l.Choose(a, noon).Ticket, placement.Unreachable, noon); g != want {
		t.Errorf("others are preferred to %q from now on, want %q", g, want)
	}
	for range 3 {
		c := l.Choose(a, noon)
		if c.Index != 1 || c.WaitMs != 0 {
			t.Errorf("went to %d with a wait of %.0f ms, want 1 with none", c.Index, c.WaitMs)
		}
		l.Read(c.Ticket, noon)
	}
	later := noon.Add(10 * time.Second)
	if c := l.Choose(placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 10}, later); c.Index != 0 {
		t.Errorf("went to %d long after, want 0", c.Index)
	}
}

// Work that is taken back is no fault, and its run holds no slot.
func TestLedgerTakesWorkBack(t *testing.T) {
	l := placement.NewLedger(0)
	a := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 10, SlotMs: 1000}
	for range 20 {
		c := l.Choose(a, noon)
		if c.WaitMs != 0 || c.Index != 0 {
			t.Fatalf("wait %.0f ms at %d, want none at 0", c.WaitMs, c.Index)
		}
		l.Lost(c.Ticket, placement.NoFault, noon)
	}
}

// A prompt stays in its data centre unless one elsewhere keeps so much of it
// that reading it again would take longer.
func TestLedgerStaysNear(t *testing.T) {
	for _, c := range []struct {
		shared float64
		want   int
	}{{3, 1}, {10, 0}} {
		l := placement.NewLedger(0)
		a := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 10, SharedPrefix: shared(c.shared), RemotePenaltyMs: 30}
		l.Read(l.Choose(a, noon).Ticket, noon)
		a.RemoteBits = 1 << 0
		if got := l.Choose(a, noon); got.Index != c.want {
			t.Errorf("with %.0f ms shared and kept elsewhere: went to %d, want %d", c.shared, got.Index, c.want)
		}
	}
}

// A shared part is read again sooner where the first event would come late.
func TestLedgerReadsAgainInsteadOfBeingLate(t *testing.T) {
	l := placement.NewLedger(0)
	a := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 50, SharedPrefix: shared(100), TimeLeftMs: 1000}
	n := 0
	for l.Choose(a, noon).Index == 0 {
		n++
	}
	// Over 300 ms count nine times: at 400 ms of work, as much as reading all
	// again does.
	if n < 5 || n > 8 {
		t.Errorf("%d prompts before the shared part was read again, want about 7", n)
	}
}

func TestLedgerForgetsWorkThatNobodyEnds(t *testing.T) {
	l := placement.NewLedger(0)
	a := placement.Request{Replicas: []string{"a"}, UnsharedMs: 100}
	l.Choose(a, noon)
	if c := l.Choose(a, noon.Add(time.Second)); c.WaitMs != 100 {
		t.Errorf("wait %.0f ms, want 100", c.WaitMs)
	}
	if c := l.Choose(a, noon.Add(time.Minute)); c.WaitMs != 0 {
		t.Errorf("wait %.0f ms after a minute, want 0", c.WaitMs)
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
				l.Read(c.Ticket, noon)
				l.Read(c.Ticket, noon)
				want -= c.PrefillMs
				continue
			}
			c := l.Choose(placement.Request{Replicas: []string{"a"}, UnsharedMs: rapid.Float64Range(1, 100).Draw(t, "cost")}, now)
			if d := c.WaitMs - want; d > 1e-3 || d < -1e-3 {
				t.Fatalf("wait %f, want %f", c.WaitMs, want)
			}
			want += c.PrefillMs
			open = append(open, c)
		}
	})
}

// A replica that can't be reached is left out however long the others wait, is
// tried again after longer and longer, and is back with the first prompt read.
func TestUnreachedReplicasAreLeftOut(t *testing.T) {
	l := placement.NewLedger(0)
	now := noon
	try := func(why placement.Fault) bool {
		c := l.Choose(placement.Request{Replicas: []string{"dead", "busy"}, UnsharedMs: 900}, now)
		if c.Index == 0 && why != placement.NoFault {
			l.Lost(c.Ticket, why, now)
		} else if c.Index == 0 {
			l.Read(c.Ticket, now)
		}
		return c.Index == 0
	}
	for range 20 {
		l.Choose(placement.Request{Replicas: []string{"busy"}, UnsharedMs: 900}, now)
	}
	tries := 0
	for range 300 {
		if try(placement.Unreachable) {
			tries++
		}
		now = now.Add(10 * time.Millisecond)
	}
	// Two at first, then after 0.25 s, 0.5 s and 1 s more.
	if tries != 5 {
		t.Errorf("%d prompts went to a replica that can't be reached in 3 s, want 5", tries)
	}
	now = now.Add(4 * time.Second)
	if !try(placement.NoFault) || !try(placement.Unreachable) || !try(placement.NoFault) {
		t.Error("it is left out after a prompt was read there")
	}
	both := placement.Request{Replicas: []string{"x", "y"}, UnsharedMs: 1}
	for range 8 {
		c := l.Choose(both, now)
		l.Lost(c.Ticket, placement.Unreachable, now)
	}
	if c := l.Choose(both, now); c.Index < 0 {
		t.Error("none is chosen where all are left out")
	}
}
