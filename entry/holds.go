package entry

import (
	"sync"
	"time"
)

const (
	// firstHold is how long a run is taken to hold its slot after its first
	// event, in milliseconds, before any was seen to; rough, as it only lasts
	// for the first runs.
	firstHold = 200
	// holdWeight is of one run in the running mean.
	holdWeight = 0.03
)

// holds learns how long runs hold their slots once their prompt is read.
// Answers that were dropped at once count as well.
type holds struct {
	mu sync.Mutex
	m  map[string]float64
}

func newHolds() *holds { return &holds{m: map[string]float64{}} }

// of returns the milliseconds of a run of that kind.
func (h *holds) of(kind string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v, ok := h.m[kind]; ok {
		return v
	}
	return firstHold
}

// saw learns from a run that has ended.
func (h *holds) saw(kind string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.m[kind]
	if !ok {
		v = firstHold
	}
	h.m[kind] = v + holdWeight*(took.Seconds()*1000-v)
}
