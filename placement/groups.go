package placement

import (
	"iter"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// groupSize is the intended number of replicas in a group: enough to choose from,
// few enough for one instance to track.
const groupSize = 32

// Groups divides the replicas of one service that run one release. A prompt's
// prefix is cached by replicas of its key's group, so few keys may move to
// another group when replicas are added or removed. The number of groups is
// therefore a power of two. When it doubles, each group is split in two, and half
// of a group's replicas remain for the keys that remain.
//
// If the number of groups were the rounded quotient of the replicas of all releases
// by groupSize, nearly all keys would move at the start and end of a release and at
// each crash. In simulated days of 140 replicas, avoiding this raises the score from
// 0.650 to 0.719 with a release, and from 0.658 to 0.702 with a crash of a quarter
// of the replicas (docs/DECIDING.md).
type Groups struct {
	// sizes has the number of replicas of each group.
	sizes []int
}

// NewGroups returns the groups of n replicas with the given ids.
func NewGroups(n int, ids iter.Seq[string]) Groups {
	g := Groups{sizes: make([]int, groupCount(n))}
	if len(g.sizes) == 1 {
		g.sizes[0] = n
		return g
	}
	for id := range ids {
		g.sizes[g.ForReplica(id)]++
	}
	return g
}

// groupCount returns the number of groups for so many replicas. The average size of
// a group is between groupSize/√2 and groupSize·√2.
func groupCount(replicas int) int {
	n := 1
	for float64(replicas) > math.Sqrt2*groupSize*float64(n) {
		n *= 2
	}
	return n
}

// Len returns the number of groups.
func (g Groups) Len() int { return len(g.sizes) }

// ForReplica returns the group of the replica with the given id.
func (g Groups) ForReplica(id string) int {
	return int(xxhash.Sum64String(id) & uint64(len(g.sizes)-1))
}

// ForKey returns the group of the key by weighted rendezvous hashing. Each group
// gets keys in proportion to its number of replicas, and a replica that is added
// or removed moves only the keys needed to restore that proportion.
func (g Groups) ForKey(key string) int {
	best, most := 0, math.Inf(-1)
	for i, n := range g.sizes {
		if x := groupWeight(key, i, n); x > most {
			best, most = i, x
		}
	}
	return best
}

// groupWeight is the rendezvous weight of a group of n replicas for the key.
func groupWeight(key string, group, n int) float64 {
	const bits = 53 // of a float64's mantissa
	h := xxhash.Sum64String(key + "/" + strconv.Itoa(group))
	u := (float64(h>>(64-bits)) + 0.5) / (1 << bits)
	return -float64(n) / math.Log(u)
}
