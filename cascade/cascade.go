// Package cascade learns when the first, cheap step of a cascade is not worth trying,
// because a rejected answer of it still costs tokens and time. It only ever skips steps
// of the plan that a policy gives.
package cascade

import (
	"fieldvale/policy"
)

// StepKey identifies an estimate: one is learned for each combination of its fields.
type StepKey struct {
	Team  string
	Task  string
	Size  policy.Size
	Model string
}

// estimate is an exponentially weighted estimate of the probability that a step's
// answer is accepted, with a prior of 0.5.
type estimate struct {
	probability float64
	ratings     int
}

const (
	// ratingWeight is the weight of a new rating in the estimate.
	ratingWeight = 0.05
	// minRatings is the number of ratings before an estimate is used.
	minRatings = 20
	// exploreInterval makes every n-th request try a skipped step nevertheless, so that
	// an improved model is detected.
	exploreInterval = 20
)

// Learner holds the acceptance estimates. It is not safe for concurrent use.
type Learner struct {
	estimates map[StepKey]estimate
	// skipCounts is the number of requests for which skipping was considered.
	skipCounts map[StepKey]int
}

// NewLearner returns a learner without ratings, which skips nothing.
func NewLearner() *Learner {
	return &Learner{estimates: map[StepKey]estimate{}, skipCounts: map[StepKey]int{}}
}

// RecordRating records whether a rated answer was accepted.
func (l *Learner) RecordRating(k StepKey, accepted bool) {
	c, ok := l.estimates[k]
	if !ok {
		c = estimate{probability: 0.5}
	}
	x := 0.0
	if accepted {
		x = 1
	}
	w := max(ratingWeight, 1/float64(c.ratings+2))
	c.probability += w * (x - c.probability)
	c.ratings++
	l.estimates[k] = c
}

// AcceptanceRate returns the estimate and whether it is based on at least minRatings ratings.
func (l *Learner) AcceptanceRate(k StepKey) (float64, bool) {
	c := l.estimates[k]
	return c.probability, c.ratings >= minRatings
}

// ShouldSkip reports whether the first of two steps should be skipped: its cost, cheap,
// exceeds the expected saving, which is the probability that its answer is accepted
// times the cost of the next step, strong. Both costs are in the same unit.
func (l *Learner) ShouldSkip(k StepKey, cheap, strong float64) bool {
	p, ok := l.AcceptanceRate(k)
	if !ok || p*strong >= cheap {
		return false
	}
	l.skipCounts[k]++
	return l.skipCounts[k]%exploreInterval != 0
}
