package capacity

import (
	"slices"
	"time"
)

const (
	// baseSpan is how long the shortest round trip stays the one of an idle link.
	baseSpan = time.Minute
	// sampleSpan is how long a sample shows how far the link is behind, minSamples how many are needed:
	// a single server may be slow to accept, or down.
	sampleSpan = 200 * time.Millisecond
	minSamples = 3
)

// Purpose is what a connection is opened for.
type Purpose int

// A connection to a backend server is opened for requests, one to another instance or to the store only to see
// how far the link is behind.
const (
	ForRequests Purpose = iota
	ForProbe
)

// trip is an attempt to connect.
type trip struct {
	purpose Purpose
	began   time.Time
	ended   time.Time
	isSound bool
}

// took returns how long the attempt took, or has taken so far.
func (t *trip) took(now time.Time) time.Duration {
	if t.ended.IsZero() {
		return now.Sub(t.began)
	}
	return t.ended.Sub(t.began)
}

// roundTrips estimates from the times that connections to other machines take to open how far the
// instance's own link is behind. A slow machine delays its own connections only, a full link all of them.
type roundTrips struct {
	// base is the shortest round trip since baseFrom, nextBase that of the second half of baseSpan.
	base, nextBase time.Duration
	baseFrom       time.Time
	// ended are the last attempts that ended, the newest first; pending the others.
	ended   []*trip
	pending []*trip
	// lastBegan is when the last attempt began.
	lastBegan time.Time
}

// begin records that an attempt to connect begins.
func (r *roundTrips) begin(p Purpose, now time.Time) *trip {
	t := &trip{purpose: p, began: now}
	r.lastBegan = now
	r.pending = append(r.pending, t)
	return t
}

// end records the end of an attempt to connect.
func (r *roundTrips) end(t *trip, isConnected bool, now time.Time) {
	t.ended, t.isSound = now, isConnected
	r.pending = slices.DeleteFunc(r.pending, func(o *trip) bool { return o == t })
	r.ended = slices.Insert(r.ended, 0, t)
	r.ended = r.ended[:min(len(r.ended), minSamples)]
	if isConnected {
		r.updateBase(t.took(now), now)
	}
}

func (r *roundTrips) updateBase(took time.Duration, now time.Time) {
	if r.base == 0 || took < r.base {
		r.base = took
	}
	if r.nextBase == 0 || took < r.nextBase {
		r.nextBase = took
	}
	if now.Sub(r.baseFrom) > baseSpan/2 {
		r.base, r.nextBase, r.baseFrom = r.nextBase, 0, now
	}
}

// recent returns the attempts that show how far the link is behind now: those that ended lately, then those
// that have not ended, the oldest first.
func (r *roundTrips) recent(now time.Time) []*trip {
	var l []*trip
	for _, t := range r.ended {
		if now.Sub(t.ended) <= sampleSpan {
			l = append(l, t)
		}
	}
	return append(l, r.pending...)
}

// delay returns how far the link is behind, by the shortest of the attempts that show it, and whether there are
// enough to tell. Attempts that failed or have not ended show it only beside a probe: the servers may be
// down, or the links to them cut.
func (r *roundTrips) delay(now time.Time) (d time.Duration, isKnown bool) {
	l := r.recent(now)
	if len(l) < minSamples {
		return 0, false
	}
	d = l[0].took(now)
	isProbed, sound := false, 0
	for i, t := range l {
		if t.isSound {
			sound++
		}
		// A probe that has just begun shows nothing yet.
		isYoung := t.ended.IsZero() && t.took(now) < maxLinkDelay
		if t.purpose == ForProbe && !isYoung {
			isProbed = true
		}
		if i < minSamples && !isYoung {
			d = min(d, t.took(now))
		}
	}
	return max(0, d-r.base), isProbed || sound >= minSamples
}
