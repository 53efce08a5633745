package pool

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Request is what a rule may know of the request.
type Request struct {
	// AffinityKey is what the request would find cached, such as its session;
	// empty for none.
	AffinityKey string
}

// Rule chooses one of the candidates, which are never none.
type Rule interface {
	Pick(a Request, c []Candidate, r *rand.Rand) int
}

// Chooser applies one rule. The type parameter keeps the call free of
// dynamic dispatch.
type Chooser[R Rule] struct {
	rule R
	rand *rand.Rand
}

// NewChooser returns a chooser that draws from the seeded source s. It is not
// safe for concurrent use.
func NewChooser[R Rule](r R, s rand.Source) *Chooser[R] {
	return &Chooser[R]{rule: r, rand: rand.New(s)}
}

// Choose returns the chosen candidate's index, or -1 if there is none.
func (c *Chooser[R]) Choose(a Request, x []Candidate) int {
	switch len(x) {
	case 0:
		return -1
	case 1:
		return 0
	}
	return c.rule.Pick(a, x, c.rand)
}

// Random takes any candidate.
type Random struct{}

// Pick implements Rule.
func (Random) Pick(_ Request, c []Candidate, r *rand.Rand) int {
	return r.IntN(len(c))
}

// RoundRobin takes one after another.
type RoundRobin struct {
	Next int
}

// Pick implements Rule.
func (o *RoundRobin) Pick(_ Request, c []Candidate, _ *rand.Rand) int {
	o.Next++
	return o.Next % len(c)
}

// LeastReported takes the least load by report alone. It is the naive rule:
// all instances run for the same replica until the next report.
type LeastReported struct{}

// Pick implements Rule.
func (LeastReported) Pick(_ Request, c []Candidate, _ *rand.Rand) int {
	return least(c, func(x Candidate) float64 {
		return float64(x.Replica.Load.Running+x.Replica.Load.Waiting) / float64(max(1, x.Replica.Slots))
	})
}

// LeastLocal takes the replica with the fewest of this instance's requests.
type LeastLocal struct{}

// Pick implements Rule.
func (LeastLocal) Pick(_ Request, c []Candidate, r *rand.Rand) int {
	o := r.IntN(len(c))
	i := least(rotate(c, o), func(x Candidate) float64 { return float64(x.Local) })
	return (i + o) % len(c)
}

// TwoChoices takes the less loaded of two drawn at random.
type TwoChoices struct{}

// Pick implements Rule.
func (TwoChoices) Pick(_ Request, c []Candidate, r *rand.Rand) int {
	i := r.IntN(len(c))
	j := r.IntN(len(c) - 1)
	if j >= i {
		j++
	}
	if c[j].LoadPerSlot() < c[i].LoadPerSlot() {
		return j
	}
	return i
}

// IdleFirst takes a random one of the replicas that seem idle and, if none
// does, any. It is the join-the-idle-queue rule of Anselmi, "Asynchronous
// Load Balancing and Auto-scaling" (2022), with reports in place of tokens.
type IdleFirst struct{}

// Pick implements Rule.
func (IdleFirst) Pick(_ Request, c []Candidate, r *rand.Rand) int {
	n, k := 0, -1
	for i, x := range c {
		if x.EstimatedRequests() > 0 {
			continue
		}
		n++
		if r.IntN(n) == 0 {
			k = i
		}
	}
	if k >= 0 {
		return k
	}
	return r.IntN(len(c))
}

// BoundedAffinity prefers the replica that a session's hash names while its load is
// bounded, and falls back to another rule.
type BoundedAffinity[R Rule] struct {
	Fallback R
	// LoadFactor is how many times the mean relative load the preferred replica
	// may have.
	LoadFactor float64
}

// slack lets a preferred replica have this relative load in any case.
const slack = 0.5

// Pick implements Rule.
func (f BoundedAffinity[R]) Pick(a Request, c []Candidate, r *rand.Rand) int {
	if a.AffinityKey == "" {
		return f.Fallback.Pick(a, c, r)
	}
	i := highest(a.AffinityKey, c)
	if c[i].LoadPerSlot() <= max(slack, f.LoadFactor*meanRelative(c)) {
		return i
	}
	return f.Fallback.Pick(a, c, r)
}

// highest is rendezvous hashing: the choice moves only if the replica goes.
func highest(key string, c []Candidate) int {
	b, k := uint64(0), 0
	h := xxhash.Sum64String(key)
	for i, x := range c {
		if w := mix(h, xxhash.Sum64String(x.Replica.ID)); w > b {
			b, k = w, i
		}
	}
	return k
}

// mix spreads two hashes over all bits (the finalizer of splitmix64).
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func meanRelative(c []Candidate) float64 {
	t := 0.0
	for _, x := range c {
		t += x.LoadPerSlot()
	}
	return t / float64(len(c))
}

func least(c []Candidate, f func(Candidate) float64) int {
	k := 0
	b := f(c[0])
	for i, x := range c[1:] {
		if w := f(x); w < b {
			b, k = w, i+1
		}
	}
	return k
}

func rotate(c []Candidate, n int) []Candidate {
	return append(append([]Candidate{}, c[n:]...), c[:n]...)
}
