package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"fieldvale/placement"
)

func replicaIDs(from, n int) []string {
	l := make([]string, n)
	for i := range l {
		l[i] = fmt.Sprintf("i-%08x", (from+i)*2654435761)
	}
	return l
}

func groupsOf(l []string) placement.Groups { return placement.NewGroups(len(l), slices.Values(l)) }

func ExampleGroups() {
	for _, n := range []int{0, 12, 45, 46, 140, 181, 182, 600} {
		fmt.Print(groupsOf(replicaIDs(0, n)).Len(), " ")
	}
	// Output: 1 1 1 2 4 4 8 16
}

// Few keys change their group when some replicas come or go.
func TestGroupsKeepTheirKeys(t *testing.T) {
	all := replicaIDs(0, 170)
	for _, c := range []struct {
		name        string
		before, now []string
		most        float64
	}{
		{"a replica goes", all[:140], all[1:140], 0.02},
		{"a tenth goes", all[:140], all[14:140], 0.1},
		{"thirty come", all[:140], all, 0.15},
		{"two come beyond a rounding", all[:143], all[:145], 0.03},
	} {
		a, b := groupsOf(c.before), groupsOf(c.now)
		moved := 0
		for i := range 2000 {
			if k := fmt.Sprint("key", i); a.ForKey(k) != b.ForKey(k) {
				moved++
			}
		}
		if p := float64(moved) / 2000; p > c.most {
			t.Errorf("%s: %.3f of the keys change their group, want at most %.3f", c.name, p, c.most)
		}
	}
}

// A group has keys by the number of its replicas, so that no replica has more
// to do for being in a small one.
func TestGroupsShareKeysBySize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := replicaIDs(rapid.IntRange(0, 1000).Draw(t, "first"), rapid.IntRange(91, 600).Draw(t, "replicas"))
		g := groupsOf(l)
		size, keys := make([]float64, g.Len()), make([]float64, g.Len())
		for _, id := range l {
			size[g.ForReplica(id)]++
		}
		const n = 8000
		for i := range n {
			keys[g.ForKey(fmt.Sprint(i))]++
		}
		for i := range size {
			want := n * size[i] / float64(len(l))
			if d := keys[i] - want; d > 0.25*want+30 || d < -0.25*want-30 {
				t.Errorf("group %d of %d with %.0f of %d replicas has %.0f keys, want some %.0f", i, g.Len(), size[i], len(l), keys[i], want)
			}
		}
	})
}

// BenchmarkGroups finds a key's group among 600 replicas, as for each prompt:
// 6.9 us and 184 bytes. Gathering those of the group by the hash modulo their
// number, which was all before, took 5.9 us and 2,160 bytes.
func BenchmarkGroups(b *testing.B) {
	l := replicaIDs(0, 600)
	b.ReportAllocs()
	for b.Loop() {
		groupsOf(l).ForKey("model/part")
	}
}
