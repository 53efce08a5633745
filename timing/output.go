package timing

import (
	"fieldvale/means"
)

const (
	// firstOutputTokens is the expected number of generated tokens before the first
	// observation, if the client gives no estimate. It is a rough value, as it is used
	// for the first requests only.
	firstOutputTokens = 100
	// firstOutputRatio is the ratio of generated tokens to the client's estimate before
	// the first observation.
	firstOutputRatio = 1
	// outputWeight is the weight of one answer in the running means.
	outputWeight = 0.03
	// maxOutputRatio limits the influence of a single answer on the ratio.
	maxOutputRatio = 5
)

// OutputTokens learns how many tokens answers have, by kind of request. A client's
// estimate is right in the median at best, and answers that are dropped after their
// first event have few tokens, so it learns the mean ratio to that estimate.
type OutputTokens struct{ counts, ratios *means.RunningMeans }

// NewOutputTokens returns token counts without observations.
func NewOutputTokens() *OutputTokens {
	return &OutputTokens{counts: means.New(outputWeight), ratios: means.New(outputWeight)}
}

// Expect returns the expected number of tokens of an answer. estimate is the client's
// estimate and most the most that it allows; either is 0 if unknown.
func (o *OutputTokens) Expect(kind string, estimate, most int) float64 {
	n := o.counts.Get(kind, firstOutputTokens)
	if estimate > 0 {
		n = float64(estimate) * o.ratios.Get(kind, firstOutputRatio)
	}
	if most > 0 {
		n = min(n, float64(most))
	}
	return max(1, n)
}

// Observe learns from an answer that is complete or was dropped.
func (o *OutputTokens) Observe(kind string, estimate int, tokens float64) {
	o.counts.Update(kind, firstOutputTokens, func(float64) float64 { return tokens })
	if estimate > 0 {
		o.ratios.Update(kind, firstOutputRatio, func(float64) float64 { return min(maxOutputRatio, tokens/float64(estimate)) })
	}
}
