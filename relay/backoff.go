package relay

import "time"

const (
	// firstPause and longestPause bound how long an instance of the first two
	// tiers leaves a store alone that failed it: all have to know what is
	// newest three seconds after its return, also where the watching ones have
	// ended meanwhile. The next tiers leave it alone longer, once more for
	// each tier before them, but for mostPauses at most: all calls have a
	// price, and those ranked before go on asking.
	firstPause   = 400 * time.Millisecond
	longestPause = 1200 * time.Millisecond
	mostPauses   = 8
)

// backoff is until when an instance leaves a store alone that failed it; it
// asks other instances meanwhile. The zero value lets it ask at once.
type backoff struct {
	until time.Time
	// pause is how long the store was left alone the last time.
	pause time.Duration
}

// waits reports whether it is not yet time to ask the store again.
func (b backoff) waits(now time.Time) bool { return now.Before(b.until) }

// withFailure returns the backoff after the store failed an instance of that
// tier.
func (b backoff) withFailure(tier int, now time.Time) backoff {
	t := time.Duration(min(mostPauses, max(1, tier)))
	p := min(t*longestPause, max(t*firstPause, 2*b.pause))
	return backoff{until: now.Add(p), pause: p}
}

// leftToOthers is the backoff of an instance that leaves the store to others.
func leftToOthers(now time.Time) backoff {
	const pause = mostPauses * longestPause
	return backoff{until: now.Add(pause), pause: pause}
}

// withSource returns the backoff after another instance could tell what the
// store could not.
func (b backoff) withSource(now time.Time) backoff {
	return backoff{until: now.Add(avoidFor), pause: b.pause}
}

// withAnswer returns the backoff after the store answered: its next pause is
// short again.
func (b backoff) withAnswer() backoff { return backoff{until: b.until} }
