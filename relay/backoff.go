package relay

import "time"

const (
	// initialPause and maxPause bound for how long an instance of the first two tiers does
	// not ask a store that failed: all instances must have the newest state three seconds
	// after the store is back, also where the watchers have ended meanwhile. Later tiers
	// pause longer, by a factor that is their tier up to maxPauseFactor: each call has a
	// cost, and the instances ranked before them go on asking.
	initialPause   = 400 * time.Millisecond
	maxPause       = 1200 * time.Millisecond
	maxPauseFactor = 8
)

// backoff is until when an instance does not ask a store that failed; it queries other
// instances meanwhile. The zero value permits a call at once.
type backoff struct {
	until time.Time
	// pause is the length of the last pause.
	pause time.Duration
}

// isActive reports whether the store must not be asked yet.
func (b backoff) isActive(now time.Time) bool { return now.Before(b.until) }

// afterFailure returns the backoff after the store failed for an instance of the tier.
func (b backoff) afterFailure(tier int, now time.Time) backoff {
	t := time.Duration(min(maxPauseFactor, max(1, tier)))
	p := min(t*maxPause, max(t*initialPause, 2*b.pause))
	return backoff{until: now.Add(p), pause: p}
}

// deferredBackoff returns the backoff of an instance that leaves the store to others.
func deferredBackoff(now time.Time) backoff {
	const pause = maxPauseFactor * maxPause
	return backoff{until: now.Add(pause), pause: pause}
}

// afterPeerAnswer returns the backoff after the store failed and another instance answered.
func (b backoff) afterPeerAnswer(now time.Time) backoff {
	return backoff{until: now.Add(longAvoid), pause: b.pause}
}

// afterStoreAnswer returns the backoff after an answer of the store: the next pause is
// short again.
func (b backoff) afterStoreAnswer() backoff { return backoff{until: b.until} }
