// Package cascade learns, within the bound that a policy states, when a cheap
// first step is not worth trying: a cheap answer that is rejected costs its
// tokens and its time.
package cascade

import (
	"fieldvale/policy"
)

// Key is what chances are learnt by.
type Key struct {
	Team  string
	Task  string
	Size  policy.Size
	Model string
}

// chance is an exponentially weighted estimate of how often the step's answer
// is accepted, starting from an even prior.
type chance struct {
	p float64
	n int
}

const (
	// weight of one new rating.
	weight = 0.05
	// minRatings before an estimate is used.
	minRatings = 20
	// exploreEvery makes each n-th request try a skipped step again, so that
	// a model that got better is found.
	exploreEvery = 20
)

// Learner holds estimates. It is not safe for concurrent use.
type Learner struct {
	c map[Key]chance
	n map[Key]int
}

// NewLearner returns a learner that has seen nothing and skips nothing.
func NewLearner() *Learner {
	return &Learner{c: map[Key]chance{}, n: map[Key]int{}}
}

// Saw adds one rating's result.
func (l *Learner) Saw(k Key, accepted bool) {
	c, ok := l.c[k]
	if !ok {
		c = chance{p: 0.5}
	}
	x := 0.0
	if accepted {
		x = 1
	}
	w := max(weight, 1/float64(c.n+2))
	c.p += w * (x - c.p)
	c.n++
	l.c[k] = c
}

// Chance returns the estimate and whether enough ratings stand behind it.
func (l *Learner) Chance(k Key) (float64, bool) {
	c := l.c[k]
	return c.p, c.n >= minRatings
}

// Skip reports whether the first of two steps should be left out: its cost
// cheap, against strong for the next one, is not won back by the share of
// answers that it settles. Costs are in any one unit.
func (l *Learner) Skip(k Key, cheap, strong float64) bool {
	p, ok := l.Chance(k)
	if !ok || p*strong >= cheap {
		return false
	}
	l.n[k]++
	return l.n[k]%exploreEvery != 0
}
