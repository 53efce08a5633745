package quota

import (
	"math"
	"time"
)

// decide decides as the one who counts, by what the asker believes as well; false if this
// instance does not count.
func (n *Node) decide(a PermitRequest, told map[string]Belief) (wireAnswer, bool) {
	now := n.Clock()
	for r, b := range told {
		n.learnOf(r, b.withService(a.Service))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.charge(a.Service, now)
	counts, strictly := n.counts(a.Service, c, now)
	if !counts {
		return wireAnswer{}, false
	}
	return c.decide(a, n.boundsOf(a, strictly), now), true
}

// boundsOf returns the bounds of the candidates, as this instance believes. One that says that
// it is cold gets nothing from an instance that may not be the only one who counts: above what it
// bears it falls over.
func (n *Node) boundsOf(a PermitRequest, strictly bool) []Bound {
	var l []Bound
	for _, x := range a.Candidates {
		b := n.beliefs.of(x.Replica)
		y := Bound{IsLimited: b.IsLimited(), PerSecond: b.PerSecond, ColdPerSecond: x.Bound.ColdPerSecond}
		if x.ReportsCold && !strictly {
			y.ColdPerSecond = nothingCold
		}
		l = append(l, y)
	}
	return l
}

// nothingCold bounds a cold replica to nothing: less than one request in any second.
const nothingCold = 1e-9

// decide decides as the one who counts.
func (c *charge) decide(a PermitRequest, bounds []Bound, now time.Time) wireAnswer {
	w := wireAnswer{Counts: true, Index: -1}
	rate := 0.0
	for _, b := range bounds {
		rate += b.rate()
	}
	rate = max(rate, c.rate)
	if a.OnlyBounded {
		c.queue.asked[clampRank(a.Priority)].add(now)
		if c.queue.isKept(a.Priority, rate, now) {
			w.Why, w.Come = Wanted, c.queue.come(now.Add(bucket), rate).Sub(now).Milliseconds()
			return w
		}
	}
	var first time.Time
	for i, x := range a.Candidates {
		d := c.book.decide(x.Replica, bounds[i], now)
		if d.May {
			c.grant(a, x.Replica, now)
			return wireAnswer{Counts: true, Index: i, Waits: w.Waits, Taken: &wireBack{a.Service, x.Replica}}
		}
		if i == 0 {
			w.Why = d.Why
		}
		if first.IsZero() || d.NotBefore.Before(first) {
			first = d.NotBefore
		}
		w.Waits = append(w.Waits, d.NotBefore.Sub(now).Milliseconds())
	}
	if a.OnlyBounded && !first.IsZero() {
		w.Come = c.queue.come(first, rate).Sub(now).Milliseconds()
	}
	return w
}

// grant counts a request that may go to the replica.
func (c *charge) grant(a PermitRequest, replica string, now time.Time) {
	c.book.grant(replica, now)
	if a.OnlyBounded {
		c.queue.granted[clampRank(a.Priority)].add(now)
	}
}

// rate is about how many requests a second the bound allows; 0 for any number.
func (b Bound) rate() float64 {
	r := math.Inf(1)
	if b.IsLimited {
		r = max(b.PerSecond, 1/trialEvery.Seconds())
	}
	if b.ColdPerSecond > 0 {
		r = min(r, b.ColdPerSecond)
	}
	if math.IsInf(r, 1) {
		return 0
	}
	return r
}
