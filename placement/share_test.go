package placement_test

import (
	"fmt"
	"testing"
	"time"

	"fieldvale/placement"
)

// sharedRequest is a request of the customer that is placed by completion.
func sharedRequest(group, customer string) placement.Request {
	return placement.Request{Replicas: []string{group + "a", group + "b"}, Group: group, Customer: customer, UnsharedMs: 200, TimeLeftMs: 1500, ByCompletion: true, Pace: 0.02, OutputTokens: 100, DeadlineMs: 5000}
}

// placeAll places requests of the customer in the group.
func placeAll(l *placement.LoadTracker, group, customer string, n int) (last placement.Choice) {
	for range n {
		last = l.Choose(sharedRequest(group, customer), noon)
	}
	return last
}

// Guards against demotion in a group that serves its requests in time, whoever sends most of them,
// and because of the load of another group with the same owner.
func TestOnlyShortGroupsDemote(t *testing.T) {
	l := placement.NewLoadTracker(0)
	placeAll(l, "g", "small", 1)
	if c := placeAll(l, "g", "hot", 11); c.Demoted {
		t.Errorf("with %.0f ms of work before it: got %+v, want no demotion", c.WaitMs, c)
	}
	if c := placeAll(l, "g", "hot", 8); !c.Demoted || c.ShareUsed <= c.ShareFair || c.ShareFair <= 0 {
		t.Errorf("with too much work at all replicas: got %+v, want a demotion with the share", c)
	}
	if c := placeAll(l, "g", "small", 1); c.Demoted {
		t.Errorf("customer within its share of a short group: got %+v, want no demotion", c)
	}
	placeAll(l, "other", "small", 1)
	if c := placeAll(l, "other", "hot", 4); c.Demoted {
		t.Errorf("idle group of the same owner: got %+v, want no demotion", c)
	}
	late := sharedRequest("other", "hot")
	late.TimeLeftMs = 1
	if c := l.Choose(late, noon); c.Demoted {
		t.Errorf("late request in an idle group: got %+v, want no demotion", c)
	}
}

// Guards against refusals for a share of an idle group: a request whose answer is late on an idle
// replica as well, as it is long or was sent late, doesn't show that the group is short.
func TestLateAnswerOfIdleGroupIsNotDemoted(t *testing.T) {
	l := placement.NewLoadTracker(0)
	r := sharedRequest("g", "hot")
	r.UnsharedMs, r.OutputTokens, r.DeadlineMs = 1, 1000, 20_000
	for range 9 {
		l.Ended(l.Choose(r, noon).Ticket)
	}
	placeAll(l, "g", "small", 1)
	r.DeadlineMs = 2000
	if c := l.Choose(r, noon); c.Demoted {
		t.Errorf("with %.0f ms of work before it: got %+v, want no demotion", c.WaitMs, c)
	}
}

// Guards against answers that are all late, while no prompts wait, since too many streams run at
// all replicas.
func TestGroupWithSlowStreamsDemotes(t *testing.T) {
	l := placement.NewLoadTracker(0)
	r := sharedRequest("g", "hot")
	r.UnsharedMs, r.OutputTokens, r.DeadlineMs = 1, 500, 60_000
	other := r
	other.Customer = "small"
	l.Prefilled(l.Choose(other, noon).Ticket, noon)
	for i := range 80 {
		c := l.Choose(r, noon)
		if l.Prefilled(c.Ticket, noon); c.Demoted {
			t.Fatalf("stream %d, with %.0f ms of 60 s: got %+v, want no demotion", i, c.FinishMs, c)
		}
	}
	r.DeadlineMs = 4000
	if c := l.Choose(r, noon); !c.Demoted || c.WaitMs > 0 {
		t.Errorf("finish after %.0f ms of 4 s: got %+v, want a demotion without a wait", c.FinishMs, c)
	}
	r.Customer = "small"
	if c := l.Choose(r, noon); c.Demoted {
		t.Errorf("customer within its share: got %+v, want no demotion", c)
	}
}

// Guards against demotion of requests that are placed as before: those of routes with short
// pauses, those from instances of the previous build, which send no group, and those for a
// single replica, which doesn't show the load of the group.
func TestOtherRequestsAreNotDemoted(t *testing.T) {
	for name, change := range map[string]func(*placement.Request){
		"by first event": func(r *placement.Request) { r.ByCompletion = false },
		"without group":  func(r *placement.Request) { r.Group = "" },
		"one candidate":  func(r *placement.Request) { r.Replicas = r.Replicas[:1] },
	} {
		l := placement.NewLoadTracker(0)
		placeAll(l, "g", "small", 1)
		for i := range 12 {
			r := sharedRequest("g", "hot")
			for j := range 8 {
				r.Replicas = append(r.Replicas, fmt.Sprint("idle", i, j))
			}
			r.Replicas = append(r.Replicas[2:], r.Replicas[:2]...)
			l.Choose(r, noon)
		}
		for range 40 {
			r := sharedRequest("g", "hot")
			change(&r)
			if c := l.Choose(r, noon); c.Demoted {
				t.Errorf("%s: got %+v, want no demotion", name, c)
				break
			}
		}
	}
}

// Guards against long waits of customers within their shares behind the demoted work of another:
// engines prefill that later.
func TestDemotedWorkDoesNotDelayOthers(t *testing.T) {
	l := placement.NewLoadTracker(0)
	placeAll(l, "g", "small", 1)
	hot := placeAll(l, "g", "hot", 39)
	small := placeAll(l, "g", "small", 1)
	if !hot.Demoted || small.WaitMs > 2000 || hot.WaitMs < 3500 {
		t.Errorf("got waits of %.0f ms for the hot customer and %.0f ms for the small one, want 3500 or more and 2000 or less", hot.WaitMs, small.WaitMs)
	}
	for i := range uint64(41) {
		l.Prefilled(i+1, noon)
	}
	if c := placeAll(l, "g", "small", 1); c.WaitMs != 0 {
		t.Errorf("after all prompts were prefilled: got a wait of %.0f ms, want 0 ms", c.WaitMs)
	}
}

// Guards against work that stays with its customer although it was refused or has left the window.
func TestWorkSharesFollowThePlacedWork(t *testing.T) {
	l := placement.NewLoadTracker(0)
	placeAll(l, "g", "a", 3)
	placeAll(l, "h", "b", 1)
	if m := l.WorkShares(noon); m["a"] != 0.75 || m["b"] != 0.25 {
		t.Errorf("got shares %v, want 0.75 for a and 0.25 for b", m)
	}
	for i := range uint64(3) {
		l.Aborted(i+1, placement.NoFault, noon)
	}
	if m := l.WorkShares(noon); m["a"] != 0 || m["b"] != 1 {
		t.Errorf("after the work of a was withdrawn: got shares %v, want 1 for b", m)
	}
	if m := l.WorkShares(noon.Add(10 * time.Second)); len(m) != 0 {
		t.Errorf("after the window: got shares %v, want none", m)
	}
}

// BenchmarkChooseInShortGroup places a request in a short group of 48 replicas with 25 streams each,
// which 64 customers use: 65 us, of which the decision on the share takes 13 us.
func BenchmarkChooseInShortGroup(b *testing.B) {
	l := placement.NewLoadTracker(0)
	r := sharedRequest("g", "")
	r.Replicas = replicaIDs(0, 48)
	for i := range 1200 {
		r.Customer = fmt.Sprint("c", i*i%97)
		l.Choose(r, noon)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Aborted(l.Choose(r, noon).Ticket, placement.NoFault, noon)
	}
}
