package placement_test

import (
	"testing"
	"time"

	"fieldvale/placement"
)

// TestGenerationTimeIsLearned guards against placement by an estimate that fits one engine only: on
// another one with steps three times as long, generation would count for a third.
func TestGenerationTimeIsLearned(t *testing.T) {
	const slower = 3
	l, now := placement.NewLoadTracker(1), noon
	q := stream("a")
	q.Group, q.ReplicaMemoryTokens = "slow", 0
	first := l.Choose(q, now)
	l.Prefilled(first.Ticket, now)
	generate := first.FinishMs - first.WaitMs - first.PrefillMs
	c := first
	for range 300 {
		now = now.Add(time.Duration(slower * generate * float64(time.Millisecond)))
		l.AnswerEnded(c.Ticket, now)
		now = now.Add(time.Minute)
		c = l.Choose(q, now)
		l.Prefilled(c.Ticket, now)
	}
	got := (c.FinishMs - c.WaitMs - c.PrefillMs) / generate
	if got < 0.9*slower || got > 1.1*slower {
		t.Errorf("after 300 answers that took %d times the estimate, the estimate is %.2f times the first", slower, got)
	}
	q.Group = "other"
	if c = l.Choose(q, now.Add(time.Minute)); c.FinishMs > 1.1*first.FinishMs {
		t.Errorf("another group's answer is expected after %.0f ms, want %.0f ms as before", c.FinishMs, first.FinishMs)
	}
}

// TestBrokenOffAnswersDoNotDistortEstimates guards against estimates near zero, or without bound, after
// many answers that were broken off at once, or replicas that stood still.
func TestBrokenOffAnswersDoNotDistortEstimates(t *testing.T) {
	for _, took := range []time.Duration{0, time.Hour} {
		l, now := placement.NewLoadTracker(1), noon
		q := stream("a")
		q.Group, q.ReplicaMemoryTokens = "g", 0
		first := l.Choose(q, now)
		c := first
		for range 300 {
			l.Prefilled(c.Ticket, now)
			now = now.Add(took)
			l.AnswerEnded(c.Ticket, now)
			now = now.Add(time.Minute)
			c = l.Choose(q, now)
		}
		got := (c.FinishMs - c.WaitMs - c.PrefillMs) / (first.FinishMs - first.WaitMs - first.PrefillMs)
		if got < 0.2 || got > 4.1 {
			t.Errorf("after answers that took %v, the estimate is %.2f times the first, want a quarter to four times", took, got)
		}
	}
}
