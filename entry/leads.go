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
	// firstLead is by how much a model is taken to be more confident than the
	// next smaller one before any was seen to be, and leadPrior how many
	// requests that counts as; leadWeight is of one request later on. Requests
	// that two models answered come every few seconds only.
	firstLead  = 15.0
	leadPrior  = 3.0
	leadWeight = 0.05
	// oddsScale is by how much confidence the odds of a right answer grow e-fold
	// (docs/DECIDING.md).
	oddsScale = 6.0
	// secondWrong is what is added to the confidence from which the next model
	// is asked before the largest: if it is wrong too, the largest comes later still.
	secondWrong = 9.0
	// someChance below even odds the next model is right in some 15 of 100, which
	// is better than an answer that is surely wrong.
	someChance = 10.0
	// unknownShare is the cost of the next model as a part of the largest one's
	// where the configuration states none, and leastShare bounds it either way.
	unknownShare = 0.5
	leastShare   = 0.05
)

// leads learns by how much models are more confident than the next smaller one
// of the same request, out of 100: what is known of how much more they can do.
type leads struct{ m *means.Means }

func newLeads() *leads { return &leads{m: means.NewQuick(leadWeight, leadPrior)} }

// of returns the lead of the model over the next smaller one.
func (l *leads) of(model string) float64 { return l.m.Of(model, firstLead) }

// saw learns from a request that both have answered.
func (l *leads) saw(model string, smaller, larger float64) {
	l.m.Learn(model, firstLead, func(float64) float64 { return larger - smaller })
}

// nextBounds are the confidences from which the next larger model is asked
// before the largest, and from which it is asked where the largest has no time.
type nextBounds struct {
	first, atAll float64
}

// bounds weighs the next model's chance, by its lead, against its cost as a part
// of the largest one's: it comes first where the chance is above that part, so that a
// middle model that can do nearly as much as the largest is asked (docs/DECIDING.md).
func bounds(lead, share float64) nextBounds {
	share = min(1-leastShare, max(leastShare, share))
	odds := oddsScale * math.Log(share/(1-share))
	even := evenOdds - lead
	return nextBounds{first: even + odds + secondWrong, atAll: even - someChance}
}

// costShare is the cost of a model as a part of another's.
func costShare(s route.Service, model, of string) float64 {
	a, b := s.Cost(model), s.Cost(of)
	if a <= 0 || b <= 0 {
		return unknownShare
	}
	return a / b
}
