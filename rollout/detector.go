package rollout

import "math"

// Outcomes counts outcomes of one version since the start of its counting.
// It only grows, so that pooled copies merge by maximum.
type Outcomes struct {
	Good uint64
	Bad  uint64
}

// WithGood returns e with n more good outcomes.
func (e Outcomes) WithGood(n uint64) Outcomes {
	e.Good += n
	return e
}

// WithBad returns e with n more bad outcomes.
func (e Outcomes) WithBad(n uint64) Outcomes {
	e.Bad += n
	return e
}

// Max returns the larger of both counts.
func (e Outcomes) Max(o Outcomes) Outcomes {
	return Outcomes{Good: max(e.Good, o.Good), Bad: max(e.Bad, o.Bad)}
}

// Rates are the two hypotheses that the test tells apart, and how sure it
// must be.
type Rates struct {
	// Good and Bad are the rates of bad outcomes, between 0 and 1, of a
	// sound version and of one that must be stopped.
	Good float64
	Bad  float64
	// FalseAlarm bounds the chance of a trip from any one start of the sum.
	FalseAlarm float64
}

// DefaultRates suit a version whose sound error rate is 2 in 100.
func DefaultRates() Rates {
	return Rates{Good: 0.02, Bad: 0.15, FalseAlarm: 1e-7}
}

// Detector is Page's cumulative sum test: it adds up how much likelier each
// outcome is under the bad rate than under the good one, never below 0, so
// that a version which turns bad after a long good run is found as fast as
// one that starts bad. Values are immutable.
type Detector struct {
	rates Rates
	sum   float64
	seen  Outcomes
}

// NewDetector returns a detector that has seen nothing.
func NewDetector(r Rates) Detector {
	return Detector{rates: r}
}

// With returns d after the pooled evidence has grown to e. Counts that went
// back are ignored.
func (d Detector) With(e Outcomes) Detector {
	n := d.seen.Max(e)
	g, b := float64(n.Good-d.seen.Good), float64(n.Bad-d.seen.Bad)
	d.seen = n
	w := g*math.Log((1-d.rates.Bad)/(1-d.rates.Good)) + b*math.Log(d.rates.Bad/d.rates.Good)
	d.sum = max(0, d.sum+w)
	return d
}

// Tripped reports whether the version must be stopped.
func (d Detector) Tripped() bool {
	return d.sum >= -math.Log(d.rates.FalseAlarm)
}

// Sum is the test's current value; Limit is where it trips.
func (d Detector) Sum() float64 { return d.sum }

// Limit is the sum at which the detector trips.
func (d Detector) Limit() float64 { return -math.Log(d.rates.FalseAlarm) }
