package entry

import (
	"sync"
	"time"

	"fieldvale/config"
	"fieldvale/rollout"
	"fieldvale/version"
)

const (
	// inputTokenWeight is what a token read counts for beside one made, in the work of an
	// answer: engines read some ten times as fast as they make. Chosen, not measured.
	inputTokenWeight = 0.1
	// medianStep is by what part an answer moves the median of its version's pace. It
	// follows load that doubles within some 15 answers.
	medianStep = 0.05
	// minSamples is how many answers of the old version say what is usual.
	minSamples = 20
	// slowFactor the old version's median pace an answer counts as bad: of sound ones,
	// whose times spread by e to the power of 0.6 or less, one in a hundred does; of a
	// version with a third of its answers five times slower, one in five.
	slowFactor = 4.0
)

// tokenTimes follow the median of how long answers take for their work, by version. They
// are safe for concurrent use.
type tokenTimes struct {
	mu      sync.Mutex
	medians map[version.ID]medianTime
}

// medianTime is the median time for a token's work and how many answers it was learnt from.
type medianTime struct {
	median  time.Duration
	samples int
}

func newTokenTimes() *tokenTimes { return &tokenTimes{medians: map[version.ID]medianTime{}} }

// with returns the pace with one more answer.
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

// observe takes in how long a version's answer took for a token's work.
func (p *tokenTimes) observe(v version.ID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.medians[v] = p.medians[v].with(d)
}

// isSlow reports whether that is far beyond what is usual of the version now; false
// where too few of its answers were seen.
func (p *tokenTimes) isSlow(d time.Duration, beside version.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.medians[beside]
	return o.samples >= minSamples && float64(d) > slowFactor*float64(o.median)
}

// timePerToken is how long the answer took for a token's work.
func timePerToken(a Answer, took time.Duration) time.Duration {
	return time.Duration(float64(took) / (1 + float64(a.TokensOut) + inputTokenWeight*float64(a.TokensIn)))
}

// answerIsSlow learns from an answer of the version, and reports whether it speaks
// against a version under a roll-out: it is far slower than the answers of the version
// that it replaces are now. A version whose answers all come whole and late was taken
// for sound.
func (r *Router) answerIsSlow(v *View, c config.Caller, x version.ID, a Answer, took time.Duration) bool {
	p := timePerToken(a, took)
	r.tokenTimes.observe(x, p)
	o, ok := v.Active.Document().Part(c.Team).Rollout(x.Model)
	return ok && o.State == rollout.Running && o.To == x && r.tokenTimes.isSlow(p, o.From)
}
