package timing

import (
	"sync"
	"time"

	"fieldvale/version"
)

const (
	// medianStep is the part by which one answer moves its version's median. At this step the
	// median follows a doubled load within about 15 answers.
	medianStep = 0.05
	// minTokenTimeSamples is the number of answers of the old version needed for a comparison.
	minTokenTimeSamples = 20
	// slowFactor is the multiple of the old version's median from which an answer counts as bad.
	// With healthy answers, whose times spread by a factor of e to the power of 0.6 or less, one
	// in a hundred exceeds it; with a version whose answers take five times as long in a third of
	// the cases, one in five does.
	slowFactor = 4.0
)

// TokenTimes tracks the median time per token of each version's answers. It is safe for
// concurrent use.
type TokenTimes struct {
	mu      sync.Mutex
	medians map[version.ID]medianTime
}

// medianTime is an estimated median time per token and its number of samples.
type medianTime struct {
	median  time.Duration
	samples int
}

// NewTokenTimes returns medians of no answers.
func NewTokenTimes() *TokenTimes { return &TokenTimes{medians: map[version.ID]medianTime{}} }

// with returns the median updated by one more answer.
func (p medianTime) with(d time.Duration) medianTime {
	switch {
	case p.samples == 0:
		p.median = d
	case d > p.median:
		p.median += time.Duration(medianStep * float64(p.median))
	case d < p.median:
		p.median -= time.Duration(medianStep * float64(p.median))
	}
	p.samples++
	return p
}

// Observe records the time per token of a version's answer.
func (p *TokenTimes) Observe(v version.ID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.medians[v] = p.medians[v].with(d)
}

// IsSlow reports whether d far exceeds the baseline version's current median; false while that
// has too few samples.
func (p *TokenTimes) IsSlow(d time.Duration, beside version.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.medians[beside]
	return o.samples >= minTokenTimeSamples && float64(d) > slowFactor*float64(o.median)
}
