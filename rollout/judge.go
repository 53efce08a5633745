package rollout

import "time"

const (
	// recentPeriod is the period over which the releases are compared. A longer one
	// would let the old release's past failures excuse the new one, or blame the new
	// one for a load that the old one did not have.
	recentPeriod = 8 * time.Second
	// sampleInterval is the interval between the totals kept for that comparison.
	sampleInterval = 250 * time.Millisecond
	// windowLength gives some 20 answers for a service with 40 requests a second;
	// single kinds of request get fewer and need the longer kindWindowLength.
	windowLength     = 500 * time.Millisecond
	kindWindowLength = 2 * time.Second
	// minRecentAnswers is how many recent answers of the old release are needed for
	// its failure rate.
	minRecentAnswers = 20
	// The new release's failures are excused while its recent failure rate is below
	// excuseFactor times that of the old release, of which at most maxExcusedRate
	// is counted.
	excuseFactor   = 2
	maxExcusedRate = 0.25
	// kindMargin is how much higher the test of a single kind of request must come,
	// since many kinds are tested and each may raise a false alarm.
	kindMargin = 1.3
)

// failureRates are the rates for the test of the new release by itself: a third of the
// answers failing must stop it, while one in twenty may be usual trouble of replicas.
// This test finds a bad release that gets all requests, so that there is no old
// release to compare it with.
var failureRates = Rates{Good: 0.05, Bad: 0.3, FalseAlarm: 1e-5}

// Judge decides whether a release is bad by the tallies that instances report to it.
// It is not safe for concurrent use.
type Judge struct {
	reports *reports
	// window and kindWindow are the current windows of the tests of shares, for all
	// requests and for single kinds.
	window, kindWindow window
	// samples are earlier totals, the oldest first.
	samples []sample
	// failures tests the failure rate of the new release by itself.
	failures Detector
	// badShare and kindShares test the share of the bad answers, of all requests and
	// of single kinds.
	badShare   badShareTest
	kindShares [KindCount]badShareTest
	// waits compares how long answers are waited for; slowness is its latest level,
	// inconclusive its latest result.
	waits        waitTest
	slowness     float64
	inconclusive bool
	// cause is why the release was found bad; empty if it was not.
	cause string
}

// sample is the total at a moment.
type sample struct {
	at    time.Time
	total Tally
}

// NewJudge returns a judge without reports.
func NewJudge() *Judge {
	return &Judge{reports: newReports(), failures: NewDetector(failureRates)}
}

// Report adds the cumulative tally of an instance and reports whether the release is found
// bad because of it. An older report changes nothing.
func (j *Judge) Report(instance string, t Tally, now time.Time) bool {
	j.reports.add(instance, t)
	was := j.IsBad()
	l := j.recent(now)
	j.runTests(now)
	if !was {
		j.cause = j.findCause(l)
	}
	return !was && j.IsBad()
}

// runTests updates the tests with the reported total.
func (j *Judge) runTests(now time.Time) {
	t := j.reports.total
	if d, ok := j.window.next(t, now, windowLength); ok {
		n, o := d.Totals()
		j.badShare = j.badShare.with(n.Outcomes().Bad, o.Outcomes().Bad, newShare(n, o))
	}
	if d, ok := j.kindWindow.next(t, now, kindWindowLength); ok {
		for i := range d.New {
			j.kindShares[i] = j.kindShares[i].with(d.New[i].Outcomes().Bad, d.Old[i].Outcomes().Bad, newShare(d.New[i], d.Old[i]))
		}
	}
	total, _ := t.Totals()
	j.failures = j.failures.With(Outcomes{Good: total.Good + total.Broken, Bad: total.Failed})
	j.slowness, j.inconclusive = j.waits.level(t, now)
}

// window is a period whose answers are tested together. The new release's share of
// the answers changes from one window to the next, as when it gets more requests.
type window struct {
	began time.Time
	total Tally
}

// next returns what was counted since the window began and begins the next one, if the
// window has lasted for the given length.
func (w *window) next(t Tally, now time.Time, length time.Duration) (Tally, bool) {
	if now.Sub(w.began) < length {
		return Tally{}, false
	}
	d := t.minus(w.total)
	w.began, w.total = now, t
	return d, true
}

// newShare is the new release's fraction of the answers, 1 if there are none.
func newShare(newCounts, oldCounts Counts) float64 {
	n, o := newCounts.Outcomes().count(), oldCounts.Outcomes().count()
	if n+o == 0 {
		return 1
	}
	return float64(n) / float64(n+o)
}

// Causes for which a release is found bad.
const (
	causeBadShare  = "more of the bad answers than its share"
	causeKindShare = "more of one kind's bad answers than its share"
	causeFailures  = "answers of failure"
	causeSlow      = "slow answers"
)

// findCause returns the cause for which the release is bad; empty if it is not. l is
// the recent tally.
func (j *Judge) findCause(l Tally) string {
	switch {
	case j.badShare.level() >= 1:
		return causeBadShare
	case j.kindLevel() >= 1:
		return causeKindShare
	case j.failures.Tripped() && !isExcused(l):
		return causeFailures
	case j.slowness >= 1:
		return causeSlow
	}
	return ""
}

// kindLevel is the highest level of the tests of single kinds.
func (j *Judge) kindLevel() float64 {
	var m float64
	for _, k := range j.kindShares {
		m = max(m, k.level()/kindMargin)
	}
	return m
}

// isExcused reports whether the old release's recent failure rate is about as high as
// the new one's.
func isExcused(l Tally) bool {
	n, o := l.Totals()
	if o.Outcomes().count() < minRecentAnswers {
		return false
	}
	return n.Outcomes().rate() < excuseFactor*min(maxExcusedRate, o.Outcomes().rate())
}

// recent returns what was counted in recentPeriod.
func (j *Judge) recent(now time.Time) Tally {
	for len(j.samples) > 1 && now.Sub(j.samples[1].at) >= recentPeriod {
		j.samples = j.samples[1:]
	}
	var before Tally
	if len(j.samples) > 0 && now.Sub(j.samples[0].at) >= recentPeriod {
		before = j.samples[0].total
	}
	if n := len(j.samples); n == 0 || now.Sub(j.samples[n-1].at) >= sampleInterval {
		j.samples = append(j.samples, sample{now, j.reports.total})
	}
	return j.reports.total.minus(before)
}

// Finding is the state of a judge's tests, for the log.
type Finding struct {
	// Reporters is the number of instances that have reported.
	Reporters int
	// The levels are how near each test is to finding the release bad; it has from 1
	// on. The tests are of the share of the bad answers, of that share for single
	// kinds of request, of the new release's failure rate, and of its waits.
	BadShareLevel, KindLevel, FailureLevel, SlownessLevel float64
	// Inconclusive is set if the release's answers look slow, but are too few to
	// decide.
	Inconclusive bool
	// Cause is why the release was found bad; empty if it was not.
	Cause string
}

// Finding returns the state of the tests after the reports so far.
func (j *Judge) Finding() Finding {
	return Finding{
		Reporters: len(j.reports.from), BadShareLevel: j.badShare.level(), KindLevel: j.kindLevel(),
		FailureLevel:  j.failures.Sum() / j.failures.Limit(),
		SlownessLevel: j.slowness, Inconclusive: j.inconclusive, Cause: j.cause,
	}
}

// suspectLevel is the level of a test from which a release is suspect.
const suspectLevel = 0.5

// Concerns returns what may keep the release from its next phase.
func (f Finding) Concerns() Concerns {
	return Concerns{Suspect: max(f.BadShareLevel, f.KindLevel, f.FailureLevel, f.SlownessLevel) >= suspectLevel, Inconclusive: f.Inconclusive}
}

// IsBad reports whether the release was found bad.
func (j *Judge) IsBad() bool { return j.cause != "" }

// Total returns the sum of the tallies of all instances.
func (j *Judge) Total() Tally { return j.reports.total }
