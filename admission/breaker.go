package admission

import "time"

const (
	breakAfter  = 5
	firstBreak  = time.Second
	longestStop = 30 * time.Second
)

// Breaker keeps requests from a backend server that fails them in a row. It
// is not safe for concurrent use.
type Breaker struct {
	failures int
	// retryAt is when one request may try again; zero while closed.
	retryAt time.Time
	stop    time.Duration
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
	*b = Breaker{}
}

// Failed opens it after breakAfter failures in a row, for twice as long each
// time that the try after it fails too.
func (b *Breaker) Failed(now time.Time) {
	b.failures++
	if b.failures < breakAfter {
		return
	}
	b.Open(now)
}

// Open stops requests at once, for a backend server that can't be reached.
func (b *Breaker) Open(now time.Time) {
	b.stop = min(longestStop, max(firstBreak, 2*b.stop))
	b.retryAt = now.Add(b.stop)
}
