package entry

import (
	"sync"
	"time"

	"fieldvale/config"
	"fieldvale/rollout"
	"fieldvale/version"
)

const (
	// inputTokenWeight is the work for an input token relative to an output token: engines read
	// about ten times as fast as they generate.
	inputTokenWeight = 0.1
	// medianStep is the part by which one answer moves its version's median. At this step the
	// median follows a doubled load within about 15 answers.
	medianStep = 0.05
	// minSamples is the number of answers of the old version needed for a comparison.
	minSamples = 20
	// slowFactor is the multiple of the old version's median from which an answer counts as bad.
	// With healthy answers, whose times spread by a factor of e to the power of 0.6 or less, one
	// in a hundred exceeds it; with a version whose answers take five times as long in a third of
	// the cases, one in five does.
	slowFactor = 4.0
)

// tokenTimes tracks the median time per token of each version's answers. It is safe for
// concurrent use.
type tokenTimes struct {
	mu      sync.Mutex
	medians map[version.ID]medianTime
}

// medianTime is an estimated median time per token and its number of samples.
type medianTime struct {
	median  time.Duration
	samples int
}

func newTokenTimes() *tokenTimes { return &tokenTimes{medians: map[version.ID]medianTime{}} }

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

// observe records the time per token of a version's answer.
func (p *tokenTimes) observe(v version.ID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.medians[v] = p.medians[v].with(d)
}

// isSlow reports whether d far exceeds the baseline version's current median; false while that
// has too few samples.
func (p *tokenTimes) isSlow(d time.Duration, beside version.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.medians[beside]
	return o.samples >= minSamples && float64(d) > slowFactor*float64(o.median)
}

// timePerToken is the answer's time divided by its weighted number of tokens.
func timePerToken(a Answer, took time.Duration) time.Duration {
	return time.Duration(float64(took) / (1 + float64(a.TokensOut) + inputTokenWeight*float64(a.TokensIn)))
}

// answerIsSlow records an answer's time, and reports whether it counts against a version being
// rolled out because it is far slower than the current answers of the version being replaced.
// Without this check a version whose answers are all complete but late would pass as good.
func (r *Router) answerIsSlow(v *View, c config.Caller, x version.ID, a Answer, took time.Duration) bool {
	p := timePerToken(a, took)
	r.tokenTimes.observe(x, p)
	o, ok := v.Active.Document().Part(c.Team).Rollout(x.Model)
	return ok && o.State == rollout.Running && o.To == x && r.tokenTimes.isSlow(p, o.From)
}
