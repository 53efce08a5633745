package rollout

import "time"

const (
	// recentPeriod is the period over which waits are compared. A longer one would let
	// the old release's past slowness excuse the new one, or blame the new one for a
	// load that the old one did not have.
	recentPeriod = 8 * time.Second
	// windowLength gives some 20 answers for a service with 40 requests a second;
	// single kinds of request get fewer and need the longer kindWindowLength.
	windowLength     = 500 * time.Millisecond
	kindWindowLength = 2 * time.Second
	// kindMargin is how much higher the test of a single kind of request must come,
	// since many kinds are tested and each may raise a false alarm.
	kindMargin = 1.3
)

// Judge decides whether a release is bad by the tallies that instances report to it.
// It is not safe for concurrent use.
type Judge struct {
	reports *reports
	// window and kindWindow are the current windows of the tests of shares, for all
	// requests and for single kinds.
	window, kindWindow window
	// failures tests the failure rates of the new release.
	failures failureTest
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

// NewJudge returns a judge without reports.
func NewJudge() *Judge {
	return &Judge{reports: newReports()}
}

// Report adds the cumulative tally of an instance and reports whether the release is found
// bad because of it. An older report changes nothing.
func (j *Judge) Report(instance string, t Tally, now time.Time) bool {
	j.reports.add(instance, t)
	was := j.IsBad()
	j.runTests(now)
	if !was {
		j.cause = j.findCause()
	}
	return !was && j.IsBad()
}

// runTests updates the tests with the reported total.
func (j *Judge) runTests(now time.Time) {
	t := j.reports.total
	if d, ok := j.window.next(t, now, windowLength); ok {
		n, o := d.Totals()
		j.badShare = j.badShare.with(n.Outcomes().Bad, o.Outcomes().Bad, newShare(n, o))
		j.failures = j.failures.with(d)
	}
	if d, ok := j.kindWindow.next(t, now, kindWindowLength); ok {
		for i := range d.New {
			j.kindShares[i] = j.kindShares[i].with(d.New[i].Outcomes().Bad, d.Old[i].Outcomes().Bad, newShare(d.New[i], d.Old[i]))
		}
	}
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

// findCause returns the cause for which the release is bad; empty if it is not.
func (j *Judge) findCause() string {
	switch {
	case j.badShare.level() >= 1:
		return causeBadShare
	case j.kindLevel() >= 1:
		return causeKindShare
	case j.failures.level() >= 1:
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
		FailureLevel:  j.failures.level(),
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
