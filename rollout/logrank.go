package rollout

import (
	"math"
	"time"
)

const (
	// slowRatio is the hazard ratio below which the new release is slow: the rate at
	// which its waiting requests are answered, over that of the old release. With
	// 0.6, the test takes too long to find a release with half of its answers five
	// times slower.
	slowRatio = 0.65
	// slowDeviations is how many standard deviations from chance a release must be
	// to be found slow.
	slowDeviations = 4
	// firstIntervalsMargin is how much higher the level of the first intervals alone
	// must come, since there are several ways to choose them.
	firstIntervalsMargin = 1.15
	// inconclusiveDeviations is how many standard deviations slower than the old
	// release the new one must look to be inconclusive, and how many it must differ
	// from a slow release not to be. Of 100 good releases that are like the old one,
	// 8 look that slow by chance.
	inconclusiveDeviations = 1.4
	// minWaits is how many waits of each release a comparison needs.
	minWaits = 8
	// A release with fewer than minTrialWaits waits beside at least manyOldWaits of
	// the old one counts as unobserved. A trial's share of 3 to 12 in 100 brings five
	// waits beside 40 to 160. Without this rule, four releases that failed half of
	// their answers were completed after 2 to 4 requests in a soak test.
	minTrialWaits = 5
	manyOldWaits  = 40
	// waitsPerKind is how many waits of each kind of request a window should have;
	// the window is extended for that up to maxWaitWindow. With windows of 0.5 s, a
	// trial of 30 requests of 9 kinds has 1.7 waits for each kind in a window: the
	// median of 30 runs with a third of the answers five times slower reaches a level
	// of 0.6, while a single group of all waits would reach 0.95.
	waitsPerKind  = 8
	maxWaitWindow = 4 * time.Second
)

// comparison compares how long the answers of both releases are waited for, by the
// log-rank test. For each interval of the wait, the test only considers which of the
// requests that still wait at its beginning are answered in it. So requests without an
// answer yet are counted. Kinds of request with unlike times are compared separately,
// as are windows of time with unlike load, and no instance needs a usual time.
type comparison struct {
	intervals [IntervalCount]intervalStats
	// newWaits and oldWaits are the numbers of waits for the two releases, and kinds is the
	// number of kinds of request in one window.
	newWaits, oldWaits, kinds uint64
}

// intervalStats are the sums of the log-rank test for one interval of the waits.
type intervalStats struct {
	// answered is the number of the new release's answers, and expected is that
	// number if the new release were like the old one. oldAnswered is the number of
	// the old release's answers, and variance is that of answered.
	answered, expected, oldAnswered, variance float64
	// atRisk is how many requests still waited at the beginning of the interval.
	atRisk float64
}

// compare compares what was counted in one window.
func compare(t Tally) (c comparison) {
	for i := range t.New {
		n, o := t.New[i].Waits, t.Old[i].Waits
		newWaits, oldWaits := n.begun(), o.begun()
		c.newWaits += newWaits
		c.oldWaits += oldWaits
		c.kinds += min(1, newWaits+oldWaits)
		for s := range n.Answered {
			c.intervals[s] = c.intervals[s].plus(newIntervalStats(float64(n.Answered[s]), float64(n.Outlasted[s]), float64(o.Answered[s]), float64(o.Outlasted[s])))
		}
	}
	return c
}

// newIntervalStats returns the sums for one interval and one kind of request, from the
// numbers of requests that were answered in the interval and that outlasted it.
func newIntervalStats(answered, outlasted, oldAnswered, oldOutlasted float64) intervalStats {
	r, all := answered+outlasted, answered+outlasted+oldAnswered+oldOutlasted
	if all < 2 || r == 0 || r == all {
		return intervalStats{}
	}
	d := answered + oldAnswered
	return intervalStats{
		answered: answered, oldAnswered: oldAnswered, atRisk: all,
		expected: d * r / all, variance: d * r / all * (all - r) / all * (all - d) / (all - 1),
	}
}

func (s intervalStats) plus(o intervalStats) intervalStats {
	return intervalStats{
		answered: s.answered + o.answered, expected: s.expected + o.expected, oldAnswered: s.oldAnswered + o.oldAnswered,
		variance: s.variance + o.variance, atRisk: s.atRisk + o.atRisk,
	}
}

func (c comparison) plus(o comparison) comparison {
	for i := range c.intervals {
		c.intervals[i] = c.intervals[i].plus(o.intervals[i])
	}
	c.newWaits, c.oldWaits = c.newWaits+o.newWaits, c.oldWaits+o.oldWaits
	return c
}

// hasEnoughWaits reports whether the window has enough waits of each kind.
func (c comparison) hasEnoughWaits() bool { return c.newWaits+c.oldWaits >= waitsPerKind*c.kinds }

// isUnobserved reports whether the new release had next to no requests, although the
// service has enough for it to get some.
func (c comparison) isUnobserved() bool {
	return c.newWaits < minTrialWaits && c.oldWaits >= manyOldWaits
}

// level is how near the comparison is to finding the new release slow; it has from 1
// on.
func (c comparison) level() float64 {
	if c.newWaits < minWaits || c.oldWaits < minWaits {
		return 0
	}
	even, early, _ := c.sums()
	return max(even.level(), early.level(), c.firstIntervalsLevel())
}

// firstIntervalsLevel is the highest level of the first intervals alone, over all
// numbers of them. A release that delays each answer by the same time has no fast
// answers, and as many in each interval as the old one in the interval before. The sum
// of all intervals then shows little.
func (c comparison) firstIntervalsLevel() float64 {
	var sum intervalStats
	level := 0.0
	for _, s := range c.intervals {
		sum = sum.plus(s)
		level = max(level, sum.level())
	}
	return level / firstIntervalsMargin
}

// sums returns the sums over all intervals with three weightings: even has equal
// weights, early weights an interval by the fraction of requests that still waited
// before it, and late by the square root of the fraction that did not. A release that
// delays all answers shows it best in the early intervals, in which old replicas under
// load give their fast answers; one that delays some shows it in the late ones.
func (c comparison) sums() (even, early, late intervalStats) {
	waiting := 1.0
	for _, s := range c.intervals {
		if s.atRisk == 0 {
			continue
		}
		even = even.plus(s)
		early = early.plus(s.weighted(waiting))
		late = late.plus(s.weighted(math.Sqrt(1 - waiting)))
		waiting *= 1 - (s.answered+s.oldAnswered)/s.atRisk
	}
	return even, early, late
}

// isInconclusive reports whether the new release looks slow and the comparison has too
// few waits to decide. Late intervals can't find a release slow, only make it
// inconclusive, and only if it is not faster over all intervals: several answers that
// one replica holds back are not independent observations. If they counted in full, a
// good release with one unresponsive replica would be found slow by 4 of 32 answers, and
// 4 of 120 good releases would be inconclusive by 4 of 100.
func (c comparison) isInconclusive() bool {
	even, early, late := c.sums()
	return even.isInconclusive() || early.isInconclusive() || even.deviations() >= 0 && late.isInconclusive()
}

// excludesSlowness reports whether the comparison shows that the new release is not
// slow.
func (c comparison) excludesSlowness() bool {
	even, early, _ := c.sums()
	return even.excludesSlowness() && early.excludesSlowness()
}

// weighted returns the sums multiplied by a weight.
func (s intervalStats) weighted(w float64) intervalStats {
	return intervalStats{answered: w * s.answered, expected: w * s.expected, oldAnswered: w * s.oldAnswered, variance: w * w * s.variance}
}

// level is how near the sums are to finding the new release slow: it must be below
// slowRatio, and by more than chance explains.
func (s intervalStats) level() float64 {
	if s.variance <= 0 || s.oldAnswered <= 0 {
		return 0
	}
	// The hazard ratio: for each release, the answers given over those expected.
	ratio := s.answered / s.expected * (s.oldAnswered + s.answered - s.expected) / s.oldAnswered
	if ratio >= 1 {
		return 0
	}
	return max(0, min(s.deviations()/slowDeviations, math.Log(ratio)/math.Log(slowRatio)))
}

// deviations is how many standard deviations later than the old release's the new
// release's answers are.
func (s intervalStats) deviations() float64 {
	if s.variance <= 0 {
		return 0
	}
	return (s.expected - s.answered) / math.Sqrt(s.variance)
}

func (s intervalStats) isInconclusive() bool {
	return s.deviations() >= inconclusiveDeviations && !s.excludesSlowness()
}

// excludesSlowness reports whether the answers of a slow release would be later than
// these by more than chance explains.
func (s intervalStats) excludesSlowness() bool {
	return -math.Log(slowRatio)*math.Sqrt(s.variance)-s.deviations() > inconclusiveDeviations
}

// waitTest compares the waits in successive windows of time, both over the recent ones
// and over all: a service with few requests needs all of them, and a release that
// becomes slow late shows it in the recent ones.
type waitTest struct {
	baseline baseline
	// began and total are the time and the tally at the end of the last window.
	began time.Time
	total Tally
	// recent are the windows in recentPeriod, the oldest first, and all is the sum of
	// all windows.
	recent []waitWindow
	all    comparison
}

// waitWindow is the comparison of one window, which ended at the given time.
type waitWindow struct {
	at time.Time
	c  comparison
}

// level updates the test with the total. It returns the highest of the levels over the
// recent windows, over all windows and against the baseline. It also returns whether
// the result is inconclusive: over all windows, against the baseline, or because the
// new release is unobserved. What was counted since the last window ended is used as a
// window of its own.
func (m *waitTest) level(t Tally, now time.Time) (level float64, inconclusive bool) {
	c := compare(t.minus(m.total))
	if age := now.Sub(m.began); age >= maxWaitWindow || age >= windowLength && c.hasEnoughWaits() {
		m.recent = append(m.recent, waitWindow{now, c})
		m.all = m.all.plus(c)
		m.began, m.total, c = now, t, comparison{}
	}
	for len(m.recent) > 0 && now.Sub(m.recent[0].at) >= recentPeriod {
		m.recent = m.recent[1:]
	}
	l := c
	for _, x := range m.recent {
		l = l.plus(x.c)
	}
	all := m.all.plus(c)
	m.baseline.update(t)
	baselineLevel, baselineInconclusive := m.baseline.level(t)
	return max(l.level(), all.level(), baselineLevel), all.isInconclusive() || baselineInconclusive || all.isUnobserved()
}
