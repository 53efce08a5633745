package rollout

import (
	"math"
	"time"
)

const (
	// slowRate is the part of the old release's rate, at which answers come that
	// are waited for, below which the new one is slow. Chosen, not measured: with
	// 0.6 a test of half of the answers five times slower took too long to be sure.
	slowRate = 0.65
	// slowLimit is by how many standard deviations it must be surer than chance.
	slowLimit = 4
	// firstMargin is how much surer the first spans alone must be, as there are several
	// ways to choose them.
	firstMargin = 1.15
	// doubtFrom is by how many standard deviations a release must look slow to be in
	// doubt, and differ from a slow one not to be. Of 100 good ones like the old one 8
	// look so by chance.
	doubtFrom = 1.4
	// minTimed is how many waits for answers of each release there must be.
	minTimed = 8
	// A release that has had fewer than leastSeen waits beside manyBeside or more of the
	// old one was not seen: a trial's share, 3 to 12 in 100, brings five beside 40 to 160.
	// In a soak four that failed half of their answers were done after 2 to 4 requests.
	leastSeen  = 5
	manyBeside = 40
	// perKind is how many waits of a kind a moment should have, and longest how long
	// it lasts at most for that. In moments of 0.5 s a trial of 30 requests of 9 kinds
	// had 1.7 waits in a group: the median of 30 runs with a third of the answers five
	// times slower came to a level of 0.6, where all in one group would give 0.95.
	perKind = 8
	longest = 4 * time.Second
)

// comparison is of how long both releases' answers are waited for: the log-rank
// test. What is asked of each span of waiting is only which of the requests that
// still waited at its beginning were answered in it. So requests that still wait
// count, kinds that take unlike times are not mixed, nor are moments of unlike load,
// and no instance needs to know what is usual.
type comparison struct {
	spans [IntervalCount]span
	// now and old are how many waits there were, and kinds of how many kinds in one
	// moment.
	now, old, kinds uint64
}

// span is one span of the waits.
type span struct {
	// came are the new release's answers, and expected how many there would be if
	// it were like the old one, whose are others.
	came, expected, others, variance float64
	// waited is how many requests waited at its beginning.
	waited float64
}

// compare compares what was counted in one moment.
func compare(t Tally) (c comparison) {
	for i := range t.New {
		n, o := t.New[i].Waits, t.Old[i].Waits
		waits, before := n.begun(), o.begun()
		c.now += waits
		c.old += before
		c.kinds += min(1, waits+before)
		for s := range n.Answered {
			c.spans[s] = c.spans[s].plus(spanOf(float64(n.Answered[s]), float64(n.Outlasted[s]), float64(o.Answered[s]), float64(o.Outlasted[s])))
		}
	}
	return c
}

// spanOf is one span of one kind: the new release's answers that came in it and
// requests that passed it, and the old one's.
func spanOf(came, passed, oldCame, oldPassed float64) span {
	r, all := came+passed, came+passed+oldCame+oldPassed
	if all < 2 || r == 0 || r == all {
		return span{}
	}
	d := came + oldCame
	return span{
		came: came, others: oldCame, waited: all,
		expected: d * r / all, variance: d * r / all * (all - r) / all * (all - d) / (all - 1),
	}
}

func (s span) plus(o span) span {
	return span{
		came: s.came + o.came, expected: s.expected + o.expected, others: s.others + o.others,
		variance: s.variance + o.variance, waited: s.waited + o.waited,
	}
}

func (c comparison) plus(o comparison) comparison {
	for i := range c.spans {
		c.spans[i] = c.spans[i].plus(o.spans[i])
	}
	c.now, c.old = c.now+o.now, c.old+o.old
	return c
}

// isEnough reports whether the moment has enough waits of each kind.
func (c comparison) isEnough() bool { return c.now+c.old >= perKind*c.kinds }

// isUnseen reports whether the new release had next to no requests, of a service that
// has enough for some.
func (c comparison) isUnseen() bool { return c.now < leastSeen && c.old >= manyBeside }

// level is how near the comparison is to showing that the new release is slow; from
// 1 on it does.
func (c comparison) level() float64 {
	if c.now < minTimed || c.old < minTimed {
		return 0
	}
	same, early, _ := c.sums()
	return max(same.level(), early.level(), c.firstLevel())
}

// firstLevel is the level of the first spans alone, as many as show most. A release that
// takes some time more for each answer has none of the fast ones, and as many in the next
// span as the old one in the one before: all spans together then show little.
func (c comparison) firstLevel() float64 {
	var sum span
	level := 0.0
	for _, s := range c.spans {
		sum = sum.plus(s)
		level = max(level, sum.level())
	}
	return level / firstMargin
}

// sums are the spans together: all alike; early ones with more weight, by the part of
// the answers that had not come before; and late ones, by the root of the part that
// had. A release that has all answers later shows it best in early spans, where old
// replicas under load have their fast answers; one that has some later in late ones.
func (c comparison) sums() (same, early, late span) {
	waiting := 1.0
	for _, s := range c.spans {
		if s.waited == 0 {
			continue
		}
		same = same.plus(s)
		early = early.plus(s.times(waiting))
		late = late.plus(s.times(math.Sqrt(1 - waiting)))
		waiting *= 1 - (s.came+s.others)/s.waited
	}
	return same, early, late
}

// isDoubtful reports whether the new release looks slow, and whether the comparison
// is too short to tell. Late spans raise a doubt only, and none against a release that
// is faster on the whole: answers that one replica holds back are not as many findings.
// A good release was found slow for 4 answers of 32, with one of its replicas dark, and
// 4 of 120 were in doubt for 4 of 100.
func (c comparison) isDoubtful() bool {
	same, early, late := c.sums()
	return same.isDoubtful() || early.isDoubtful() || same.later() >= 0 && late.isDoubtful()
}

// rulesSlowOut reports whether the comparison shows that the new release is not slow.
func (c comparison) rulesSlowOut() bool {
	same, early, _ := c.sums()
	return same.rulesSlowOut() && early.rulesSlowOut()
}

// times returns the span with a weight.
func (s span) times(w float64) span {
	return span{came: w * s.came, expected: w * s.expected, others: w * s.others, variance: w * w * s.variance}
}

func (s span) level() float64 {
	if s.variance <= 0 || s.others <= 0 {
		return 0
	}
	// The rates are of answers that came to those expected.
	rate := s.came / s.expected * (s.others + s.came - s.expected) / s.others
	if rate >= 1 {
		return 0
	}
	return max(0, min(s.later()/slowLimit, math.Log(rate)/math.Log(slowRate)))
}

// later is by how many standard deviations the new release's answers come later.
func (s span) later() float64 {
	if s.variance <= 0 {
		return 0
	}
	return (s.expected - s.came) / math.Sqrt(s.variance)
}

func (s span) isDoubtful() bool { return s.later() >= doubtFrom && !s.rulesSlowOut() }

// rulesSlowOut reports whether a slow release's answers would come later by more than
// chance explains.
func (s span) rulesSlowOut() bool {
	return -math.Log(slowRate)*math.Sqrt(s.variance)-s.later() > doubtFrom
}

// moments are the comparisons of the last moments, the oldest first, and of all
// together: a service with few requests needs all, one that turns slow late shows it
// by the last.
type moments struct {
	before before
	// began and total are of when the last moment ended.
	began time.Time
	total Tally
	last  []moment
	all   comparison
}

type moment struct {
	at time.Time
	c  comparison
}

// level takes the total in and returns the higher of both levels, and whether the
// release is in doubt by all moments. What came since the last moment ended counts as one
// of its own.
func (m *moments) level(t Tally, now time.Time) (level float64, doubt bool) {
	c := compare(t.minus(m.total))
	if age := now.Sub(m.began); age >= longest || age >= slotLength && c.isEnough() {
		m.last = append(m.last, moment{now, c})
		m.all = m.all.plus(c)
		m.began, m.total, c = now, t, comparison{}
	}
	for len(m.last) > 0 && now.Sub(m.last[0].at) >= lately {
		m.last = m.last[1:]
	}
	l := c
	for _, x := range m.last {
		l = l.plus(x.c)
	}
	all := m.all.plus(c)
	m.before.take(t)
	beside, unlike := m.before.level(t)
	return max(l.level(), all.level(), beside), all.isDoubtful() || unlike || all.isUnseen()
}
