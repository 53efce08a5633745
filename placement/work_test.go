package placement_test

import (
	"testing"
	"time"

	"fieldvale/placement"
)

// stream returns a request for one replica that is placed by completion.
func stream(replica string) placement.Request {
	return placement.Request{Replicas: []string{replica}, UnsharedMs: 1000, ByCompletion: true, Pace: 0.1, OutputTokens: 100, MemoryTokens: 1000, ReplicaMemoryTokens: 2500}
}

// Guards against a replica that looks busy with prefill that never happened, because the
// prompt was refused there or withdrawn.
func TestAbortedPromptsDoNotCountAsPrefill(t *testing.T) {
	l := placement.NewLoadTracker(0)
	for i := range 10 {
		now := noon.Add(time.Duration(i) * 50 * time.Millisecond)
		l.Aborted(l.Choose(stream("a"), now).Ticket, placement.Rejected, now.Add(20*time.Millisecond))
	}
	if w := l.WorkAt("a", noon.Add(time.Second)); w.PrefillFraction > 1e-9 {
		t.Errorf("prefill fraction after prompts that were all refused: got %f, want 0", w.PrefillFraction)
	}
}

// Guards against streams that are sent to a replica that prefills all the time, because
// those prompts are of routes that are not placed by completion.
func TestAllPromptsCountAsPrefill(t *testing.T) {
	l := placement.NewLoadTracker(0)
	l.Prefilled(l.Choose(placement.Request{Replicas: []string{"a"}, UnsharedMs: 2000}, noon).Ticket, noon)
	r := stream("a")
	r.Replicas = []string{"a", "b"}
	if c := l.Choose(r, noon); c.Index != 1 {
		t.Errorf("got replica %d, want 1, which prefilled nothing lately", c.Index)
	}
}

// Guards against replicas that look idle although they prefill all the time, since withdrawn prompts
// are subtracted that were not counted, as too many runs are known.
func TestPrefillOfUncountedRunsIsCounted(t *testing.T) {
	l := placement.NewLoadTracker(0)
	r := stream("a")
	r.UnsharedMs, r.OutputTokens = 0.1, 1e6
	for range 8192 {
		l.Prefilled(l.Choose(r, noon).Ticket, noon)
	}
	before := l.WorkAt("b", noon)
	r.Replicas, r.UnsharedMs = []string{"b"}, 1000
	l.Prefilled(l.Choose(r, noon).Ticket, noon)
	one := l.WorkAt("b", noon)
	l.Aborted(l.Choose(r, noon).Ticket, placement.NoFault, noon)
	if w := l.WorkAt("b", noon); before.PrefillFraction != 0 || one.PrefillFraction != 0.25 || w.PrefillFraction != 0.25 || w.Runs != 0 {
		t.Errorf("got %+v, %+v after a prompt and %+v after one that was withdrawn, want fractions of 0, 0.25 and 0.25", before, one, w)
	}
}

// Guards against prompts that are not placed by completion being sent to a replica full of
// streams, because the slots of those that are placed by completion are not counted.
func TestRunsHoldSlots(t *testing.T) {
	l := placement.NewLoadTracker(0)
	for range 10 {
		r := stream("a")
		r.SlotMs = 5000
		l.Prefilled(l.Choose(r, noon).Ticket, noon)
	}
	r := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 100, SlotMs: 5000}
	if c := l.Choose(r, noon); c.Index != 1 {
		t.Errorf("got replica %d, want 1, where no slot is in use", c.Index)
	}
}

// Guards against pending prefill that outlasts its run because the report of its end was
// lost.
func TestEndedRunsLeaveNoPendingPrefill(t *testing.T) {
	l := placement.NewLoadTracker(0)
	l.Ended(l.Choose(stream("a"), noon).Ticket)
	if w := l.WorkAt("a", noon); w.Pending != 0 || w.Runs != 0 {
		t.Errorf("after the end: got %+v, want nothing pending", w)
	}
}

// Guards against runs that preempt others: a replica whose memory is full is avoided
// although it has cached the prefix.
func TestFullMemoryIsAvoided(t *testing.T) {
	l := placement.NewLoadTracker(0)
	r := stream("a")
	r.UnsharedMs, r.SharedPrefix = 1, shared(100)
	for range 2 {
		l.Prefilled(l.Choose(r, noon).Ticket, noon)
	}
	r.Replicas = []string{"a", "b"}
	if c := l.Choose(r, noon); c.Index != 1 {
		t.Errorf("got replica %d, want 1, whose memory is empty", c.Index)
	}
}

// Guards against short answers that wait behind a long prompt in order to spare streams
// elsewhere that they slow by little.
func TestShortAnswersAvoidLongWaits(t *testing.T) {
	l := placement.NewLoadTracker(0)
	long := placement.Request{Replicas: []string{"a"}, UnsharedMs: 300, ByCompletion: true, Pace: 0.025, OutputTokens: 400}
	l.Choose(long, noon)
	long.Replicas, long.UnsharedMs = []string{"b"}, 1
	for range 8 {
		l.Prefilled(l.Choose(long, noon).Ticket, noon)
	}
	short := placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 60, ByCompletion: true, Pace: 0.025, OutputTokens: 27}
	if c := l.Choose(short, noon); c.Index != 1 {
		t.Errorf("got replica %d with %.0f ms to the end, want replica 1", c.Index, c.FinishMs)
	}
}

// Guards against the delay of streams that have ended, in place of those that run on.
func TestDelayIsOfRunningStreams(t *testing.T) {
	place := func(l *placement.LoadTracker, tokens float64) placement.Choice {
		r := stream("a")
		r.OutputTokens = tokens
		c := l.Choose(r, noon)
		l.Prefilled(c.Ticket, noon)
		return c
	}
	l := placement.NewLoadTracker(0)
	first := place(l, 1e5)
	place(l, 1)
	place(l, 1)
	l.Ended(first.Ticket)
	one := place(l, 1e4).OthersMs
	// Two streams are stalled by 1,000 ms of prefill, and end within 3 s, in which they
	// are slowed by a fifth.
	if one < 2000 || one > 3500 {
		t.Errorf("delay of two short streams: got %.0f ms, want 2,000 to 3,500 ms", one)
	}
}

// TestWithdrawnPromptLeavesNoCacheEntry guards against shared parts that count as cached at a
// replica that was only asked about, after which other prompts are sent there and read them.
func TestWithdrawnPromptLeavesNoCacheEntry(t *testing.T) {
	l, now := placement.NewLoadTracker(1), time.Unix(1000, 0)
	q := placement.Request{
		Replicas: []string{"a"}, UnsharedMs: 10, SharedPrefix: []placement.PrefixPart{{Key: "p", PrefillMs: 50}},
		ByCompletion: true, Pace: 0.01, OutputTokens: 10, DeadlineMs: 5000,
	}
	c := l.Choose(q, now)
	l.Aborted(c.Ticket, placement.NoFault, now)
	if c = l.Choose(q, now); c.PrefillMs != 60 {
		t.Errorf("prefill after a withdrawn placement takes %v ms, want 60", c.PrefillMs)
	}
	l.Prefilled(c.Ticket, now)
	c = l.Choose(q, now)
	l.Aborted(c.Ticket, placement.NoFault, now)
	if c = l.Choose(q, now); c.PrefillMs != 10 {
		t.Errorf("prefill after a prompt was read takes %v ms, want 10", c.PrefillMs)
	}
}

// TestFailingReplicaIsNotTakenForAnIdleOne guards against a replica that resets each prompt and gets
// most of them, because it has no runs and its answers seem to be complete first.
func TestFailingReplicaIsNotTakenForAnIdleOne(t *testing.T) {
	const requests, most = 300, 30
	l := placement.NewLoadTracker(1)
	q := stream("bad")
	q.Replicas, q.UnsharedMs, q.OutputTokens, q.ReplicaMemoryTokens = []string{"bad", "a", "b", "c"}, 100, 300, 0
	failed, ends := 0, map[uint64]time.Time{}
	for i := range requests {
		now := noon.Add(time.Duration(i) * 100 * time.Millisecond)
		for k, e := range ends {
			if !e.After(now) {
				l.Ended(k)
				delete(ends, k)
			}
		}
		c := l.Choose(q, now)
		if c.Index == 0 {
			failed++
			l.Aborted(c.Ticket, placement.Failed, now)
			continue
		}
		l.Prefilled(c.Ticket, now)
		ends[c.Ticket] = now.Add(time.Duration(c.FinishMs) * time.Millisecond)
	}
	if failed > most {
		t.Errorf("%d of %d prompts went to a replica that fails all of them, want %d at most", failed, requests, most)
	}
}
