package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PrefixAffinity sends requests whose prompts share a prefix to the same replica, the
// first choice of rendezvous hashing, which has the prefix cached. If that replica is
// overloaded, the second choice is used, so that the prefix is prefilled again at one
// replica only. If both are overloaded, the replica with the lowest cost is used.
type PrefixAffinity struct {
	// SlackMs is by how many milliseconds the cost of a preferred replica may exceed the
	// lowest cost of all replicas.
	SlackMs float64
}

// Pick implements Rule.
func (p PrefixAffinity) Pick(q Request, c []Candidate, r *rand.Rand) int {
	cheapest := leastCost(c, r)
	if q.AffinityKey == "" {
		return cheapest
	}
	bound := c[cheapest].costMs() + p.SlackMs
	first, second := twoHighest(q.AffinityKey, c)
	if c[first].costMs() <= bound {
		return first
	}
	if c[second].costMs() <= bound {
		return second
	}
	return cheapest
}

// runningCostMs is the cost of each running request, which slows the others of its
// replica, in milliseconds of pending work. It makes busy replicas without prefill work
// differ from idle ones.
const runningCostMs = 2

// costMs is the cost of sending a request to the replica, in milliseconds.
func (c Candidate) costMs() float64 {
	return c.PendingMs + runningCostMs*float64(c.Local) + c.RemotePenaltyMs
}

// leastCost returns the index of the candidate with the lowest cost. It starts at a
// random one, so that candidates with equal costs get equal shares.
func leastCost(c []Candidate, r *rand.Rand) int {
	start := r.IntN(len(c))
	best := start
	for i := range c {
		j := (start + i) % len(c)
		if c[j].costMs() < c[best].costMs() {
			best = j
		}
	}
	return best
}

// twoHighest returns the indexes of the first and the second choice of rendezvous hashing
// for the key.
func twoHighest(key string, c []Candidate) (first, second int) {
	h := xxhash.Sum64String(key)
	var highest, next uint64
	for i, x := range c {
		switch w := mix(h, xxhash.Sum64String(x.Replica.ID)); {
		case w > highest:
			next, second = highest, first
			highest, first = w, i
		case w > next:
			next, second = w, i
		}
	}
	return first, second
}

// RendezvousOrder returns the replicas in the order of rendezvous hashing for the key, the
// first choice first. The order is the same on all instances.
func RendezvousOrder(key string, l []*Replica) []*Replica {
	h := xxhash.Sum64String(key)
	type weighted struct {
		weight  uint64
		replica *Replica
	}
	x := make([]weighted, len(l))
	for i, r := range l {
		x[i] = weighted{mix(h, xxhash.Sum64String(r.ID)), r}
	}
	slices.SortFunc(x, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	sorted := make([]*Replica, len(l))
	for i := range x {
		sorted[i] = x[i].replica
	}
	return sorted
}
