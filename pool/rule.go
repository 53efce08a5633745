package pool

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Request is the part of a request that a rule may use.
type Request struct {
	// AffinityKey identifies state that replicas cache for the request, such as its session
	// or the prefix of its prompt. It is empty if there is none.
	AffinityKey string
	// SlotMs is the expected time in a slot at the usual speed, in milliseconds. Only ReportedWork
	// uses it.
	SlotMs float64
}

// Rule chooses one of the candidates, of which there is at least one. It returns its index.
type Rule interface {
	Pick(q Request, c []Candidate, r *rand.Rand) int
}

// Chooser applies one rule. The type parameter avoids dynamic dispatch of the call.
type Chooser[R Rule] struct {
	rule R
	rand *rand.Rand
}

// NewChooser returns a chooser that takes random numbers from s. It is not safe for
// concurrent use.
func NewChooser[R Rule](r R, s rand.Source) *Chooser[R] {
	return &Chooser[R]{rule: r, rand: rand.New(s)}
}

// Choose returns the index of the chosen candidate, or -1 if there are no candidates.
func (c *Chooser[R]) Choose(q Request, l []Candidate) int {
	switch len(l) {
	case 0:
		return -1
	case 1:
		return 0
	}
	return c.rule.Pick(q, l, c.rand)
}

// Random chooses a random candidate.
type Random struct{}

// Pick implements Rule.
func (Random) Pick(_ Request, c []Candidate, r *rand.Rand) int {
	return r.IntN(len(c))
}

// RoundRobin chooses one candidate after another.
type RoundRobin struct {
	// Next counts the choices so far.
	Next int
}

// Pick implements Rule.
func (o *RoundRobin) Pick(_ Request, c []Candidate, _ *rand.Rand) int {
	o.Next++
	return o.Next % len(c)
}

// LeastReported chooses the replica with the lowest reported load per slot. It is the naive
// rule: all instances send their requests to the same replica until its next report.
type LeastReported struct{}

// Pick implements Rule.
func (LeastReported) Pick(_ Request, c []Candidate, _ *rand.Rand) int {
	return least(c, func(x Candidate) float64 {
		return float64(x.Replica.Load.Running+x.Replica.Load.Waiting) / float64(max(1, x.Replica.Slots))
	})
}

// LeastLocal chooses the replica with the fewest requests of this instance.
type LeastLocal struct{}

// Pick implements Rule.
func (LeastLocal) Pick(_ Request, c []Candidate, r *rand.Rand) int {
	start := r.IntN(len(c))
	i := least(rotate(c, start), func(x Candidate) float64 { return float64(x.Local) })
	return (i + start) % len(c)
}

// TwoChoices chooses the less loaded one of two random candidates.
type TwoChoices struct{}

// Pick implements Rule.
func (TwoChoices) Pick(_ Request, c []Candidate, r *rand.Rand) int {
	i := r.IntN(len(c))
	j := r.IntN(len(c) - 1)
	if j >= i {
		j++
	}
	if c[j].loadWithRequest() < c[i].loadWithRequest() {
		return j
	}
	return i
}

// IdleFirst chooses a random one of the replicas that seem idle, or a random candidate if
// none does. It is the join-the-idle-queue rule of Anselmi, "Asynchronous Load Balancing and
// Auto-scaling" (2022), with load reports in place of tokens.
type IdleFirst struct{}

// Pick implements Rule.
func (IdleFirst) Pick(_ Request, c []Candidate, r *rand.Rand) int {
	idle, chosen := 0, -1
	for i, x := range c {
		if x.EstimatedRequests() > 0 {
			continue
		}
		idle++
		if r.IntN(idle) == 0 {
			chosen = i
		}
	}
	if chosen >= 0 {
		return chosen
	}
	return r.IntN(len(c))
}

// BoundedAffinity prefers the first choice of rendezvous hashing for the affinity key, and
// falls back to another rule if the load of that replica exceeds a bound.
type BoundedAffinity[R Rule] struct {
	Fallback R
	// LoadFactor times the mean load per slot is the bound.
	LoadFactor float64
}

// minLoadBound is the lowest bound on the load per slot: up to this load, the preferred
// replica is chosen in any case.
const minLoadBound = 0.5

// Pick implements Rule.
func (f BoundedAffinity[R]) Pick(q Request, c []Candidate, r *rand.Rand) int {
	if q.AffinityKey == "" {
		return f.Fallback.Pick(q, c, r)
	}
	i := highest(q.AffinityKey, c)
	if c[i].LoadPerSlot() <= max(minLoadBound, f.LoadFactor*meanLoadPerSlot(c)) {
		return i
	}
	return f.Fallback.Pick(q, c, r)
}

// highest returns the index of the first choice of rendezvous hashing for the key. When a
// replica is removed, only the keys that it was chosen for move.
func highest(key string, c []Candidate) int {
	weight, chosen := uint64(0), 0
	h := xxhash.Sum64String(key)
	for i, x := range c {
		if w := mix(h, xxhash.Sum64String(x.Replica.ID)); w > weight {
			weight, chosen = w, i
		}
	}
	return chosen
}

// mix combines two hashes into one whose bits depend on all bits of both, by the finalizer
// of splitmix64.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func meanLoadPerSlot(c []Candidate) float64 {
	sum := 0.0
	for _, x := range c {
		sum += x.LoadPerSlot()
	}
	return sum / float64(len(c))
}

// least returns the index of the first candidate with the lowest load.
func least(c []Candidate, load func(Candidate) float64) int {
	chosen := 0
	lowest := load(c[0])
	for i, x := range c[1:] {
		if w := load(x); w < lowest {
			lowest, chosen = w, i+1
		}
	}
	return chosen
}

// rotate returns a copy of the candidates that starts at index n.
func rotate(c []Candidate, n int) []Candidate {
	return append(append([]Candidate{}, c[n:]...), c[:n]...)
}
