package admission

import (
	"math/bits"
	"time"
)

const (
	// breakAfter failures in a row open a breaker.
	breakAfter  = 5
	firstBreak  = time.Second
	longestStop = 30 * time.Second
	// window is how many outcomes the rate of failures is taken from, and
	// minFailures how many of them must be failures: fewer happen by chance.
	window      = 20
	minFailures = 4
	// badRate is the part of failures from which a backend server is worse
	// than sound ones are at any time; badTimes is how many times the usual
	// rate of its kind it must have as well.
	badRate  = 0.25
	badTimes = 3
	// relapse is how soon after a stop the next one counts as its
	// continuation and lasts longer.
	relapse = 15 * time.Second
)

// Breaker keeps requests from a backend server that fails them in a row, or
// fails many more of them than others of its kind do. It is not safe for
// concurrent use.
type Breaker struct {
	failures int
	// recent holds a bit for each of the last outcomes, 1 for a failure.
	recent uint32
	seen   int
	// retryAt is when one request may try again; zero while closed.
	retryAt time.Time
	stop    time.Duration
	// relapseUntil is until when another stop is longer than the last.
	relapseUntil time.Time
}

// Allows reports whether a request may go to the backend server now.
func (b *Breaker) Allows(now time.Time) bool {
	return b.retryAt.IsZero() || !now.Before(b.retryAt)
}

// Tried is called when a request is sent: of those that an open breaker
// lets through, one goes and the rest wait for its result.
func (b *Breaker) Tried(now time.Time) {
	if !b.retryAt.IsZero() {
		b.retryAt = now.Add(b.stop)
	}
}

// Succeeded closes the breaker.
func (b *Breaker) Succeeded() {
	b.failures = 0
	b.retryAt = time.Time{}
	b.note(0)
}

// Failed opens it after breakAfter failures in a row, for twice as long each
// time that the try after it fails too. usual is the rate of failures of
// others of its kind, from 0 to 1.
func (b *Breaker) Failed(now time.Time, usual float64) {
	b.failures++
	b.note(1)
	if b.failures >= breakAfter || !b.retryAt.IsZero() || b.isWorse(usual) {
		b.Open(now)
	}
}

func (b *Breaker) note(bit uint32) {
	b.recent = (b.recent<<1 | bit) & (1<<window - 1)
	b.seen = min(window, b.seen+1)
}

// isWorse reports whether the failures are more than chance and than usual.
func (b *Breaker) isWorse(usual float64) bool {
	n := bits.OnesCount32(b.recent)
	r := b.Rate()
	return n >= minFailures && r >= badRate && r >= badTimes*usual
}

// Rate is the part of failures among the recent outcomes.
func (b *Breaker) Rate() float64 {
	if b.seen == 0 {
		return 0
	}
	return float64(bits.OnesCount32(b.recent)) / float64(b.seen)
}

// Open stops requests at once, for a backend server that can't be reached or
// fails too many.
func (b *Breaker) Open(now time.Time) {
	if now.After(b.relapseUntil) {
		b.stop = 0
	}
	b.stop = min(longestStop, max(firstBreak, 2*b.stop))
	b.retryAt = now.Add(b.stop)
	b.relapseUntil = b.retryAt.Add(relapse)
	b.recent, b.seen = 0, 0
}
