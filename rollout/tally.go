package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// KindCount is into how many kinds a tally deals the requests: those of a kind are
// compared with each other only, since unlike ones take unlike times. Few
// services have more than 16 pairs of a route and a model; where two pairs share
// a kind, the comparison is less sharp.
const KindCount = 16

// KindOf returns the kind of requests with that name.
func KindOf(name string) int { return int(xxhash.Sum64String(name) % KindCount) }

// Tally is what one instance saw of a service while it changes its release.
type Tally struct {
	// Incarnation tells one run of the instance from others, in which counts begin at 0
	// again.
	Incarnation int64
	New, Old    [KindCount]Counts
}

// Counts are of the answers to one kind of request. They only grow.
type Counts struct {
	Good uint64
	// Failed are answers of failure; Broken are those that broke off, came
	// garbled or not at all, which crashes and bad ways cause as well.
	Failed, Broken uint64
	Waits          Waits
}

// IntervalCount is into how many spans the wait for an answer is divided: the first ends
// at a 64th of the time in which it should come, each next one is as long as all
// before, and the last ends with that time.
const IntervalCount = 7

// Waits tell for each span how many answers came in it, and how many requests
// waited on to its end. A request that still waits is counted in the spans that it
// has passed, so that slow answers show before they come, or if they never do.
type Waits struct{ Answered, Outlasted [IntervalCount]uint64 }

// IntervalEnds returns the ends of the spans for answers that should come within
// target.
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

// minus returns what came since o, which w grew from.
func (w Waits) minus(o Waits) Waits {
	for i := range w.Answered {
		w.Answered[i] -= o.Answered[i]
		w.Outlasted[i] -= o.Outlasted[i]
	}
	return w
}

// begun is how many waits there were.
func (w Waits) begun() uint64 { return w.Answered[0] + w.Outlasted[0] }

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

// WithFailed returns c with one more answer of failure.
func (c Counts) WithFailed() Counts {
	c.Failed++
	return c
}

// WithBroken returns c with one more answer that broke.
func (c Counts) WithBroken() Counts {
	c.Broken++
	return c
}

// WithAnswered returns c with one more answer that came in the span.
func (c Counts) WithAnswered(span int) Counts {
	c.Waits.Answered[span]++
	return c
}

// WithOutlasted returns c with one more request that waited to the span's end.
func (c Counts) WithOutlasted(span int) Counts {
	c.Waits.Outlasted[span]++
	return c
}

// Outcomes is c as good and bad answers.
func (c Counts) Outcomes() Outcomes { return Outcomes{Good: c.Good, Bad: c.Failed + c.Broken} }

func (c Counts) plus(o Counts) Counts {
	return Counts{Good: c.Good + o.Good, Failed: c.Failed + o.Failed, Broken: c.Broken + o.Broken, Waits: c.Waits.plus(o.Waits)}
}

// minus returns what came since o, which c grew from.
func (c Counts) minus(o Counts) Counts {
	return Counts{Good: c.Good - o.Good, Failed: c.Failed - o.Failed, Broken: c.Broken - o.Broken, Waits: c.Waits.minus(o.Waits)}
}

// Plus adds two tallies; the life is t's.
func (t Tally) Plus(o Tally) Tally {
	for i := range t.New {
		t.New[i] = t.New[i].plus(o.New[i])
		t.Old[i] = t.Old[i].plus(o.Old[i])
	}
	return t
}

// minus returns what was counted since o, which t grew from.
func (t Tally) minus(o Tally) Tally {
	for i := range t.New {
		t.New[i] = t.New[i].minus(o.New[i])
		t.Old[i] = t.Old[i].minus(o.Old[i])
	}
	return t
}

// Totals are the counts of all kinds, of the new and the old release.
func (t Tally) Totals() (now, old Counts) {
	for i := range t.New {
		now = now.plus(t.New[i])
		old = old.plus(t.Old[i])
	}
	return now, old
}

// AnswerCount is how many answers of both releases there were.
func (t Tally) AnswerCount() uint64 {
	n, o := t.Totals()
	return n.Outcomes().count() + o.Outcomes().count()
}

// size grows with each thing that is counted.
func (t Tally) size() uint64 {
	n, o := t.Totals()
	return n.size() + o.size()
}

func (c Counts) size() uint64 { return c.Good + c.Failed + c.Broken + c.Waits.size() }

// count is how many outcomes there are.
func (e Outcomes) count() uint64 { return e.Good + e.Bad }

// rate is the part of bad outcomes; 0 if there are none.
func (e Outcomes) rate() float64 {
	if e.count() == 0 {
		return 0
	}
	return float64(e.Bad) / float64(e.count())
}
