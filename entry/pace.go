package entry

import (
	"sync"
	"time"

	"fieldvale/config"
	"fieldvale/rollout"
	"fieldvale/version"
)

const (
	// readPart is what a token read counts for beside one made, in the work of an
	// answer: engines read some ten times as fast as they make. Chosen, not measured.
	readPart = 0.1
	// paceStep is by what part an answer moves the median of its version's pace. It
	// follows load that doubles within some 15 answers.
	paceStep = 0.05
	// leastPaced is how many answers of the old version say what is usual.
	leastPaced = 20
	// slowTimes the old version's median pace an answer counts as bad: of sound ones,
	// whose times spread by e to the power of 0.6 or less, one in a hundred does; of a
	// version with a third of its answers five times slower, one in five.
	slowTimes = 4.0
)

// paces follow the median of how long answers take for their work, by version. They
// are safe for concurrent use.
type paces struct {
	mu sync.Mutex
	m  map[version.ID]pace
}

// pace is the median time for a token's work and how many answers it was learnt from.
type pace struct {
	median time.Duration
	n      int
}

func newPaces() *paces { return &paces{m: map[version.ID]pace{}} }

// with returns the pace with one more answer.
func (p pace) with(d time.Duration) pace {
	switch {
	case p.n == 0:
		p.median = d
	case d > p.median:
		p.median += time.Duration(paceStep * float64(p.median))
	case d < p.median:
		p.median -= time.Duration(paceStep * float64(p.median))
	}
	p.n++
	return p
}

// saw takes in how long a version's answer took for a token's work.
func (p *paces) saw(v version.ID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.m[v] = p.m[v].with(d)
}

// isSlow reports whether that is far beyond what is usual of the version now; false
// where too few of its answers were seen.
func (p *paces) isSlow(d time.Duration, beside version.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.m[beside]
	return o.n >= leastPaced && float64(d) > slowTimes*float64(o.median)
}

// paceOf is how long the answer took for a token's work.
func paceOf(a Answer, took time.Duration) time.Duration {
	return time.Duration(float64(took) / (1 + float64(a.TokensOut) + readPart*float64(a.TokensIn)))
}

// answerIsSlow learns from an answer of the version, and reports whether it speaks
// against a version under a roll-out: it is far slower than the answers of the version
// that it replaces are now. A version whose answers all come whole and late was taken
// for sound.
func (r *Router) answerIsSlow(v *View, c config.Caller, x version.ID, a Answer, took time.Duration) bool {
	p := paceOf(a, took)
	r.paces.saw(x, p)
	o, ok := v.Active.Document().Part(c.Team).Rollout(x.Model)
	return ok && o.State == rollout.Running && o.To == x && r.paces.isSlow(p, o.From)
}
