package placement_test

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fieldvale/peer"
	"fieldvale/placement"
)

// fleet connects nodes by datagrams that arrive at once. Their addresses are their ids.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]*placement.Node
	// lost reports whether a datagram is lost; nil if none is.
	lost func(from, to string, b []byte) bool
	// old are the instances of the previous build, which ignore reports of runs.
	old []string
	// down are the instances that neither receive nor do anything.
	down []string
	// collections counts the requests for runs.
	collections int
	// logged sums the field of each log event that counts runs, by event and instance.
	logged map[[2]string]int
}

// log returns the log function of one node.
func (f *fleet) log(id string) func(string, ...any) {
	return func(event string, fields ...any) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i, k := range fields {
			if k == "not_known_before" || k == "runs" && event == "runs_reported" {
				f.logged[[2]string{event, id}] += fields[i+1].(int)
			}
		}
	}
}

// link sends the datagrams of one node.
type link struct {
	f    *fleet
	from string
}

func (l link) Send(to string, b []byte) error {
	f := l.f
	var m map[string]json.RawMessage
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	f.mu.Lock()
	if m["o"] != nil {
		f.collections++
	}
	n := f.nodes[to]
	lost := slices.Contains(f.down, to) || slices.Contains(f.down, l.from) || f.lost != nil && f.lost(l.from, to, b)
	old := slices.Contains(f.old, to)
	f.mu.Unlock()
	if lost {
		return nil
	}
	if old {
		for _, k := range []string{"g", "w", "s", "o"} {
			delete(m, k)
		}
		b, _ = json.Marshal(m)
	}
	n.Receive(l.from, b)
	return nil
}

// set changes the fleet's failures.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// newFleet returns nodes that tick until the test ends, and the members that they know.
func newFleet(t *testing.T, names ...string) (*fleet, []peer.Member) {
	f := &fleet{nodes: map[string]*placement.Node{}, logged: map[[2]string]int{}}
	var members []peer.Member
	for i, id := range names {
		members = append(members, peer.Member{ID: id, Addr: id})
		f.nodes[id] = placement.NewNode(id, uint64(i+1)<<32, link{f, id}, time.Now, f.log(id))
	}
	done := make(chan struct{})
	for _, id := range names {
		f.nodes[id].SetMembers(members)
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				f.mu.Lock()
				down := slices.Contains(f.down, id)
				f.mu.Unlock()
				if !down {
					f.nodes[id].Tick()
				}
			}
		}()
	}
	t.Cleanup(func() { close(done) })
	return f, members
}

// placedRun is a run that a test placed.
type placedRun struct {
	node   *placement.Node
	ticket placement.Ticket
}

const (
	group   = "chat/0"
	pace    = 0.25
	memory  = 1000.0
	replica = "r"
)

// place places a run by completion, which is expected to take between nine seconds and its deadline.
func (f *fleet) place(id string) (placedRun, bool) {
	r := placement.Request{Replicas: []string{replica}, UnsharedMs: 100, ByCompletion: true, Pace: pace, OutputTokens: 1800, MemoryTokens: memory, DeadlineMs: 60_000}
	_, k, ok := f.nodes[id].Choose(context.Background(), group, r)
	return placedRun{f.nodes[id], k}, ok
}

// placeMany places n runs from each node; every other prompt is prefilled.
func (f *fleet) placeMany(t *testing.T, n int, names ...string) []placedRun {
	t.Helper()
	var l []placedRun
	for _, id := range names {
		for i := range n {
			r, ok := f.place(id)
			if !ok {
				t.Fatalf("instance %s: got no choice, want one", id)
			}
			if i%2 == 0 {
				r.node.ReportPrefilled(r.ticket)
			}
			l = append(l, r)
		}
	}
	return l
}

// checkWork checks what the node counts, for so many open runs of which the given number
// are not prefilled yet.
func (f *fleet) checkWork(t *testing.T, when, id string, runs, unread int) {
	t.Helper()
	want := placement.Work{Runs: runs, Paces: pace * float64(runs), Memory: memory * float64(runs), Pending: 100 * float64(unread)}
	got := f.nodes[id].WorkAt(replica)
	if got.Runs != want.Runs || math.Abs(got.Paces-want.Paces) > 1e-6 || math.Abs(got.Memory-want.Memory) > 1e-6 || math.Abs(got.Pending-want.Pending) > 1e-6 {
		t.Errorf("%s, at %s: got %+v, want %+v", when, id, got, want)
	}
}

// end ends all runs as a request does, prefilled or not.
func end(l []placedRun) {
	for i, r := range l {
		if i%2 == 0 {
			r.node.ReportEnded(r.ticket)
		} else {
			r.node.ReportAborted(r.ticket, placement.NoFault)
		}
	}
}

var instances = []string{"i1", "i2", "i3", "i4", "i5", "i6"}

// without returns the instances except the given ones, in their order.
func without(names ...string) []string {
	return slices.DeleteFunc(slices.Clone(instances), func(id string) bool { return slices.Contains(names, id) })
}

// remaining returns the members except one.
func remaining(l []peer.Member, id string) []peer.Member {
	return slices.DeleteFunc(slices.Clone(l), func(m peer.Member) bool { return m.ID == id })
}

// Guards against a new owner that knows nothing, or only the runs of instances with new
// requests, when the owner is lost at the peak: within a second it counts all of them
// once, and none after they have ended.
func TestNewOwnerCountsOpenRuns(t *testing.T) {
	for _, c := range []struct {
		name string
		// removed has the owner removed from the list of members; otherwise it is silent.
		removed bool
		// lost loses the first datagram between each two instances that has this field.
		lost string
	}{
		{"silent", false, ""},
		{"removed from the list", true, ""},
		{"a report is lost", true, "w"},
		{"a request for reports is lost", false, "o"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, members := newFleet(t, instances...)
				owner := f.nodes["i1"].Owner(group)
				others := without(owner)
				open := f.placeMany(t, 40, others...)
				f.set(func() {
					f.down = []string{owner}
					first := map[string]bool{}
					f.lost = func(from, to string, b []byte) bool {
						var m map[string]json.RawMessage
						if c.lost == "" || json.Unmarshal(b, &m) != nil || m[c.lost] == nil || first[from+to] {
							return false
						}
						first[from+to] = true
						return true
					}
				})
				if c.removed {
					for _, id := range others {
						f.nodes[id].SetMembers(remaining(members, owner))
					}
				} else if _, ok := f.place(others[0]); ok {
					t.Error("choice of a lost owner: got one, want none")
				}
				next := f.nodes[others[0]].Owner(group)
				time.Sleep(900 * time.Millisecond)
				f.checkWork(t, "0.9 s after the loss", next, len(open), len(open)/2)
				open[1].node.ReportPrefilled(open[1].ticket)
				f.checkWork(t, "after one more was prefilled", next, len(open), len(open)/2-1)
				if n := f.nodes[next].RunCounts(); n.Known != len(open) || n.Received < uint64(len(open)) {
					t.Errorf("counts at the new owner: got %+v, want %d known and at least as many received", n, len(open))
				}
				end(open)
				f.checkWork(t, "after all ended", next, 0, 0)
				time.Sleep(time.Second)
				f.set(func() {
					if n := f.logged[[2]string{"runs_received", next}]; n != len(open) {
						t.Errorf("runs that the new owner logged: got %d, want %d", n, len(open))
					}
					if n := f.logged[[2]string{"runs_reported", others[0]}]; n != 40 {
						t.Errorf("runs that an instance logged: got %d, want 40", n)
					}
				})
			})
		})
	}
}

// Guards against an instance that can't reach the owner and so disturbs the others: its
// runs go to the next owner, which finds that the owner answers and asks no other
// instance for runs.
func TestOneWayLinkMovesOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFleet(t, instances...)
		owner := f.nodes["i1"].Owner(group)
		others := without(owner)
		open := f.placeMany(t, 10, others...)
		cut := others[0]
		f.set(func() { f.lost = func(from, to string, _ []byte) bool { return from == cut && to == owner } })
		f.place(cut)
		next := f.nodes[cut].Owner(group)
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			if r, ok := f.place(cut); ok {
				r.node.ReportAborted(r.ticket, placement.NoFault)
			}
		}
		f.checkWork(t, "at the owner", owner, len(open), len(open)/2)
		if cut != next {
			f.checkWork(t, "at the next owner", next, 10, 5)
		}
		f.set(func() {
			if f.collections != 0 {
				t.Errorf("requests for runs: got %d, want none", f.collections)
			}
			f.lost = nil
		})
		end(open)
		f.checkWork(t, "after all ended", owner, 0, 0)
		f.checkWork(t, "after all ended", next, 0, 0)
	})
}

// Guards against an owner that is avoided, and a message to each member, because a client
// disconnected while its request waited for the owner's answer.
func TestCancelledRequestsDoNotMoveTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFleet(t, instances...)
		owner := f.nodes["i1"].Owner(group)
		n := f.nodes[without(owner)[0]]
		f.set(func() { f.lost = func(string, string, []byte) bool { return true } })
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		n.Choose(ctx, group, placement.Request{Replicas: []string{replica}, ByCompletion: true})
		if o := n.Owner(group); o != owner {
			t.Errorf("owner after a cancelled request: got %s, want %s", o, owner)
		}
	})
}

// Guards against runs that stay at one of two owners at once, which instances with
// different lists of members have: each owner knows the runs that were reported to it,
// and forgets them when they end.
func TestTwoOwnersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, members := newFleet(t, instances...)
		owner := f.nodes["i1"].Owner(group)
		others := without(owner)
		open := f.placeMany(t, 10, others...)
		for _, id := range others[:2] {
			f.nodes[id].SetMembers(remaining(members, owner))
		}
		next := f.nodes[others[0]].Owner(group)
		late := f.placeMany(t, 2, others...)
		time.Sleep(time.Second)
		f.checkWork(t, "two owners", next, 24, 12)
		end(append(open, late...))
		for _, id := range instances {
			f.checkWork(t, "after all ended", id, 0, 0)
		}
	})
}

// Guards against an owner that comes back from a suspension without the runs that were
// placed meanwhile, with runs counted twice, or with runs that ended meanwhile and stay
// for longer than their expected end and the expiry.
func TestSuspendedOwnerComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFleet(t, instances...)
		owner := f.nodes["i1"].Owner(group)
		others := without(owner)
		before := f.placeMany(t, 10, others...)
		f.set(func() { f.down = []string{owner} })
		f.place(others[0])
		time.Sleep(500 * time.Millisecond)
		next := f.nodes[others[0]].Owner(group)
		f.checkWork(t, "during the suspension", next, 50, 25)
		meanwhile := f.placeMany(t, 4, others[0])
		end(before[:10])
		time.Sleep(2500 * time.Millisecond)
		f.set(func() { f.down = nil })
		time.Sleep(2 * time.Second)
		if o := f.nodes[others[1]].Owner(group); o != owner {
			t.Errorf("owner after the suspension: got %s, want %s", o, owner)
		}
		if w := f.nodes[owner].WorkAt(replica); w.Runs != 54 {
			t.Errorf("runs at the owner: got %d, want 44 open ones and 10 whose ends it missed", w.Runs)
		}
		if w := f.nodes[next].WorkAt(replica); w.Runs != 44 {
			t.Errorf("runs at the other owner: got %d, want 44", w.Runs)
		}
		end(before[10:])
		end(meanwhile)
		f.checkWork(t, "after all ended", next, 0, 0)
		if w := f.nodes[owner].WorkAt(replica); w.Runs != 10 {
			t.Errorf("runs at the owner after all ended: got %d, want 10", w.Runs)
		}
		time.Sleep(2 * time.Minute)
		f.checkWork(t, "after the expiry", owner, 0, 0)
	})
}

// Guards against an instance that was suspended and then reports runs that ended long
// ago.
func TestSuspendedInstanceReportsNoOldRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, members := newFleet(t, instances...)
		owner := f.nodes["i1"].Owner(group)
		asleep := without(owner)[0]
		f.placeMany(t, 10, asleep)
		f.set(func() { f.down = []string{asleep} })
		time.Sleep(2 * time.Minute)
		f.set(func() { f.down = nil })
		f.nodes[asleep].SetMembers(remaining(members, owner))
		time.Sleep(time.Second)
		for _, id := range instances {
			f.checkWork(t, "after the suspension", id, 0, 0)
		}
		if n := f.nodes[asleep].OpenRuns(); n != 0 {
			t.Errorf("open runs at the instance: got %d, want 0", n)
		}
	})
}

// Guards against harm by instances of the previous build, which ignore reports of runs
// and send none, as the new owner or as others.
func TestPreviousBuildIgnoresReports(t *testing.T) {
	for _, c := range []struct {
		name    string
		isOwner bool
		runs    int
	}{{"the new owner is of the previous build", true, 0}, {"one other instance is", false, 40}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, members := newFleet(t, instances...)
				owner := f.nodes["i1"].Owner(group)
				f.nodes["i1"].SetMembers(remaining(members, owner))
				next := f.nodes["i1"].Owner(group)
				f.nodes["i1"].SetMembers(members)
				others := without(owner, next)
				f.old = others[:1]
				open := f.placeMany(t, 10, others...)
				want := 30
				if c.isOwner {
					f.old, want = []string{next}, 0
				}
				f.set(func() { f.down = []string{owner} })
				f.place(others[1])
				time.Sleep(900 * time.Millisecond)
				if w := f.nodes[next].WorkAt(replica); w.Runs != want {
					t.Errorf("runs at the new owner: got %d, want %d", w.Runs, want)
				}
				more := f.placeMany(t, 2, others[1])
				end(append(open, more...))
				f.checkWork(t, "after all ended", next, 0, 0)
			})
		})
	}
}

// Guards against memory that grows without bound with the runs of an instance, and with
// the runs that an owner knows.
func TestOpenRunsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, members := newFleet(t, instances...)
		owner := f.nodes["i1"].Owner(group)
		others := without(owner)
		for _, id := range others {
			for range 2000 {
				f.place(id)
			}
			if n := f.nodes[id].OpenRuns(); n != 1024 {
				t.Errorf("open runs at %s: got %d, want 1024", id, n)
			}
		}
		if w := f.nodes[owner].WorkAt(replica); w.Runs != 8192 {
			t.Errorf("runs at the owner: got %d, want 8192", w.Runs)
		}
		for _, id := range others {
			f.nodes[id].SetMembers(remaining(members, owner))
		}
		if w := f.nodes[f.nodes[others[0]].Owner(group)].WorkAt(replica); w.Runs != 5*1024 {
			t.Errorf("runs at the new owner: got %d, want %d", w.Runs, 5*1024)
		}
	})
}

// Guards against sums that do not return to zero: an owner is sent runs and the reports
// of them in any order, some twice, among runs that it places itself, also under the
// same numbers.
func TestWorkReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tickets = 30
		l := placement.NewLoadTracker(0)
		now := noon
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			ticket := rapid.Uint64Range(1, tickets).Draw(t, "ticket")
			switch rapid.SampledFrom([]string{"place", "run", "run not prefilled", "prefilled", "ended", "aborted"}).Draw(t, "report") {
			case "place":
				if l.Choose(placement.Request{Replicas: []string{"a", "b"}, UnsharedMs: 30, ByCompletion: true, Pace: 0.1, OutputTokens: 90, MemoryTokens: 700}, now).Ticket > tickets {
					return
				}
			case "run":
				l.ReportRun(ticket, "a", 0.3, 500, 0, now.Add(time.Second), now)
			case "run not prefilled":
				l.ReportRun(ticket, "b", 0.7, 900, 40, now.Add(time.Second), now)
			case "prefilled":
				l.Prefilled(ticket, now)
			case "ended":
				l.Ended(ticket)
				if l.ReportRun(ticket, "a", 0.3, 500, 0, now.Add(time.Second), now) {
					t.Errorf("report of run %d after its end: got counted, want ignored", ticket)
				}
			case "aborted":
				l.Aborted(ticket, placement.NoFault, now)
			}
		}
		for ticket := range uint64(tickets) {
			l.Ended(ticket + 1)
		}
		for _, id := range []string{"a", "b"} {
			if w := l.WorkAt(id, now); w.Runs != 0 || w.Paces != 0 || w.Memory != 0 || w.Pending != 0 {
				t.Errorf("at replica %s after all ended: got %+v, want no work", id, w)
			}
		}
	})
}

// Guards against reports whose numbers would make an owner's sums useless.
func TestImplausibleRunsAreIgnored(t *testing.T) {
	for name, report := range map[string]func(l *placement.LoadTracker) bool{
		"no ticket":        func(l *placement.LoadTracker) bool { return l.ReportRun(0, "a", 1, 1, 1, noon, noon) },
		"negative pace":    func(l *placement.LoadTracker) bool { return l.ReportRun(1, "a", -1, 1, 1, noon, noon) },
		"negative memory":  func(l *placement.LoadTracker) bool { return l.ReportRun(1, "a", 1, -1, 1, noon, noon) },
		"negative prefill": func(l *placement.LoadTracker) bool { return l.ReportRun(1, "a", 1, 1, -1, noon, noon) },
		"ended long ago":   func(l *placement.LoadTracker) bool { return l.ReportRun(1, "a", 1, 1, 1, noon.Add(-time.Minute), noon) },
	} {
		if report(placement.NewLoadTracker(0)) {
			t.Errorf("%s: got counted, want ignored", name)
		}
	}
}

// Guards against runs that are counted for hours if the end is not reported, because an
// overloaded replica was expected to take as long.
func TestExpectedEndIsBounded(t *testing.T) {
	l := placement.NewLoadTracker(1 << 40)
	l.ReportRun(1, "a", 1, 1, 0, noon.Add(5*time.Hour), noon)
	l.Choose(placement.Request{Replicas: []string{"a"}, ByCompletion: true, Pace: 1, OutputTokens: 1e9}, noon)
	l.Choose(placement.Request{Replicas: []string{"a"}, ByCompletion: true, Pace: 1, OutputTokens: 1e9, DeadlineMs: 20_000}, noon)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{29 * time.Second, 3}, {31 * time.Second, 2}, {609 * time.Second, 2}, {611 * time.Second, 0}} {
		now := noon.Add(c.after)
		l.Choose(placement.Request{Replicas: []string{"b"}}, now)
		if w := l.WorkAt("a", now); w.Runs != c.want {
			t.Errorf("runs after %v: got %d, want %d", c.after, w.Runs, c.want)
		}
	}
}
