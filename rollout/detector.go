package rollout

import "math"

// Outcomes are cumulative counts of one version's answers. They only grow, so that
// copies from different instances are merged by the maximum.
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

// Max returns the larger of each of the two counts.
func (e Outcomes) Max(o Outcomes) Outcomes {
	return Outcomes{Good: max(e.Good, o.Good), Bad: max(e.Bad, o.Bad)}
}

// Rates are the parameters of a Detector: the error rates of its two hypotheses
// and its rate of false alarms.
type Rates struct {
	// Good and Bad are the rates of bad outcomes, between 0 and 1, of a sound
	// version and of one that must be stopped.
	Good float64
	Bad  float64
	// FalseAlarm bounds the probability that the detector trips for a sound
	// version, for each time that its sum starts from 0.
	FalseAlarm float64
}

// DefaultRates returns the rates for versions whose sound error rate is 2 in 100.
func DefaultRates() Rates {
	return Rates{Good: 0.02, Bad: 0.15, FalseAlarm: 1e-7}
}

// Detector is Page's cumulative sum (CUSUM) test. It adds up the log-likelihood
// ratio of each outcome under the bad rate to that under the good rate, and never
// falls below 0. So a version that turns bad after a long good period is found as
// fast as one that is bad from the start. Values are immutable.
type Detector struct {
	rates Rates
	sum   float64
	seen  Outcomes
}

// NewDetector returns a detector without outcomes.
func NewDetector(r Rates) Detector {
	return Detector{rates: r}
}

// With returns d after the pooled counts have grown to e. Counts that are lower
// than before are ignored.
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

// Sum returns the current value of the test.
func (d Detector) Sum() float64 { return d.sum }

// Limit returns the sum at which the detector trips.
func (d Detector) Limit() float64 { return -math.Log(d.rates.FalseAlarm) }
