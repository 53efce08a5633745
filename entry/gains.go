package entry

import (
	"math"

	"fieldvale/means"
	"fieldvale/route"
)

const (
	// evenOdds is the confidence, out of 100, at which an answer is as likely
	// right as wrong: it is the model's own estimate of that chance.
	evenOdds = 50
	// initialGain is by how much a model is taken to be more confident than the
	// next smaller one before any was seen to be, and leadPrior how many
	// requests that counts as; leadWeight is of one request later on. Requests
	// that two models answered come every few seconds only.
	initialGain     = 15.0
	gainPriorWeight = 3.0
	gainWeight      = 0.05
	// logOddsScale is by how much confidence the odds of a right answer grow e-fold
	// (docs/DECIDING.md).
	logOddsScale = 6.0
	// secondAttemptMargin is what is added to the confidence from which the next model
	// is asked before the largest: if it is wrong too, the largest comes later still.
	secondAttemptMargin = 9.0
	// belowEvenMargin below even odds the next model is right in some 15 of 100, which
	// is better than an answer that is surely wrong.
	belowEvenMargin = 10.0
	// defaultCostShare is the cost of the next model as a part of the largest one's
	// where the configuration states none, and leastShare bounds it either way.
	defaultCostShare = 0.5
	minCostShare     = 0.05
)

// confidenceGains learns by how much models are more confident than the next smaller one
// of the same request, out of 100: what is known of how much more they can do.
type confidenceGains struct{ means *means.Means }

func newConfidenceGains() *confidenceGains {
	return &confidenceGains{means: means.NewQuick(gainWeight, gainPriorWeight)}
}

// of returns the lead of the model over the next smaller one.
func (l *confidenceGains) of(model string) float64 { return l.means.Of(model, initialGain) }

// observe learns from a request that both have answered.
func (l *confidenceGains) observe(model string, smaller, larger float64) {
	l.means.Learn(model, initialGain, func(float64) float64 { return larger - smaller })
}

// nextModelBounds are the confidences from which the next larger model is asked
// before the largest, and from which it is asked where the largest has no time.
type nextModelBounds struct {
	askFirst, askAtAll float64
}

// nextModelBoundsFor weighs the next model's chance, by its lead, against its cost as a part
// of the largest one's: it comes first where the chance is above that part, so that a
// middle model that can do nearly as much as the largest is asked (docs/DECIDING.md).
func nextModelBoundsFor(lead, share float64) nextModelBounds {
	share = min(1-minCostShare, max(minCostShare, share))
	odds := logOddsScale * math.Log(share/(1-share))
	even := evenOdds - lead
	return nextModelBounds{askFirst: even + odds + secondAttemptMargin, askAtAll: even - belowEvenMargin}
}

// costShare is the cost of a model as a part of another's.
func costShare(s route.Service, model, of string) float64 {
	a, b := s.Cost(model), s.Cost(of)
	if a <= 0 || b <= 0 {
		return defaultCostShare
	}
	return a / b
}
