package rollout

import "math"

const (
	// slowRate is the part of the old release's rate, at which answers come that
	// are waited for, below which the new one is slow. Replicas that have just
	// started read again what others keep, and have some three quarters of it.
	slowRate = 0.65
	// slowLimit is by how many standard deviations it must be surer than chance.
	slowLimit = 4
	// minTimed is how many waits for answers of each release there must be.
	minTimed = 8
)

// slower compares how long both releases' answers are waited for, and returns how
// near that is to showing that the new one is slow; from 1 on it does. It is the
// log-rank test, over all kinds and spans: what is asked of a span is only which
// of the requests that still waited at its beginning were answered in it. So
// requests that still wait count, kinds that take unlike times are not mixed, and
// no instance needs to know what is usual.
func slower(t Tally) float64 {
	var expected, came, variance, others float64
	var now, old uint64
	for i := range t.New {
		n, o := t.New[i].Waits, t.Old[i].Waits
		now += n.Came[0] + n.Passed[0]
		old += o.Came[0] + o.Passed[0]
		for s := range n.Came {
			c, r := float64(n.Came[s]), float64(n.Came[s]+n.Passed[s])
			d, all := c+float64(o.Came[s]), r+float64(o.Came[s]+o.Passed[s])
			if all < 2 || r == all || r == 0 {
				continue
			}
			came += c
			others += float64(o.Came[s])
			expected += d * r / all
			variance += d * r / all * (all - r) / all * (all - d) / (all - 1)
		}
	}
	if now < minTimed || old < minTimed || variance <= 0 || others <= 0 {
		return 0
	}
	// The rates are of answers that came to those expected.
	rate := came / expected * (others + came - expected) / others
	sure := (expected - came) / math.Sqrt(variance) / slowLimit
	if rate >= 1 {
		return 0
	}
	return max(0, min(sure, math.Log(rate)/math.Log(slowRate)))
}
