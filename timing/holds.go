// Package timing learns from requests how long replicas take: to read a token of a prompt, to the
// first event, and to the end of a run.
package timing

import (
	"time"

	"fieldvale/means"
)

const (
	// firstHold is how long a run is taken to hold its slot after its first
	// event, in milliseconds, before any was seen to; rough, as it only lasts
	// for the first runs.
	firstHold = 200
	// holdWeight is of one run in the running mean.
	holdWeight = 0.03
)

// SlotTimes learns how long runs hold their slots once their prompt is read, in
// milliseconds by kind. Answers that were dropped at once count as well.
type SlotTimes struct{ m *means.Means }

// NewSlotTimes returns what is known before the first request.
func NewSlotTimes() *SlotTimes { return &SlotTimes{m: means.New(holdWeight)} }

// ExpectedMs returns the milliseconds of a run of that kind.
func (h *SlotTimes) ExpectedMs(kind string) float64 { return h.m.Of(kind, firstHold) }

// Observe learns from a run that has ended.
func (h *SlotTimes) Observe(kind string, took time.Duration) {
	h.m.Learn(kind, firstHold, func(float64) float64 { return took.Seconds() * 1000 })
}
