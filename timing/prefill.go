package timing

import (
	"time"

	"fieldvale/means"
)

const (
	// firstMsPerToken is the prefill time of a token on the smallest model before the first
	// observation, in milliseconds, and firstSizeFactor the factor for each larger size. They
	// are rough values, as they are used for the first prompts only.
	firstMsPerToken = 0.006
	firstSizeFactor = 3.0
	// prefillWeight is the weight of one prompt in the running mean.
	prefillWeight = 0.05
	// minObservedTokens is the shortest prompt that is observed. For shorter ones, the time to
	// the first event is not mainly prefill time.
	minObservedTokens = 1000
)

// PrefillTimes learns the prefill time of a token on each model, in milliseconds.
type PrefillTimes struct{ m *means.RunningMeans }

// NewPrefillTimes returns prefill times without observations.
func NewPrefillTimes() *PrefillTimes { return &PrefillTimes{m: means.New(prefillWeight)} }

// MsPerToken returns the expected prefill time of a token, in milliseconds. key identifies the
// model and size is its rank by size, from 0 for the smallest.
func (p *PrefillTimes) MsPerToken(key string, size int) float64 {
	first := firstMsPerToken
	for range size {
		first *= firstSizeFactor
	}
	return p.m.Get(key, first)
}

// Observe learns from a prompt that was prefilled with no other work before it. MsPerToken must
// have been called for the key before, as it sets the initial value.
func (p *PrefillTimes) Observe(key string, took time.Duration, tokens float64) {
	if tokens < minObservedTokens {
		return
	}
	x := took.Seconds() * 1000 / tokens
	p.m.Update(key, 0, func(mean float64) float64 { return min(x, 4*mean) })
}
