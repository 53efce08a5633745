package rollout

import (
	"math"
	"time"
)

var (
	// answerRates are what the test of a release's answers tells apart: a
	// third of them bad must stop it; one in twenty may be the replicas' usual
	// trouble, or more if the old release shows more.
	answerRates = Rates{Good: 0.05, Bad: 0.3, FalseAlarm: 1e-4}
	// paceRates are for slow answers, of which sound replicas under load have
	// many more.
	paceRates = Rates{Good: 0.15, Bad: 0.45, FalseAlarm: 1e-5}
)

const (
	// minBaseline is how many outcomes of the old release say what is usual.
	minBaseline = 20
	// excuse times the old release's rate is what the new one may have, and
	// chance standard deviations above it; at most maxExcuse of trouble of
	// the old release counts.
	excuse    = 2
	chance    = 4
	maxExcuse = 0.25
	// lately is the span over which the releases are compared as well: when
	// replicas crash, both fail for a moment, which the old one's long good
	// run hides. sampled is between the totals kept for it.
	lately  = 3 * time.Second
	sampled = 500 * time.Millisecond
)

// Judge decides whether a release is bad by what all instances that report
// to it saw. It is not safe for concurrent use.
type Judge struct {
	from    map[string]Tally
	total   Tally
	answers Detector
	pace    Detector
	bad     bool
	// past are earlier totals, the oldest first.
	past []sample
}

// sample is the total of a moment.
type sample struct {
	at    time.Time
	total Tally
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{from: map[string]Tally{}, answers: NewDetector(answerRates), pace: NewDetector(paceRates)}
}

// Report takes the origin's cumulative tally in and reports whether the
// release was found bad by it. An older report changes nothing.
func (j *Judge) Report(origin string, t Tally, now time.Time) bool {
	j.from[origin] = j.from[origin].Max(t)
	j.total = Tally{}
	for _, x := range j.from {
		j.total = j.total.Plus(x)
	}
	j.answers = j.answers.With(j.total.New)
	j.pace = j.pace.With(j.total.NewPace)
	l := j.lately(now)
	was := j.bad
	j.bad = was ||
		j.answers.Tripped() && !excused(j.total.answers()) && !excusedLately(l.answers(), answerRates) ||
		j.pace.Tripped() && !excused(j.total.pace()) && !excusedLately(l.pace(), paceRates)
	return j.bad && !was
}

// lately returns what was counted in the last span.
func (j *Judge) lately(now time.Time) Tally {
	for len(j.past) > 1 && now.Sub(j.past[1].at) >= lately {
		j.past = j.past[1:]
	}
	var before Tally
	if len(j.past) > 0 && now.Sub(j.past[0].at) >= lately {
		before = j.past[0].total
	}
	if n := len(j.past); n == 0 || now.Sub(j.past[n-1].at) >= sampled {
		j.past = append(j.past, sample{now, j.total})
	}
	return j.total.minus(before)
}

// Finding is what a judge makes of what it was told, for the log.
type Finding struct {
	// Origins is how many instances have reported.
	Origins int
	// Answers and Pace are how near the tests are to finding the release bad;
	// from 1 on they have, unless the old release excuses it.
	Answers, Pace float64
	// Excused says that the old release's own trouble is all that keeps the
	// release from being found bad.
	Excused bool
	Bad     bool
}

// Finding returns what the judge makes of the reports so far.
func (j *Judge) Finding() Finding {
	return Finding{
		Origins: len(j.from),
		Answers: j.answers.Sum() / j.answers.Limit(), Pace: j.pace.Sum() / j.pace.Limit(),
		Excused: !j.bad && (j.answers.Tripped() || j.pace.Tripped()), Bad: j.bad,
	}
}

// Bad reports whether the release was found bad.
func (j *Judge) Bad() bool { return j.bad }

// Total is what all origins saw.
func (j *Judge) Total() Tally { return j.total }

// excused reports whether the old release is about as bad: then the trouble
// is not the new one's.
func excused(e pair) bool {
	if e.old.Good+e.old.Bad < minBaseline {
		return false
	}
	p := min(maxExcuse, e.old.rate())
	n := float64(e.now.Good + e.now.Bad)
	return e.now.rate() < excuse*p || float64(e.now.Bad) < n*p+chance*math.Sqrt(n*p*(1-p))
}

// excusedLately reports whether a release shows no trouble in the last span,
// or none that the old one does not show in it as well.
func excusedLately(e pair, r Rates) bool {
	return e.now.rate() <= r.Good || excused(e)
}
