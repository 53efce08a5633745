package quota

import (
	"math"
	"time"
)

const (
	// limitWindow is the time span over which an advertised limit is enforced. After a pause a
	// replica may get a burst, but no more in all than the limit allows in the span.
	limitWindow = 4 * time.Second
	// transitMargin is by how much two requests may change their order between being permitted and
	// arriving. The window is longer by this margin, so that also the arrivals within limitWindow
	// stay below the limit.
	transitMargin = 100 * time.Millisecond
	// probeInterval is the longest time between two requests to a limited replica, whatever limit
	// it advertises: a replica that gets no request could not report the end of its limit. A
	// replica gets more than it advertises only if that is less than one request in this interval.
	probeInterval = 5 * time.Second
	// coldWindow is the time span over which requests to a cold replica are counted.
	coldWindow = time.Second
)

// Bound is what one replica may get from all instances together. The zero value is no bound.
type Bound struct {
	// IsFragile is true if the replica crashes when it has to reject more than Rejections requests in
	// a second.
	IsFragile  bool
	Rejections float64
	// IsLimited is true if the replica advertises a limit, which is PerSecond requests a second.
	IsLimited bool
	PerSecond float64
	// ColdPerSecond is how many requests the replica may get in any second while it is or may be
	// cold; 0 for a warm replica.
	ColdPerSecond float64
}

// IsBounded reports whether there is any bound.
func (b Bound) IsBounded() bool { return b.IsLimited || b.ColdPerSecond > 0 || b.IsFragile }

// isOnlyFragile reports whether the replica is bounded only in what it may have to reject.
func (b Bound) isOnlyFragile() bool { return b.IsFragile && !b.IsLimited && b.ColdPerSecond <= 0 }

// window allows a replica at most limit requests in any time span of the length span.
type window struct {
	span   time.Duration
	limit  int
	reason Reason
}

// Reason is why a request may not be sent to a replica.
type Reason string

// The reasons.
const (
	ReasonNone           Reason = ""
	ReasonLimited        Reason = "limited"
	ReasonCold           Reason = "cold"
	ReasonFragile        Reason = "may crash if it rejects more"
	ReasonNoOwner        Reason = "nobody who counts can be reached"
	ReasonHigherPriority Reason = "wanted for more urgent requests"
)

// windows returns the windows that enforce the bound. A request must fit all of them.
func (b Bound) windows() []window {
	var l []window
	if b.IsLimited {
		l = limitWindows(b.PerSecond)
	}
	if b.ColdPerSecond > 0 {
		l = append(l, window{coldWindow, int(b.ColdPerSecond), ReasonCold})
	}
	return l
}

// limitWindows returns the windows that enforce an advertised limit: one for limitWindow, in whole
// requests, and one that spreads these over the seconds. A limit below one request per limitWindow
// has a single window, with one request.
func limitWindows(perSecond float64) []window {
	const rounding = 1e-9
	n := math.Floor(perSecond*limitWindow.Seconds() + rounding)
	if n >= 1 {
		return []window{
			{time.Second, int(math.Ceil(perSecond - rounding)), ReasonLimited},
			{limitWindow + transitMargin, int(n), ReasonLimited},
		}
	}
	every := probeInterval
	if x := 1 / perSecond; x < probeInterval.Seconds() {
		every = time.Duration(x * float64(time.Second))
	}
	return []window{{every + transitMargin, 1, ReasonLimited}}
}

// Decision is whether a replica may get one more request now.
type Decision struct {
	Allowed bool
	// NotBefore is the earliest time at which the request may be sent, and Reason what prevents it,
	// if it is not allowed now.
	NotBefore time.Time
	Reason    Reason
}

// Decide decides whether a replica with the bound may get one more request. granted are the times
// of the requests that the owner permitted since ownedSince, the oldest first. Before ownedSince
// another owner may have permitted requests, or instances sent them without one, so the replica is
// assumed to have got its full limit, evenly spread.
func Decide(b Bound, granted []time.Time, ownedSince, now time.Time) Decision {
	d := Decision{Allowed: true}
	for _, w := range b.windows() {
		if t := w.nextFree(granted, ownedSince, now); t.After(now) && t.After(d.NotBefore) {
			d = Decision{NotBefore: t, Reason: w.reason}
		}
	}
	return d
}

// nextFree returns the earliest time at which the window has room for one more request.
func (w window) nextFree(granted []time.Time, ownedSince, now time.Time) time.Time {
	if w.limit < 1 {
		return now.Add(w.span)
	}
	begin := now.Add(-w.span)
	for len(granted) > 0 && !granted[0].After(begin) {
		granted = granted[1:]
	}
	step := w.span / time.Duration(w.limit)
	before := 0
	if d := ownedSince.Sub(begin); d > 0 {
		before = min(w.limit, int((d+step-1)/step))
	}
	over := before + len(granted) - w.limit
	if over < 0 {
		return now
	}
	if over < before {
		// The requests assumed before ownedSince are one step apart, the last one at ownedSince.
		return ownedSince.Add(-time.Duration(before-1-over) * step).Add(w.span)
	}
	return granted[over-before].Add(w.span)
}
