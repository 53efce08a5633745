package placement

import (
	"iter"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// groupSize is how many replicas a group should have: enough for a choice, few
// enough for one instance to keep.
const groupSize = 32

// Groups are those of one service's replicas of one release. Parts of prompts
// are kept within a group, so a key must not change its group for a replica
// that comes or goes: the number of groups is a power of two, and when it
// doubles each group is halved, so that half of a group's replicas stay with a
// key that stays. With the number rounded to groupSize and taken over all
// releases, the start and the end of a release and each crash dealt all keys
// anew: a day of 140 replicas with a release rose from 0.650 to 0.719 in worth,
// one with a crash of a quarter of them from 0.658 to 0.702
// (docs/DECIDING.md).
type Groups struct {
	sizes []int
}

// NewGroups returns the groups of n replicas with those ids.
func NewGroups(n int, ids iter.Seq[string]) Groups {
	g := Groups{sizes: make([]int, count(n))}
	if len(g.sizes) == 1 {
		g.sizes[0] = n
		return g
	}
	for id := range ids {
		g.sizes[g.ForReplica(id)]++
	}
	return g
}

// count returns how many groups so many replicas have; groups are between
// groupSize divided by the root of two and times it.
func count(replicas int) int {
	n := 1
	for float64(replicas) > math.Sqrt2*groupSize*float64(n) {
		n *= 2
	}
	return n
}

// Len returns how many groups there are.
func (g Groups) Len() int { return len(g.sizes) }

// ForReplica returns the group of the replica with that id.
func (g Groups) ForReplica(id string) int {
	return int(xxhash.Sum64String(id) & uint64(len(g.sizes)-1))
}

// ForKey returns the group of the key. Each group has keys by the number of its
// replicas, and a replica that comes or goes moves only the keys that have to
// make up for it: weighted rendezvous hashing.
func (g Groups) ForKey(key string) int {
	best, most := 0, math.Inf(-1)
	for i, n := range g.sizes {
		if x := weight(key, i, n); x > most {
			best, most = i, x
		}
	}
	return best
}

// weight is of a group of n replicas for the key.
func weight(key string, group, n int) float64 {
	const bits = 53 // of a float64's mantissa
	h := xxhash.Sum64String(key + "/" + strconv.Itoa(group))
	u := (float64(h>>(64-bits)) + 0.5) / (1 << bits)
	return -float64(n) / math.Log(u)
}
