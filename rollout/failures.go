package rollout

import "math"

// failureTest tests whether the new release fails more of its requests than the old one failed of the same
// kind. It is a cumulative sum test over the answers, never below 0, with one sum for each of failureRises. It
// needs no answers of the old release at the same time, so that it also works while the new release gets
// all requests.
type failureTest struct {
	// usual are the last answers of the old release.
	usual [KindCount]failureRate
	// excess is by how much the old release's failure rate was above the usual one lately, in the
	// latest window and the one before.
	excess, excessBefore float64
	sums                 [len(failureRises)]float64
}

// failureRises are the rises of the failure rate for which the test has a sum each: the smaller one is
// found by many answers, the larger one by few.
var failureRises = [...]float64{0.1, 0.25}

const (
	// failureLimit is the sum at which the release is found bad. A sound one reaches it by chance with a
	// probability of 1e-5, each time that the sum starts from 0.
	failureLimit = 11.5
	// minUsualRate is the least failure rate that is taken to be usual.
	minUsualRate = 0.01
	// priorRate is the usual failure rate of requests whose kind the old release was not seen to answer, and
	// priorAnswers is how many answers it counts as.
	priorRate    = 0.04
	priorAnswers = 20
	// excessDeviations is how many standard deviations of the number of failures are no excess.
	excessDeviations = 1.5
	// maxRate bounds the rates that are compared.
	maxRate = 0.95
)

// with returns the test after the answers of a window.
func (f failureTest) with(d Tally) failureTest {
	for i := range d.Old {
		f.usual[i] = f.usual[i].with(errorAnswers(d.Old[i]))
	}
	f.excessBefore, f.excess = f.excess, f.excessOf(d)
	for i := range d.New {
		f = f.withAnswers(errorAnswers(d.New[i]), f.usual[i].value()+max(f.excess, f.excessBefore))
	}
	return f
}

// excessOf returns by how much the old release's failure rate in the window is above the usual one, as in
// a fault that affects replicas of both releases.
func (f failureTest) excessOf(d Tally) float64 {
	excess, variance, answers := 0.0, 0.0, 0.0
	for i := range d.Old {
		o, u := d.Old[i].Outcomes(), f.usual[i].value()
		n := float64(o.count())
		excess += float64(o.Bad) - n*u
		variance += n * u * (1 - u)
		answers += n
	}
	return max(0, excess-excessDeviations*math.Sqrt(variance)) / max(1, answers)
}

// withAnswers returns the test after answers to requests of which the given fraction usually fails.
func (f failureTest) withAnswers(d Outcomes, usual float64) failureTest {
	for i, rise := range failureRises {
		u := min(maxRate-rise, usual)
		w := float64(d.Good)*math.Log((1-u-rise)/(1-u)) + float64(d.Bad)*math.Log((u+rise)/u)
		f.sums[i] = max(0, f.sums[i]+w)
	}
	return f
}

// level is how near the test is to finding the release bad; it has from 1 on.
func (f failureTest) level() float64 { return max(f.sums[0], f.sums[1]) / failureLimit }

// errorAnswers returns how many answers were errors, and how many were not. One that was cut off does not
// count as an error, since a fault of the network may have cut it off.
func errorAnswers(c Counts) Outcomes { return Outcomes{Good: c.Good + c.Broken, Bad: c.Failed} }

// failureRate is the failure rate over about the last usualSpan answers.
type failureRate struct{ good, bad float64 }

// usualSpan is the number of answers over which the usual failure rate is taken.
const usualSpan = 300

// with returns the rate after further answers.
func (r failureRate) with(d Outcomes) failureRate {
	keep := min(1, usualSpan/(r.good+r.bad+float64(d.count())))
	return failureRate{r.good*keep + float64(d.Good), r.bad*keep + float64(d.Bad)}
}

// value returns the fraction of the answers that are errors.
func (r failureRate) value() float64 {
	return max(minUsualRate, (r.bad+priorRate*priorAnswers)/(r.good+r.bad+priorAnswers))
}
