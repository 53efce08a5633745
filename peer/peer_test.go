package peer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/peer"
	"fieldvale/standin/seed"
)

var _ = seed.Fix()

var noon = time.Unix(1_700_000_000, 0)

// Guards against items that get lost or are replaced by older ones when replies are
// lost and instances restart: after enough further exchanges, all tables must
// hold the newest items. A restarted instance may have lost items that only it had.
func TestExchangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "instances")
		f := newFleet(n)
		want := map[peer.Key]uint64{}
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			at := rapid.IntRange(0, n-1).Draw(t, "at")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				f.restart(at)
			case 1, 2, 3:
				k := peer.Key{Kind: peer.Trip, Name: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name"))}
				want[k] = uint64(i + 1)
				f.tables[at].Put(peer.Item{Key: k, Version: uint64(i + 1), Expires: noon.Add(time.Hour)}, "", noon)
				f.exchange(at, (at+1)%n, false)
			default:
				f.exchange(at, rapid.IntRange(0, n-1).Draw(t, "with"), rapid.Bool().Draw(t, "lost"))
			}
		}
		for range 2 * n {
			for i := range n {
				f.exchange(i, (i+1)%n, false)
			}
		}
		for k, v := range want {
			for i, x := range f.tables {
				g, ok := x.Get(k, noon)
				if !ok && len(f.restarted) == 0 || ok && g.Version > v || ok && g.Version < v && len(f.restarted) == 0 {
					t.Fatalf("instance %d, item %v: got version %d, want %d", i, k, g.Version, v)
				}
			}
		}
	})
}

// fleet is the tables, cursors and incarnations of some instances, and which of
// them have been restarted.
type fleet struct {
	tables       []*peer.Table
	cursors      []map[int]peer.Cursor
	incarnations []string
	restarted    map[int]bool
}

func newFleet(n int) *fleet {
	f := &fleet{restarted: map[int]bool{}}
	for i := range n {
		f.tables = append(f.tables, peer.NewTable())
		f.cursors = append(f.cursors, map[int]peer.Cursor{})
		f.incarnations = append(f.incarnations, fmt.Sprint(i, "/0"))
	}
	return f
}

func (f *fleet) restart(i int) {
	f.restarted[i] = true
	f.tables[i], f.cursors[i], f.incarnations[i] = peer.NewTable(), map[int]peer.Cursor{}, f.incarnations[i]+"x"
}

// exchange makes instance a start an exchange with b. If lost, a doesn't receive
// the reply.
func (f *fleet) exchange(a, b int, lost bool) {
	if a == b {
		return
	}
	m, s := f.tables[a].BuildMessage(fmt.Sprint(a), f.incarnations[a], fmt.Sprint(b), f.cursors[a][b], noon)
	r, _ := f.tables[b].HandleMessage(f.incarnations[b], m, noon)
	if !lost {
		f.cursors[a][b], _ = f.tables[a].HandleReply(fmt.Sprint(b), f.cursors[a][b], s, r, noon)
	}
}

func members(n int) []peer.Member {
	var m []peer.Member
	for i := range n {
		m = append(m, peer.Member{ID: fmt.Sprint("i", i), DataCentre: fmt.Sprint("dc", i%9)})
	}
	return m
}

// Guards against a choice of partners that leaves instances unconnected, or so many
// hops apart that updates reach them late.
func TestPartnersConnectTheFleetInFewHops(t *testing.T) {
	for _, c := range []struct{ n, hops int }{{2, 1}, {7, 3}, {35, 5}, {350, 7}} {
		m := members(c.n)
		next := map[string][]string{}
		for _, x := range m {
			for _, p := range peer.Partners(x.ID, m) {
				next[x.ID] = append(next[x.ID], p.ID)
				next[p.ID] = append(next[p.ID], x.ID)
			}
		}
		far, seen := farthest(m[0].ID, next)
		if seen != c.n || far > c.hops {
			t.Errorf("%d instances: got %d reached in %d hops, want all in at most %d", c.n, seen, far, c.hops)
		}
	}
}

// farthest returns the distance in hops of the instance that is farthest from the
// given one, and how many instances can be reached at all.
func farthest(from string, next map[string][]string) (far, seen int) {
	d := map[string]int{from: 0}
	q := []string{from}
	for len(q) > 0 {
		x := q[0]
		q = q[1:]
		for _, y := range next[x] {
			if _, ok := d[y]; !ok {
				d[y] = d[x] + 1
				far = max(far, d[y])
				q = append(q, y)
			}
		}
	}
	return far, len(d)
}

// Guards against bills held in one data centre only, and against instances that
// compute different holders for one request from member lists in different order:
// a retry at another instance would then be billed twice.
func TestHolders(t *testing.T) {
	m := members(20)
	for i := range 200 {
		id := fmt.Sprint("request", i)
		h, spare := peer.Holders(id, m)
		if len(h) != 3 || len(spare) != 17 || h[0].DataCentre == h[1].DataCentre {
			t.Fatalf("%s: got holders %v and spares %v, want 3 and 17, the first two holders in different data centres", id, h, spare)
		}
		r := slices.Clone(m)
		slices.Reverse(r)
		if o, _ := peer.Holders(id, r); !slices.Equal(h, o) {
			t.Fatalf("%s: got holders %v from the reversed member list, want %v", id, o, h)
		}
	}
}
