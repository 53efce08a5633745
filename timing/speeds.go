package timing

import (
	"time"

	"fieldvale/means"
)

const (
	// firstSpeed is the milliseconds that the smallest model takes to read a
	// token before any was seen to, and firstSlowdown how much longer each
	// larger size takes; rough, as they only last for the first prompts.
	firstSpeed    = 0.006
	firstSlowdown = 3.0
	// speedWeight is of one prompt in the running mean of its speed.
	speedWeight = 0.05
	// minSpeedTokens is the least prompt that shows its reading's speed: the
	// rest of the time to its first event is of another kind.
	minSpeedTokens = 1000
)

// PrefillTimes learns how long models take to read a token, in milliseconds.
type PrefillTimes struct{ m *means.Means }

// NewPrefillTimes returns what is known before the first request.
func NewPrefillTimes() *PrefillTimes { return &PrefillTimes{m: means.New(speedWeight)} }

// MsPerToken returns the milliseconds for a token; size is the model's rank.
func (s *PrefillTimes) MsPerToken(key string, size int) float64 {
	first := firstSpeed
	for range size {
		first *= firstSlowdown
	}
	return s.m.Of(key, first)
}

// Observe learns from a prompt that was read with nothing before it. Its key's
// speed was asked for before.
func (s *PrefillTimes) Observe(key string, took time.Duration, tokens float64) {
	if tokens < minSpeedTokens {
		return
	}
	x := took.Seconds() * 1000 / tokens
	s.m.Learn(key, 0, func(mean float64) float64 { return min(x, 4*mean) })
}
