package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// KindCount is the number of kinds into which a tally divides the requests. Only
// requests of one kind are compared with each other, since others take unlike times.
// Few services have more than 16 pairs of a route and a model; if two pairs fall into
// one kind, the comparison is less sensitive.
const KindCount = 16

// KindOf returns the kind for a name, such as that of a route and a model.
func KindOf(name string) int { return int(xxhash.Sum64String(name) % KindCount) }

// Tally is what one instance counted for a service during a release.
type Tally struct {
	// Incarnation identifies the run of the instance's process; the counts start at 0 in
	// each.
	Incarnation int64
	// New and Old are the counts for the two releases, by kind of request.
	New, Old [KindCount]Counts
}

// Counts are cumulative counts of the answers to one kind of request.
type Counts struct {
	Good uint64
	// Failed counts error answers. Broken counts answers that were cut off, garbled
	// or missing, which may also be due to crashes and to faults of the network.
	Failed, Broken uint64
	Waits          Waits
}

// IntervalCount is the number of intervals into which the wait for an answer is divided.
// The first one ends at 1/64 of the target time for the answer, each next one is as
// long as all before it together, and the last one ends at the target time.
const IntervalCount = 7

// Waits has, for each interval, the number of requests that were answered in it and of
// those that outlasted it without an answer. A request that still waits is counted in
// the intervals that it has outlasted, so that slow answers show before they arrive, or
// if they never do.
type Waits struct{ Answered, Outlasted [IntervalCount]uint64 }

// IntervalEnds returns the ends of the intervals for answers that are due within the
// target time.
func IntervalEnds(target time.Duration) (l [IntervalCount]time.Duration) {
	for i := range l {
		l[i] = target >> (IntervalCount - 1 - i)
	}
	return l
}

func (w Waits) plus(o Waits) Waits {
	for i := range w.Answered {
		w.Answered[i] += o.Answered[i]
		w.Outlasted[i] += o.Outlasted[i]
	}
	return w
}

// minus returns what was counted since o, an earlier state of w.
func (w Waits) minus(o Waits) Waits {
	for i := range w.Answered {
		w.Answered[i] -= o.Answered[i]
		w.Outlasted[i] -= o.Outlasted[i]
	}
	return w
}

// begun returns the number of waits, ended or not.
func (w Waits) begun() uint64 { return w.Answered[0] + w.Outlasted[0] }

// size is the sum of all counts.
func (w Waits) size() (n uint64) {
	for i := range w.Answered {
		n += w.Answered[i] + w.Outlasted[i]
	}
	return n
}

// WithGood returns c with one more good answer.
func (c Counts) WithGood() Counts {
	c.Good++
	return c
}

// WithFailed returns c with one more error answer.
func (c Counts) WithFailed() Counts {
	c.Failed++
	return c
}

// WithBroken returns c with one more broken answer.
func (c Counts) WithBroken() Counts {
	c.Broken++
	return c
}

// WithAnswered returns c with one more request that was answered in the interval.
func (c Counts) WithAnswered(interval int) Counts {
	c.Waits.Answered[interval]++
	return c
}

// WithOutlasted returns c with one more request that outlasted the interval.
func (c Counts) WithOutlasted(interval int) Counts {
	c.Waits.Outlasted[interval]++
	return c
}

// Outcomes returns the good and the bad answers; failed and broken ones are bad.
func (c Counts) Outcomes() Outcomes { return Outcomes{Good: c.Good, Bad: c.Failed + c.Broken} }

func (c Counts) plus(o Counts) Counts {
	return Counts{Good: c.Good + o.Good, Failed: c.Failed + o.Failed, Broken: c.Broken + o.Broken, Waits: c.Waits.plus(o.Waits)}
}

// minus returns what was counted since o, an earlier state of c.
func (c Counts) minus(o Counts) Counts {
	return Counts{Good: c.Good - o.Good, Failed: c.Failed - o.Failed, Broken: c.Broken - o.Broken, Waits: c.Waits.minus(o.Waits)}
}

// Plus returns the sum of two tallies, with the incarnation of t.
func (t Tally) Plus(o Tally) Tally {
	for i := range t.New {
		t.New[i] = t.New[i].plus(o.New[i])
		t.Old[i] = t.Old[i].plus(o.Old[i])
	}
	return t
}

// minus returns what was counted since o, an earlier state of t.
func (t Tally) minus(o Tally) Tally {
	for i := range t.New {
		t.New[i] = t.New[i].minus(o.New[i])
		t.Old[i] = t.Old[i].minus(o.Old[i])
	}
	return t
}

// Totals returns the sums over all kinds, for the new and the old release.
func (t Tally) Totals() (newCounts, oldCounts Counts) {
	for i := range t.New {
		newCounts = newCounts.plus(t.New[i])
		oldCounts = oldCounts.plus(t.Old[i])
	}
	return newCounts, oldCounts
}

// AnswerCount returns the number of answers of both releases.
func (t Tally) AnswerCount() uint64 {
	n, o := t.Totals()
	return n.Outcomes().count() + o.Outcomes().count()
}

// size is the sum of all counts. It grows with each report of one incarnation that has
// anything new.
func (t Tally) size() uint64 {
	n, o := t.Totals()
	return n.size() + o.size()
}

// size is the sum of all counts.
func (c Counts) size() uint64 { return c.Good + c.Failed + c.Broken + c.Waits.size() }

// count returns the number of outcomes.
func (e Outcomes) count() uint64 { return e.Good + e.Bad }
