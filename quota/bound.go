package quota

import (
	"math"
	"time"
)

const (
	// countedOver is the time in which a replica's own figure is counted: it may get some
	// more at once after a pause, but no more in all.
	countedOver = 4 * time.Second
	// onTheWay is how much later than another a request may arrive that was allowed before
	// it; with it what arrives in countedOver stays within the figure.
	onTheWay = 100 * time.Millisecond
	// trialEvery is how often a replica gets one request at least whatever figure it names:
	// of one that gets none nobody would hear that its limit is over. It is the only
	// case in which a replica gets more than it asks for: one that names less than one in
	// five seconds.
	trialEvery = 5 * time.Second
	// coldOver is the time in which requests at a cold replica are counted.
	coldOver = time.Second
)

// Bound is what one replica may get from all instances together. The zero value bounds
// nothing.
type Bound struct {
	// IsLimited says that it names a limit, of PerSecond requests.
	IsLimited bool
	PerSecond float64
	// ColdPerSecond is how many requests it may get in any second while it is cold, or may
	// be; 0 for one that is warm.
	ColdPerSecond float64
}

// IsBounded reports whether it may not get any number of requests.
func (b Bound) IsBounded() bool { return b.IsLimited || b.ColdPerSecond > 0 }

// window is how many requests a replica may get in any span.
type window struct {
	span time.Duration
	most int
	why  Reason
}

// Reason says which bound keeps a request from a replica.
type Reason string

// The reasons.
const (
	Fits       Reason = ""
	Limited    Reason = "limited"
	ReasonCold Reason = "cold"
	Undecided  Reason = "nobody who counts can be reached"
	Wanted     Reason = "wanted for more urgent requests"
)

// windows returns what the bound comes to. All of them hold.
func (b Bound) windows() []window {
	var l []window
	if b.IsLimited {
		l = limitWindows(b.PerSecond)
	}
	if b.ColdPerSecond > 0 {
		l = append(l, window{coldOver, int(b.ColdPerSecond), ReasonCold})
	}
	return l
}

// limitWindows returns the windows of a replica's own figure: what it takes in countedOver,
// as whole requests, and not all of that at once.
func limitWindows(perSecond float64) []window {
	const rounding = 1e-9
	n := math.Floor(perSecond*countedOver.Seconds() + rounding)
	if n >= 1 {
		return []window{
			{time.Second, int(math.Ceil(perSecond - rounding)), Limited},
			{countedOver + onTheWay, int(n), Limited},
		}
	}
	every := trialEvery
	if x := 1 / perSecond; x < trialEvery.Seconds() {
		every = time.Duration(x * float64(time.Second))
	}
	return []window{{every + onTheWay, 1, Limited}}
}

// Decision is whether a replica may get one more request now.
type Decision struct {
	May bool
	// NotBefore is when it may at the earliest if it may not now, and Why what keeps the
	// request from it.
	NotBefore time.Time
	Why       Reason
}

// Decide decides whether a replica with the bound may get one more request. got are the
// moments at which it was allowed one, the oldest first, by who counts since that moment:
// before it the replica is taken to have got evenly what it may, as somebody else may have
// counted, or nobody.
func Decide(b Bound, got []time.Time, since, now time.Time) Decision {
	d := Decision{May: true}
	for _, w := range b.windows() {
		if t := w.free(got, since, now); t.After(now) && t.After(d.NotBefore) {
			d = Decision{NotBefore: t, Why: w.why}
		}
	}
	return d
}

// free returns when the window has room for one more.
func (w window) free(got []time.Time, since, now time.Time) time.Time {
	if w.most < 1 {
		return now.Add(w.span)
	}
	begin := now.Add(-w.span)
	for len(got) > 0 && !got[0].After(begin) {
		got = got[1:]
	}
	step := w.span / time.Duration(w.most)
	before := 0
	if d := since.Sub(begin); d > 0 {
		before = min(w.most, int((d+step-1)/step))
	}
	over := before + len(got) - w.most
	if over < 0 {
		return now
	}
	if over < before {
		// Those before are a step apart, the last one at since.
		return since.Add(-time.Duration(before-1-over) * step).Add(w.span)
	}
	return got[over-before].Add(w.span)
}
