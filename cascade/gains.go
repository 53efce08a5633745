package cascade

import (
	"math"

	"fieldvale/means"
)

const (
	// EvenOdds is the confidence, from 0 to 100, at which an answer is as likely right as wrong:
	// a model reports its own estimate of that chance.
	EvenOdds = 50
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
	// minCostShare bounds at both ends the cost of the next model relative to the largest one's.
	minCostShare = 0.05
)

// Gains averages, by model, how much its confidence exceeds that of the next smaller
// model for the same request. The gain estimates how much more the model can do.
type Gains struct{ means *means.RunningMeans }

// NewGains returns gains of which none is observed.
func NewGains() *Gains {
	return &Gains{means: means.NewFastStart(gainWeight, gainPriorWeight)}
}

// Of returns the model's confidence gain over the next smaller one.
func (l *Gains) Of(model string) float64 { return l.means.Get(model, initialGain) }

// Observe records a request that both models answered.
func (l *Gains) Observe(model string, smaller, larger float64) {
	l.means.Update(model, initialGain, func(float64) float64 { return larger - smaller })
}

// NextModelBounds are confidences of an answer: from AskFirst on, the next larger model is tried
// before the largest; from AskAtAll on, it is tried if the largest can't answer in time.
type NextModelBounds struct {
	AskFirst, AskAtAll float64
}

// NewNextModelBounds compares the next model's chance of a right answer, estimated from its gain,
// with its cost relative to the largest model's. The next model is tried first where its chance
// exceeds its cost share, so that a middle model nearly as capable as the largest is used
// (docs/DECIDING.md).
func NewNextModelBounds(gain, share float64) NextModelBounds {
	share = min(1-minCostShare, max(minCostShare, share))
	odds := logOddsScale * math.Log(share/(1-share))
	even := EvenOdds - gain
	return NextModelBounds{AskFirst: even + odds + secondAttemptMargin, AskAtAll: even - belowEvenMargin}
}
