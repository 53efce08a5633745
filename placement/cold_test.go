package placement_test

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
	"fieldvale/placement"
)

// bound is that of a replica which bears 13 requests a second while it is cold, and
// may get 24.5.
var bound = placement.ColdBound{Overage: 1.5, Slack: 5}

const (
	bears    = 13.0
	mayReach = 24.5
)

func ExampleColdBound() {
	fmt.Println(bound.PerKeeper(13), placement.ColdBound{Overage: 4}.PerKeeper(13), placement.ColdBound{Overage: 1}.PerKeeper(1))
	// Output: 12.25 13 0.5
}

// A cold replica gets no more in any second than a keeper may send; what is more goes
// to warm ones, and to none where there are none. Without the only keeper's right it
// gets nothing.
func TestLedgerBoundsColdReplicas(t *testing.T) {
	a := placement.Ask{Replicas: []string{"warm", "cold"}, Read: 50, Cold: 1 << 1, ColdPerSecond: 3}
	onlyCold := placement.Ask{Replicas: []string{"cold"}, Read: 50, Cold: 1, ColdPerSecond: 3}
	for _, c := range []struct {
		name  string
		ask   placement.Ask
		only  bool
		every time.Duration
		want  string
	}{
		{"the only keeper", a, true, 100 * time.Millisecond, "0101010000010101"},
		{"perhaps another keeper", a, false, 100 * time.Millisecond, "0000000000000000"},
		{"none is warm", onlyCold, true, 100 * time.Millisecond, "000-------000---"},
		{"none is warm, perhaps another keeper", onlyCold, false, 100 * time.Millisecond, "----------------"},
	} {
		l := placement.NewLedger(0)
		got := ""
		for i := range len(c.want) {
			now := noon.Add(time.Duration(i) * c.every)
			x := l.Choose(c.ask, c.only, now)
			if x.Index < 0 {
				got += "-"
				continue
			}
			got += fmt.Sprint(x.Index)
		}
		if got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// A replica that could not be reached may have started again: it is bounded like a cold
// one until its own word would be there. One that broke an answer off is not.
func TestLedgerBoundsWhatMayHaveStartedAgain(t *testing.T) {
	for _, c := range []struct {
		why  placement.Fault
		want int
	}{{placement.Unreached, 3}, {placement.Broken, 10}, {placement.Full, 10}} {
		l := placement.NewLedger(0)
		a := placement.Ask{Replicas: []string{"a"}, Read: 1, ColdPerSecond: 3}
		for i, want := range []bool{c.want == 3, false} {
			if g := l.Lost(choose(l, a, noon).Ticket, c.why, noon); g.MayBeCold != want {
				t.Errorf("%s, fault %d: %+v", c.why, i, g)
			}
		}
		count := func(now time.Time) int {
			n := 0
			for range 10 {
				if choose(l, a, now).Index == 0 {
					n++
				}
			}
			return n
		}
		if n := count(noon.Add(3 * time.Second)); n != c.want {
			t.Errorf("%s: %d requests in a moment, want %d", c.why, n, c.want)
		}
		if n := count(noon.Add(20 * time.Second)); n != 10 {
			t.Errorf("%s: %d requests in a moment long after, want all 10", c.why, n)
		}
	}
}

// fleet is nodes over a transport that delivers at once, or not at all.
type fleet struct {
	nodes  map[string]*placement.Node
	silent map[string]bool
}

type wire struct {
	fleet *fleet
	self  string
}

func (w wire) Send(addr string, b []byte) error {
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
func (f *fleet) start(id string, list []peer.Member, current bool) {
	f.nodes[id] = placement.NewNode(id, rand.Uint64()>>16, wire{f, id}, time.Now, 3*time.Second, func() bool { return current }, func(string, ...any) {})
	f.nodes[id].SetMembers(list)
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
	f := &fleet{nodes: map[string]*placement.Node{}, silent: map[string]bool{}}
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
	time.Sleep(6 * time.Second)
	replicas, group := []string{"r0", "r1", "r2"}, fmt.Sprint("s/", d.seed)
	got := map[string][]time.Time{}
	began := time.Now()
	restarted := d.restartAt == 0
	for time.Since(began) < 8*time.Second {
		if !restarted && time.Since(began) >= d.restartAt {
			restarted = true
			for i := range d.nodes {
				f.start(addr(i), lists[i], current[i])
			}
		}
		id := addr(r.IntN(d.nodes))
		a := placement.Ask{Replicas: replicas, Read: 1, Cold: 7, ColdPerSecond: bound.PerKeeper(bears)}
		if c, _, ok := f.nodes[id].Choose(context.Background(), group, a); ok && c.Index >= 0 {
			got[replicas[c.Index]] = append(got[replicas[c.Index]], time.Now())
			sent++
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
// keepers are silent, where some can't confirm what they know or know nobody, and where
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
