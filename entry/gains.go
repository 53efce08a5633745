package entry

import (
	"math"

	"fieldvale/means"
	"fieldvale/route"
)

const (
	// evenOdds is the confidence, from 0 to 100, at which an answer is as likely right as wrong:
	// a model reports its own estimate of that chance.
	evenOdds = 50
	// initialGain is the assumed confidence gain of a model over the next smaller one before any
	// observation. gainPriorWeight is the number of requests that the assumption counts as, and
	// gainWeight the weight of each later request. Requests answered by two models occur only
	// every few seconds.
	initialGain     = 15.0
	gainPriorWeight = 3.0
	gainWeight      = 0.05
	// logOddsScale is the increase in confidence that multiplies the odds of a right answer by e
	// (docs/DECIDING.md).
	logOddsScale = 6.0
	// secondAttemptMargin is added to the confidence from which the next model is tried before
	// the largest, because a wrong answer of the next model delays the largest one's further.
	secondAttemptMargin = 9.0
	// belowEvenMargin is how far below even odds the next model is still tried. At that margin it
	// is right in about 15 of 100 requests, which is better than a certainly wrong answer.
	belowEvenMargin = 10.0
	// defaultCostShare is the cost of the next model relative to the largest one's where the
	// configuration has none. minCostShare bounds the share at both ends.
	defaultCostShare = 0.5
	minCostShare     = 0.05
)

// confidenceGains averages, by model, how much its confidence exceeds that of the next smaller
// model for the same request. The gain estimates how much more the model can do.
type confidenceGains struct{ means *means.RunningMeans }

func newConfidenceGains() *confidenceGains {
	return &confidenceGains{means: means.NewFastStart(gainWeight, gainPriorWeight)}
}

// of returns the model's confidence gain over the next smaller one.
func (l *confidenceGains) of(model string) float64 { return l.means.Get(model, initialGain) }

// observe records a request that both models answered.
func (l *confidenceGains) observe(model string, smaller, larger float64) {
	l.means.Update(model, initialGain, func(float64) float64 { return larger - smaller })
}

// nextModelBounds are confidences of an answer: from askFirst on, the next larger model is tried
// before the largest; from askAtAll on, it is tried if the largest can't answer in time.
type nextModelBounds struct {
	askFirst, askAtAll float64
}

// nextModelBoundsFor compares the next model's chance of a right answer, estimated from its gain,
// with its cost relative to the largest model's. The next model is tried first where its chance
// exceeds its cost share, so that a middle model nearly as capable as the largest is used
// (docs/DECIDING.md).
func nextModelBoundsFor(gain, share float64) nextModelBounds {
	share = min(1-minCostShare, max(minCostShare, share))
	odds := logOddsScale * math.Log(share/(1-share))
	even := evenOdds - gain
	return nextModelBounds{askFirst: even + odds + secondAttemptMargin, askAtAll: even - belowEvenMargin}
}

// costShare is the cost of a model relative to another's.
func costShare(s route.Service, model, of string) float64 {
	a, b := s.Cost(model), s.Cost(of)
	if a <= 0 || b <= 0 {
		return defaultCostShare
	}
	return a / b
}
