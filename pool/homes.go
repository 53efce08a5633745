package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PrefixAffinity sends requests that share a part of their prompt to the same replica,
// its home, where the part is kept and need not be read again. If the home
// has too much to do, the second choice of the same hash takes over, so that
// the part is read again at one place only; else the least busy replica.
type PrefixAffinity struct {
	// SlackMs is how much more pending work, in milliseconds, the home may
	// have than the least busy of all replicas.
	SlackMs float64
}

// Pick implements Rule.
func (h PrefixAffinity) Pick(a Request, c []Candidate, r *rand.Rand) int {
	least := leastPending(c, r)
	if a.AffinityKey == "" {
		return least
	}
	bound := c[least].cost() + h.SlackMs
	first, second := twoHighest(a.AffinityKey, c)
	if c[first].cost() <= bound {
		return first
	}
	if c[second].cost() <= bound {
		return second
	}
	return least
}

// runningCost is what one running request slows its replica's others by, in
// milliseconds of pending work; it makes idle replicas differ from busy ones
// that read no prompt.
const runningCost = 2

func (c Candidate) cost() float64 {
	return c.PendingMs + runningCost*float64(c.Local) + c.RemotePenaltyMs
}

// leastPending begins anywhere, so that equals are taken in turn.
func leastPending(c []Candidate, r *rand.Rand) int {
	o := r.IntN(len(c))
	k := o
	for i := range c {
		j := (o + i) % len(c)
		if c[j].cost() < c[k].cost() {
			k = j
		}
	}
	return k
}

// twoHighest returns the first and second choice of rendezvous hashing.
func twoHighest(key string, c []Candidate) (first, second int) {
	h := xxhash.Sum64String(key)
	var b, n uint64
	for i, x := range c {
		switch w := mix(h, xxhash.Sum64String(x.Replica.ID)); {
		case w > b:
			n, second = b, first
			b, first = w, i
		case w > n:
			n, second = w, i
		}
	}
	return first, second
}

// RendezvousOrder returns the replicas in the order of rendezvous hashing for the key,
// the same at each instance.
func RendezvousOrder(key string, l []*Replica) []*Replica {
	h := xxhash.Sum64String(key)
	type weighed struct {
		w uint64
		r *Replica
	}
	x := make([]weighed, len(l))
	for i, r := range l {
		x[i] = weighed{mix(h, xxhash.Sum64String(r.ID)), r}
	}
	slices.SortFunc(x, func(a, b weighed) int { return cmp.Compare(b.w, a.w) })
	o := make([]*Replica, len(l))
	for i := range x {
		o[i] = x[i].r
	}
	return o
}
