package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"fieldvale/peer"
	"fieldvale/quota"
)

// bound is that of a replica which bears 13 requests a second while it is cold, and
// may get 24.5.
var bound = quota.ColdBound{Overage: 1.5, Slack: 5}

const (
	bears    = 13.0
	mayReach = 24.5
)

func ExampleColdBound() {
	fmt.Println(bound.PerOwner(13), quota.ColdBound{Overage: 4}.PerOwner(13), quota.ColdBound{Overage: 1}.PerOwner(1))
	// Output: 12.25 13 0.5
}

// alone is a node that is the whole fleet, and has settled.
func alone(now *time.Time, isCurrent bool) *quota.Node {
	n := quota.NewNode(0, quota.Config{Self: "n", Net: silence{}, Clock: func() time.Time { return *now }, IsMembershipCurrent: func() bool { return isCurrent }, FleetSize: func() int { return 1 }, Rand: rand.Float64, Log: func(string, ...any) {}})
	n.SetMembers([]peer.Member{{ID: "n", Addr: "n"}})
	for range 50 {
		*now = now.Add(100 * time.Millisecond)
		n.Tick()
	}
	return n
}

// silence delivers nothing.
type silence struct{}

func (silence) Send(string, []byte) error { return nil }

// coldAsk asks for a place at one replica that bears so many requests a second; says is
// whether it says itself that it is cold.
func coldAsk(perSecond float64, says bool) quota.PermitRequest {
	return quota.PermitRequest{Service: "s", Candidates: []quota.Candidate{{Replica: "cold", Bound: quota.Bound{ColdPerSecond: perSecond}, ReportsCold: says}}}
}

// A cold replica gets no more in any second than who counts may let go; without the right of
// the only one who counts it gets nothing.
func TestNodeBoundsColdReplicas(t *testing.T) {
	for _, c := range []struct {
		name      string
		isCurrent bool
		want      string
	}{
		{"the only one who counts", true, "----0--0--0---0--0--"},
		{"perhaps another one counts", false, "--------------------"},
	} {
		now := noon
		n := alone(&now, c.isCurrent)
		got := ""
		for range c.want {
			got += grant(n.Take(t.Context(), coldAsk(3, true)))
			now = now.Add(100 * time.Millisecond)
			n.Tick()
		}
		if got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

func grant(v quota.PermitResult) string {
	if v.Index < 0 {
		return "-"
	}
	return fmt.Sprint(v.Index)
}

// A replica that could not be reached may have started again: it is bounded like a cold one
// until its own word would be there, also where another one may count.
func TestNodeBoundsWhatMayHaveStartedAgain(t *testing.T) {
	now := noon
	n := alone(&now, false)
	count := func() int {
		got := 0
		for range 10 {
			b := n.Bound("cold", 3, false)
			if !b.IsBounded() || n.Take(t.Context(), coldAsk(b.ColdPerSecond, false)).Index == 0 {
				got++
			}
		}
		return got
	}
	pass := func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			now = now.Add(100 * time.Millisecond)
			n.Tick()
		}
	}
	if g := count(); g != 10 {
		t.Errorf("%d requests in a moment before, want all 10", g)
	}
	n.Unreached("s", "cold")
	if g := count(); g != 0 {
		t.Errorf("%d requests in the moment that it could not be reached, want none", g)
	}
	pass(3 * time.Second)
	if g := count(); g != 3 {
		t.Errorf("%d requests in a moment, want 3", g)
	}
	pass(17 * time.Second)
	if g := count(); g != 10 {
		t.Errorf("%d requests in a moment long after, want all 10", g)
	}
}

// prompt is a fleet over a transport that delivers at once, or not at all.
type prompt struct {
	nodes  map[string]*quota.Node
	silent map[string]bool
}

type promptWire struct {
	fleet *prompt
	self  string
}

func (w promptWire) Send(addr string, b []byte) error {
	if n := w.fleet.nodes[addr]; n != nil && !w.fleet.silent[addr] {
		n.Receive(w.self, b)
	}
	return nil
}

func addr(i int) string { return fmt.Sprint("n", i) }

func memberList(from, to int) []peer.Member {
	var l []peer.Member
	for i := from; i < to; i++ {
		l = append(l, peer.Member{ID: addr(i), Addr: addr(i)})
	}
	return l
}

// start starts a node, or starts it again with nothing of before.
func (f *prompt) start(id string, list []peer.Member, current bool) {
	f.nodes[id] = quota.NewNode(rand.Uint64()>>16, quota.Config{
		Self: id, Net: promptWire{f, id}, Clock: time.Now, MaxPropagationDelay: 3 * time.Second, IsMembershipCurrent: func() bool { return current },
		FleetSize: func() int { return len(f.nodes) }, Rand: rand.Float64, Log: func(string, ...any) {},
	})
	f.nodes[id].SetMembers(list)
}

// pass has time pass for all nodes.
func (f *prompt) pass(d time.Duration) {
	for d > 0 {
		step := min(d, 50*time.Millisecond)
		time.Sleep(step)
		d -= step
		f.tick()
	}
}

func (f *prompt) tick() {
	for _, n := range f.nodes {
		n.Tick()
	}
}

// coldDay is what befalls a fleet while its replicas are cold.
type coldDay struct {
	nodes, before, perSecond int
	// oldLists of the nodes know only those that were there before; lost have no
	// current list, and empty none at all.
	oldLists, lost, empty, silent float64
	// restartAt is when all start again at once.
	restartAt time.Duration
	seed      uint64
}

// play has nodes ask for a place for eight seconds, with all replicas cold, and
// returns the most that one replica got in a second.
func (d coldDay) play() (most, sent int) {
	r := rand.New(rand.NewPCG(d.seed, 2))
	f := &prompt{nodes: map[string]*quota.Node{}, silent: map[string]bool{}}
	lists := make([][]peer.Member, d.nodes)
	current := make([]bool, d.nodes)
	for i := range d.nodes {
		current[i] = r.Float64() >= d.lost
		switch x := r.Float64(); {
		case x < d.empty:
		case x < d.empty+d.oldLists:
			lists[i] = memberList(0, d.before)
		default:
			lists[i] = memberList(0, d.nodes)
		}
		f.start(addr(i), lists[i], current[i])
		f.silent[addr(i)] = r.Float64() < d.silent
	}
	f.pass(6 * time.Second)
	replicas, group := []string{"r0", "r1", "r2"}, fmt.Sprint("s/", d.seed)
	got := map[string][]time.Time{}
	began, ticked := time.Now(), time.Now()
	restarted := d.restartAt == 0
	for time.Since(began) < 8*time.Second {
		if !restarted && time.Since(began) >= d.restartAt {
			restarted = true
			for i := range d.nodes {
				f.start(addr(i), lists[i], current[i])
			}
		}
		id := addr(r.IntN(d.nodes))
		a := quota.PermitRequest{Service: group}
		for _, x := range replicas {
			a.Candidates = append(a.Candidates, quota.Candidate{Replica: x, Bound: quota.Bound{ColdPerSecond: bound.PerOwner(bears)}, ReportsCold: true})
		}
		r.Shuffle(len(a.Candidates), func(i, j int) { a.Candidates[i], a.Candidates[j] = a.Candidates[j], a.Candidates[i] })
		if v := f.nodes[id].Take(context.Background(), a); v.Index >= 0 {
			x := a.Candidates[v.Index].Replica
			got[x] = append(got[x], time.Now())
			sent++
		}
		if time.Since(ticked) >= 100*time.Millisecond {
			ticked = time.Now()
			f.tick()
		}
		time.Sleep(time.Second / time.Duration(d.perSecond))
	}
	for _, l := range got {
		for i := range l {
			n, _ := slices.BinarySearchFunc(l, l[i].Add(time.Second), time.Time.Compare)
			most = max(most, n-i)
		}
	}
	return most, sent
}

// The bound on a cold replica is of the whole fleet's requests in any second. No
// instance sees them all, so that it must hold where they know unlike lists, where
// who counts is silent, where some can't confirm what they know or know nobody, and where
// all start again at once and have forgotten what they sent.
func TestFleetBoundsColdReplicas(t *testing.T) {
	rapid.Check(t, func(x *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 65, 300}).Draw(x, "nodes")
		d := coldDay{
			nodes: n, before: rapid.IntRange(1, n).Draw(x, "before"), perSecond: rapid.SampledFrom([]int{50, 300, 900}).Draw(x, "perSecond"),
			oldLists: rapid.Float64Range(0, 1).Draw(x, "oldLists"), lost: rapid.Float64Range(0, 0.6).Draw(x, "lost"),
			empty: rapid.Float64Range(0, 0.3).Draw(x, "empty"), silent: rapid.Float64Range(0, 0.4).Draw(x, "silent"),
			restartAt: time.Duration(rapid.IntRange(0, 7000).Draw(x, "restartAt")) * time.Millisecond, seed: rapid.Uint64().Draw(x, "seed"),
		}
		most := 0
		synctest.Test(t, func(*testing.T) { most, _ = d.play() })
		if float64(most) > mayReach {
			x.Fatalf("%d requests reached a cold replica in a second, want at most %g", most, mayReach)
		}
	})
}

// With one list and nothing wrong, cold replicas are used for most of what they bear.
func TestFleetUsesColdReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := coldDay{nodes: 65, before: 65, perSecond: 300, seed: 1}
		most, sent := d.play()
		if want := 3 * 11 * 8; sent < want || most > int(bears) {
			t.Errorf("%d requests in 8 s and %d in a second at one, want %d and 12", sent, most, want)
		}
	})
}

// All start again at once while a part of the fleet knows an old list: two keepers
// each have forgotten what they sent in the second before.
func TestFleetBoundsColdReplicasAfterAllStartAgain(t *testing.T) {
	for seed := range uint64(12) {
		d := coldDay{nodes: 65, before: 20 + int(seed), oldLists: 0.5, perSecond: 900, restartAt: 4 * time.Second, seed: seed}
		most := 0
		synctest.Test(t, func(*testing.T) { most, _ = d.play() })
		if float64(most) > mayReach {
			t.Errorf("seed %d: %d requests reached a cold replica in a second, want at most %g", seed, most, mayReach)
		}
	}
}
