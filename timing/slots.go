// Package timing learns from requests how long replicas take for them: to prefill a token of a
// prompt, to send the first event, and to release the slot of a request.
package timing

import (
	"time"

	"fieldvale/means"
)

const (
	// firstSlotMs is the expected time in a slot after prefill, in milliseconds, before the
	// first observation. It is a rough value, as it is used for the first requests only.
	firstSlotMs = 200
	// slotWeight is the weight of one request in the running mean.
	slotWeight = 0.03
)

// SlotTimes learns how long requests hold their slots after prefill, by kind of request.
// Answers that are dropped at once count as well.
type SlotTimes struct{ m *means.RunningMeans }

// NewSlotTimes returns slot times without observations.
func NewSlotTimes() *SlotTimes { return &SlotTimes{m: means.New(slotWeight)} }

// ExpectedMs returns the expected time in the slot for a request of the kind, in
// milliseconds.
func (s *SlotTimes) ExpectedMs(kind string) float64 { return s.m.Get(kind, firstSlotMs) }

// Observe learns from a request that has ended.
func (s *SlotTimes) Observe(kind string, took time.Duration) {
	s.m.Update(kind, firstSlotMs, func(float64) float64 { return took.Seconds() * 1000 })
}
