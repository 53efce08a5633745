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
	// minTimed is how many waits for answers of each release there must be.
	minTimed = 8
)

// comparison is of how long both releases' answers are waited for: the log-rank
// test. What is asked of each span of waiting is only which of the requests that
// still waited at its beginning were answered in it. So requests that still wait
// count, kinds that take unlike times are not mixed, nor are moments of unlike load,
// and no instance needs to know what is usual.
type comparison struct {
	// came are the new release's answers, and expected how many there would be if
	// it were like the old one, whose are others.
	came, expected, others, variance float64
	// now and old are how many waits there were.
	now, old uint64
}

// compare compares what was counted in one moment.
func compare(t Tally) (c comparison) {
	for i := range t.New {
		n, o := t.New[i].Waits, t.Old[i].Waits
		c.now += n.Came[0] + n.Passed[0]
		c.old += o.Came[0] + o.Passed[0]
		for s := range n.Came {
			c = c.with(float64(n.Came[s]), float64(n.Passed[s]), float64(o.Came[s]), float64(o.Passed[s]))
		}
	}
	return c
}

// with adds one span of one kind: the new release's answers that came in it and
// requests that passed it, and the old one's.
func (c comparison) with(came, passed, oldCame, oldPassed float64) comparison {
	r, all := came+passed, came+passed+oldCame+oldPassed
	if all < 2 || r == 0 || r == all {
		return c
	}
	d := came + oldCame
	c.came += came
	c.others += oldCame
	c.expected += d * r / all
	c.variance += d * r / all * (all - r) / all * (all - d) / (all - 1)
	return c
}

func (c comparison) plus(o comparison) comparison {
	return comparison{
		came: c.came + o.came, expected: c.expected + o.expected, others: c.others + o.others,
		variance: c.variance + o.variance, now: c.now + o.now, old: c.old + o.old,
	}
}

// level is how near the comparison is to showing that the new release is slow; from
// 1 on it does.
func (c comparison) level() float64 {
	if c.now < minTimed || c.old < minTimed || c.variance <= 0 || c.others <= 0 {
		return 0
	}
	// The rates are of answers that came to those expected.
	rate := c.came / c.expected * (c.others + c.came - c.expected) / c.others
	if rate >= 1 {
		return 0
	}
	sure := (c.expected - c.came) / math.Sqrt(c.variance) / slowLimit
	return max(0, min(sure, math.Log(rate)/math.Log(slowRate)))
}

// moments are the comparisons of the last moments, the oldest first, and of all
// together: a service with few requests needs all, one that turns slow late shows it
// by the last.
type moments struct {
	slot slot
	last []moment
	all  comparison
}

type moment struct {
	at time.Time
	c  comparison
}

// level takes the total in and returns the higher of both levels.
func (m *moments) level(t Tally, now time.Time) float64 {
	if d, ok := m.slot.next(t, now, slotLength); ok {
		c := compare(d)
		m.last = append(m.last, moment{now, c})
		m.all = m.all.plus(c)
	}
	for len(m.last) > 0 && now.Sub(m.last[0].at) >= lately {
		m.last = m.last[1:]
	}
	var c comparison
	for _, x := range m.last {
		c = c.plus(x.c)
	}
	return max(c.level(), m.all.level())
}
