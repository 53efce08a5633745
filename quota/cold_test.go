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

// coldBound is the bound of a replica that can take 13 requests a second while it is cold, and may
// get up to 24.5 from the whole fleet.
var coldBound = quota.ColdBound{Overage: 1.5, Slack: 5}

const (
	coldCapacity = 13.0
	fleetBound   = 24.5
)

func ExampleColdBound() {
	fmt.Println(coldBound.PerOwner(13), quota.ColdBound{Overage: 4}.PerOwner(13), quota.ColdBound{Overage: 1}.PerOwner(1))
	// Output: 12.25 13 0.5
}

// singleNode returns a node that is the only instance and has been running for long enough to own
// services.
func singleNode(now *time.Time, isCurrent bool) *quota.Node {
	n := quota.NewNode(0, quota.Config{Self: "n", Net: discardTransport{}, Clock: func() time.Time { return *now }, IsMembershipCurrent: func() bool { return isCurrent }, FleetSize: func() int { return 1 }, Rand: rand.Float64, Log: func(string, ...any) {}})
	n.SetMembers([]peer.Member{{ID: "n", Addr: "n"}})
	for range 50 {
		*now = now.Add(100 * time.Millisecond)
		n.Tick()
	}
	return n
}

// discardTransport delivers nothing.
type discardTransport struct{}

func (discardTransport) Send(string, []byte) error { return nil }

// coldRequest asks for a permit for one replica that can take perSecond requests a second while it
// is cold; reportsCold is whether it reports itself that it is.
func coldRequest(perSecond float64, reportsCold bool) quota.PermitRequest {
	return quota.PermitRequest{Service: "s", Candidates: []quota.Candidate{{Replica: "cold", Bound: quota.Bound{ColdPerSecond: perSecond}, ReportsCold: reportsCold}}}
}

// Guards against overloading a cold replica: it gets no more in any second than its owner may
// permit, and nothing from an owner that may not be the only one.
func TestNodeBoundsColdReplicas(t *testing.T) {
	for _, c := range []struct {
		name      string
		isCurrent bool
		want      string
	}{
		{"only owner", true, "----0--0--0---0--0--"},
		{"perhaps another owner", false, "--------------------"},
	} {
		now := noon
		n := singleNode(&now, c.isCurrent)
		got := ""
		for range c.want {
			got += grantedIndex(n.AcquirePermit(t.Context(), coldRequest(3, true)))
			now = now.Add(100 * time.Millisecond)
			n.Tick()
		}
		if got != c.want {
			t.Errorf("%s: got permits %s, want %s", c.name, got, c.want)
		}
	}
}

func grantedIndex(v quota.PermitResult) string {
	if v.Index < 0 {
		return "-"
	}
	return fmt.Sprint(v.Index)
}

// Guards against overloading a replica that could not be reached and may have restarted: it is
// bounded like a cold one until its own report would have arrived, even by an owner that may not be
// the only one.
func TestNodeBoundsUnreachableReplica(t *testing.T) {
	now := noon
	n := singleNode(&now, false)
	count := func() int {
		got := 0
		for range 10 {
			b := n.Bound("cold", 3, false)
			if !b.IsBounded() || n.AcquirePermit(t.Context(), coldRequest(b.ColdPerSecond, false)).Index == 0 {
				got++
			}
		}
		return got
	}
	advance := func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			now = now.Add(100 * time.Millisecond)
			n.Tick()
		}
	}
	if g := count(); g != 10 {
		t.Errorf("got %d permits before the replica was unreachable, want all 10", g)
	}
	n.ReportUnreachable("s", "cold")
	if g := count(); g != 0 {
		t.Errorf("got %d permits at the time that the replica was unreachable, want none", g)
	}
	advance(3 * time.Second)
	if g := count(); g != 3 {
		t.Errorf("got %d permits 3 s later, want 3", g)
	}
	advance(17 * time.Second)
	if g := count(); g != 10 {
		t.Errorf("got %d permits 20 s later, want all 10", g)
	}
}

// syncFleet is a fleet with a transport that delivers synchronously, or not at all.
type syncFleet struct {
	nodes  map[string]*quota.Node
	silent map[string]bool
}

type syncTransport struct {
	fleet *syncFleet
	self  string
}

func (w syncTransport) Send(addr string, b []byte) error {
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

// start starts a node, or restarts it without its former state.
func (f *syncFleet) start(id string, list []peer.Member, isCurrent bool) {
	f.nodes[id] = quota.NewNode(rand.Uint64()>>16, quota.Config{
		Self: id, Net: syncTransport{f, id}, Clock: time.Now, MaxPropagationDelay: 3 * time.Second, IsMembershipCurrent: func() bool { return isCurrent },
		FleetSize: func() int { return len(f.nodes) }, Rand: rand.Float64, Log: func(string, ...any) {},
	})
	f.nodes[id].SetMembers(list)
}

// advance lets time pass for all nodes.
func (f *syncFleet) advance(d time.Duration) {
	for d > 0 {
		step := min(d, 50*time.Millisecond)
		time.Sleep(step)
		d -= step
		f.tick()
	}
}

func (f *syncFleet) tick() {
	for _, n := range f.nodes {
		n.Tick()
	}
}

// coldScenario describes a fleet and its faults while all replicas are cold.
type coldScenario struct {
	instances, oldListSize, perSecond int
	// Each is the fraction of the nodes that have a fault: a list with only the first oldListSize
	// instances, a list that is not confirmed, an empty list, or a transport that delivers nothing
	// to them.
	staleListPart, unconfirmedPart, emptyListPart, silentPart float64
	// restartAt is when all nodes restart at once; 0 if they don't.
	restartAt time.Duration
	seed      uint64
}

// run has random nodes ask for permits for eight seconds, and returns the most that one replica got
// in a second, and the number of permits.
func (d coldScenario) run() (most, sent int) {
	r := rand.New(rand.NewPCG(d.seed, 2))
	f := &syncFleet{nodes: map[string]*quota.Node{}, silent: map[string]bool{}}
	lists := make([][]peer.Member, d.instances)
	current := make([]bool, d.instances)
	for i := range d.instances {
		current[i] = r.Float64() >= d.unconfirmedPart
		switch x := r.Float64(); {
		case x < d.emptyListPart:
		case x < d.emptyListPart+d.staleListPart:
			lists[i] = memberList(0, d.oldListSize)
		default:
			lists[i] = memberList(0, d.instances)
		}
		f.start(addr(i), lists[i], current[i])
		f.silent[addr(i)] = r.Float64() < d.silentPart
	}
	f.advance(6 * time.Second)
	replicas, service := []string{"r0", "r1", "r2"}, fmt.Sprint("s/", d.seed)
	got := map[string][]time.Time{}
	began, ticked := time.Now(), time.Now()
	restarted := d.restartAt == 0
	for time.Since(began) < 8*time.Second {
		if !restarted && time.Since(began) >= d.restartAt {
			restarted = true
			for i := range d.instances {
				f.start(addr(i), lists[i], current[i])
			}
		}
		id := addr(r.IntN(d.instances))
		req := quota.PermitRequest{Service: service}
		for _, x := range replicas {
			req.Candidates = append(req.Candidates, quota.Candidate{Replica: x, Bound: quota.Bound{ColdPerSecond: coldBound.PerOwner(coldCapacity)}, ReportsCold: true})
		}
		r.Shuffle(len(req.Candidates), func(i, j int) { req.Candidates[i], req.Candidates[j] = req.Candidates[j], req.Candidates[i] })
		if v := f.nodes[id].AcquirePermit(context.Background(), req); v.Index >= 0 {
			x := req.Candidates[v.Index].Replica
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

// Guards against exceeding the fleet-wide bound on a cold replica in any second. No instance sees
// all requests, so the bound must hold while instances have different lists, while the owner is
// unreachable, while some instances have an unconfirmed or an empty list, and after all restarted
// at once and have lost their grant history.
func TestFleetBoundsColdReplicas(t *testing.T) {
	rapid.Check(t, func(x *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 65, 300}).Draw(x, "nodes")
		d := coldScenario{
			instances: n, oldListSize: rapid.IntRange(1, n).Draw(x, "before"), perSecond: rapid.SampledFrom([]int{50, 300, 900}).Draw(x, "perSecond"),
			staleListPart: rapid.Float64Range(0, 1).Draw(x, "staleListPart"), unconfirmedPart: rapid.Float64Range(0, 0.6).Draw(x, "lost"),
			emptyListPart: rapid.Float64Range(0, 0.3).Draw(x, "emptyListPart"), silentPart: rapid.Float64Range(0, 0.4).Draw(x, "silentPart"),
			restartAt: time.Duration(rapid.IntRange(0, 7000).Draw(x, "restartAt")) * time.Millisecond, seed: rapid.Uint64().Draw(x, "seed"),
		}
		most := 0
		synctest.Test(t, func(*testing.T) { most, _ = d.run() })
		if float64(most) > fleetBound {
			x.Fatalf("got %d requests at a cold replica in a second, want at most %g", most, fleetBound)
		}
	})
}

// Without faults, cold replicas get most of what they can take.
func TestFleetUsesColdReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := coldScenario{instances: 65, oldListSize: 65, perSecond: 300, seed: 1}
		most, sent := d.run()
		if want := 3 * 11 * 8; sent < want || most > int(coldCapacity) {
			t.Errorf("got %d requests in 8 s and %d in a second at one replica, want at least %d and at most 13", sent, most, want)
		}
	})
}

// Guards against exceeding the bound when all nodes restart while some of them have an old list:
// there are two owners, and each has lost its history of the last second.
func TestFleetBoundsColdReplicasAfterFullRestart(t *testing.T) {
	for seed := range uint64(12) {
		d := coldScenario{instances: 65, oldListSize: 20 + int(seed), staleListPart: 0.5, perSecond: 900, restartAt: 4 * time.Second, seed: seed}
		most := 0
		synctest.Test(t, func(*testing.T) { most, _ = d.run() })
		if float64(most) > fleetBound {
			t.Errorf("seed %d: got %d requests at a cold replica in a second, want at most %g", seed, most, fleetBound)
		}
	}
}
