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

// Guards against keys that move to another group, away from their cached prefixes,
// when only some replicas are added or removed.
func TestGroupsKeepMostKeys(t *testing.T) {
	all := replicaIDs(0, 170)
	for _, c := range []struct {
		name          string
		before, after []string
		maxMoved      float64
	}{
		{"one replica removed", all[:140], all[1:140], 0.02},
		{"a tenth removed", all[:140], all[14:140], 0.1},
		{"thirty added", all[:140], all, 0.15},
		{"two added where the quotient by the group size rounds up", all[:143], all[:145], 0.03},
	} {
		a, b := groupsOf(c.before), groupsOf(c.after)
		moved := 0
		for i := range 2000 {
			if k := fmt.Sprint("key", i); a.ForKey(k) != b.ForKey(k) {
				moved++
			}
		}
		if p := float64(moved) / 2000; p > c.maxMoved {
			t.Errorf("%s: %.3f of the keys changed their group, want at most %.3f", c.name, p, c.maxMoved)
		}
	}
}

// Guards against overload of the replicas of small groups: each group must get
// keys in proportion to its number of replicas.
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
				t.Errorf("group %d of %d with %.0f of %d replicas got %.0f keys, want about %.0f", i, g.Len(), size[i], len(l), keys[i], want)
			}
		}
	})
}

// BenchmarkGroups divides 600 replicas into groups and finds the group of a key,
// as is done for each prompt: 6.9 us and 184 bytes. Collecting the replicas of a
// group by hash modulo the number of groups takes 5.9 us and 2,160 bytes.
func BenchmarkGroups(b *testing.B) {
	l := replicaIDs(0, 600)
	b.ReportAllocs()
	for b.Loop() {
		groupsOf(l).ForKey("model/part")
	}
}
