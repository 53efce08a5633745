package placement_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/placement"
)

var noon = time.Unix(1_700_000_000, 0)

// shared returns a prefix of one part with the given prefill time and a penalty of
// eight times that for prefilling it again.
func shared(ms float64) []placement.PrefixPart {
	return []placement.PrefixPart{{Key: "m/k", PrefillMs: ms, ReprefillPenaltyMs: 8 * ms}}
}

// Guards against parts that count as cached although a part before them is not: a
// replica that has only the first part cached prefills the others, and one that has
// another first part cached prefills all.
func TestLoadTrackerCachesPrefixPartByPart(t *testing.T) {
	l := placement.NewLoadTracker(0)
	request := func(parts ...string) placement.Request {
		r := placement.Request{Replicas: []string{"a"}, UnsharedMs: 5}
		for _, k := range parts {
			r.SharedPrefix = append(r.SharedPrefix, placement.PrefixPart{Key: k, PrefillMs: 100})
		}
		return r
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
		if g := l.Choose(request(c.parts...), noon); g.PrefillMs != c.want {
			t.Errorf("prefill time of %q: got %.0f ms, want %.0f ms", c.parts, g.PrefillMs, c.want)
		}
	}
}

// Guards against prompts that queue at one replica for longer than prefilling the
// shared part again at an idle one costs.
func TestLoadTrackerWeighsWaitAgainstReprefill(t *testing.T) {
	l := placement.NewLoadTracker(0)
	r := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 50, SharedPrefix: shared(100)}
	for i := range 19 {
		// Replica a has the shared part cached after the first prompt. With more
		// than 900 ms of work queued there, prefilling all at b costs less, and
		// then b has the part cached too.
		want := 0
		if i >= 17 {
			want = 1
		}
		if c := l.Choose(r, noon); c.Index != want {
			t.Errorf("prompt %d: got replica %d behind %.0f ms of work, want replica %d", i, c.Index, c.WaitMs, want)
		}
	}
}

// Guards against overload of a replica whose slots are busy after prefill: each busy
// slot adds to the cost of the replica until its expected end.
func TestLoadTrackerCountsBusySlots(t *testing.T) {
	l := placement.NewLoadTracker(0)
	r := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 1, SharedPrefix: shared(10), SlotMs: 1000}
	at := map[int]int{}
	for range 8 {
		c := l.Choose(r, noon)
		l.Prefilled(c.Ticket, noon)
		at[c.Index]++
	}
	// Each busy slot costs 20 ms, prefilling the shared part at b costs 90 ms.
	if at[0] != 5 || at[1] != 3 {
		t.Errorf("prompts by replica: got %v, want 5 at replica 0 and 3 at replica 1", at)
	}
	if c := l.Choose(r, noon.Add(5*time.Second)); c.WaitMs != 0 || c.Index != 0 {
		t.Errorf("after the slots were released: got a wait of %.0f ms at replica %d, want 0 ms at replica 0", c.WaitMs, c.Index)
	}
}

// Guards against instances that each run into the same faulty replica: a fault that
// one instance reports makes the owner send the prompts of all instances elsewhere,
// until the fault has decayed.
func TestLoadTrackerAvoidsFaultyReplicas(t *testing.T) {
	l := placement.NewLoadTracker(0)
	r := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 10, SharedPrefix: shared(100), SlotMs: 100}
	want := "a"
	if g := l.Aborted(l.Choose(r, noon).Ticket, placement.Unreachable, noon); g != want {
		t.Errorf("replica that is avoided after the fault: got %q, want %q", g, want)
	}
	for range 3 {
		c := l.Choose(r, noon)
		if c.Index != 1 || c.WaitMs != 0 {
			t.Errorf("got replica %d with a wait of %.0f ms, want replica 1 with 0 ms", c.Index, c.WaitMs)
		}
		l.Prefilled(c.Ticket, noon)
	}
	later := noon.Add(10 * time.Second)
	if c := l.Choose(placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 10}, later); c.Index != 0 {
		t.Errorf("10 s after the fault: got replica %d, want 0", c.Index)
	}
}

// Guards against a withdrawn prompt that still counts at its replica, as a fault, as
// pending work or as a busy slot.
func TestLoadTrackerRemovesWithdrawnPrompts(t *testing.T) {
	l := placement.NewLoadTracker(0)
	r := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 10, SlotMs: 1000}
	for range 20 {
		c := l.Choose(r, noon)
		if c.WaitMs != 0 || c.Index != 0 {
			t.Fatalf("got a wait of %.0f ms at replica %d, want 0 ms at replica 0", c.WaitMs, c.Index)
		}
		l.Aborted(c.Ticket, placement.NoFault, noon)
	}
}

// Guards against needless traffic between data centres: a prompt goes to a remote
// replica only if that has so much of its prefix cached that prefilling it locally
// costs more than the penalty for distance.
func TestLoadTrackerPrefersItsDataCentre(t *testing.T) {
	for _, c := range []struct {
		shared float64
		want   int
	}{{3, 1}, {10, 0}} {
		l := placement.NewLoadTracker(0)
		r := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 10, SharedPrefix: shared(c.shared), RemotePenaltyMs: 30}
		l.Prefilled(l.Choose(r, noon).Ticket, noon)
		r.RemoteBits = 1 << 0
		if got := l.Choose(r, noon); got.Index != c.want {
			t.Errorf("with %.0f ms of prefix cached at the remote replica: got replica %d, want %d", c.shared, got.Index, c.want)
		}
	}
}

// Guards against late first events: a shared part is prefilled again at another
// replica sooner if waiting for the one that has it cached would use up the time left.
func TestLoadTrackerReprefillsToBeInTime(t *testing.T) {
	l := placement.NewLoadTracker(0)
	r := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 50, SharedPrefix: shared(100), TimeLeftMs: 1000}
	n := 0
	for l.Choose(r, noon).Index == 0 {
		n++
	}
	// Each millisecond over 300 ms counts nine times, so 400 ms of queued work cost
	// as much as prefilling all again.
	if n < 5 || n > 8 {
		t.Errorf("got %d prompts before the shared part was prefilled again, want 5 to 8", n)
	}
}

// Guards against work that stays pending forever because the datagram that reports its
// end was lost.
func TestLoadTrackerDropsUnreportedWork(t *testing.T) {
	l := placement.NewLoadTracker(0)
	r := placement.Request{Replicas: []string{"a"}, UnsharedMs: 100}
	l.Choose(r, noon)
	if c := l.Choose(r, noon.Add(time.Second)); c.WaitMs != 100 {
		t.Errorf("after 1 s: got a wait of %.0f ms, want 100 ms", c.WaitMs)
	}
	if c := l.Choose(r, noon.Add(time.Minute)); c.WaitMs != 0 {
		t.Errorf("after a minute: got a wait of %.0f ms, want 0 ms", c.WaitMs)
	}
}

// Guards against pending work that drifts from the sum of the open prompts, as when the
// end of one is reported twice.
func TestLoadTrackerPendingWorkIsSumOfOpenPrompts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := placement.NewLoadTracker(rapid.Uint64().Draw(t, "start"))
		now := noon
		var open []placement.Choice
		want := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "read") {
				c := open[0]
				open = open[1:]
				l.Prefilled(c.Ticket, noon)
				l.Prefilled(c.Ticket, noon)
				want -= c.PrefillMs
				continue
			}
			c := l.Choose(placement.Request{Replicas: []string{"a"}, UnsharedMs: rapid.Float64Range(1, 100).Draw(t, "cost")}, now)
			if d := c.WaitMs - want; d > 1e-3 || d < -1e-3 {
				t.Fatalf("got a wait of %f ms, want %f ms", c.WaitMs, want)
			}
			want += c.PrefillMs
			open = append(open, c)
		}
	})
}

// Guards against requests that use up their attempts at dead replicas because the sound
// ones have long waits. An unreachable replica is excluded however long the others'
// waits are, is retried after growing intervals, and is used again once a prompt was
// prefilled there.
func TestUnreachableReplicasAreExcluded(t *testing.T) {
	l := placement.NewLoadTracker(0)
	now := noon
	try := func(why placement.Fault) bool {
		c := l.Choose(placement.Request{Replicas: []string{"dead", "busy"}, UnsharedMs: 900}, now)
		if c.Index == 0 && why != placement.NoFault {
			l.Aborted(c.Ticket, why, now)
		} else if c.Index == 0 {
			l.Prefilled(c.Ticket, now)
		}
		return c.Index == 0
	}
	for range 20 {
		l.Choose(placement.Request{Replicas: []string{"busy"}, UnsharedMs: 900}, now)
	}
	attempts := 0
	for range 300 {
		if try(placement.Unreachable) {
			attempts++
		}
		now = now.Add(10 * time.Millisecond)
	}
	// Two at first, then one after 0.25 s, 0.5 s and 1 s each.
	if attempts != 5 {
		t.Errorf("got %d attempts at an unreachable replica in 3 s, want 5", attempts)
	}
	now = now.Add(4 * time.Second)
	if !try(placement.NoFault) || !try(placement.Unreachable) || !try(placement.NoFault) {
		t.Error("replica is still excluded after a prompt was prefilled there")
	}
	both := placement.Request{Replicas: []string{"x", "y"}, UnsharedMs: 1}
	for range 8 {
		c := l.Choose(both, now)
		l.Aborted(c.Ticket, placement.Unreachable, now)
	}
	if c := l.Choose(both, now); c.Index < 0 {
		t.Error("got no replica while all are excluded, want one of them")
	}
}
