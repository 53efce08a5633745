package admission

import (
	"math/bits"
	"time"
)

const (
	// failuresToOpen is the number of consecutive failures that opens a breaker.
	failuresToOpen    = 5
	initialOpenPeriod = time.Second
	maxOpenPeriod     = 30 * time.Second
	// outcomeWindow is the number of recent outcomes over which the failure rate
	// is computed. At least minFailures of them must be failures, since fewer
	// occur by chance.
	outcomeWindow = 20
	minFailures   = 4
	// A breaker opens on the failure rate only if the rate is at least
	// minFailureRate, which healthy backend servers never reach, and at least
	// usualRateFactor times the usual rate of the other servers of its kind.
	minFailureRate  = 0.25
	usualRateFactor = 3
	// relapsePeriod follows each open period. A breaker that opens again within
	// it stays open for longer.
	relapsePeriod = 15 * time.Second
)

// Breaker is the circuit breaker of one backend server. It opens on consecutive
// failures, or when the server fails a much larger fraction of its requests than
// others of its kind. It is not safe for concurrent use.
type Breaker struct {
	consecutiveFailures int
	// outcomes holds one bit for each recent outcome, 1 for a failure.
	outcomes     uint32
	outcomeCount int
	// probeAt is when a request may probe the server; zero while the breaker is
	// closed.
	probeAt    time.Time
	openPeriod time.Duration
	// relapseUntil is the end of the relapse period: opening before it doubles
	// the open period.
	relapseUntil time.Time
}

// Allows reports whether a request may be sent to the backend server now.
func (b *Breaker) Allows(now time.Time) bool {
	return b.probeAt.IsZero() || !now.Before(b.probeAt)
}

// RecordAttempt records that a request was sent. While the breaker is open, it postpones
// the next probe by another open period, so that a single request probes the
// server and others are held back until its result.
func (b *Breaker) RecordAttempt(now time.Time) {
	if !b.probeAt.IsZero() {
		b.probeAt = now.Add(b.openPeriod)
	}
}

// WithdrawAttempt withdraws an attempt that was recorded and then not sent. While the
// breaker is open, the next request may probe the server at once.
func (b *Breaker) WithdrawAttempt(now time.Time) {
	if !b.probeAt.IsZero() {
		b.probeAt = now
	}
}

// RecordSuccess records a success and closes the breaker.
func (b *Breaker) RecordSuccess() {
	b.consecutiveFailures = 0
	b.probeAt = time.Time{}
	b.recordOutcome(0)
}

// RecordFailure records a failure. It opens the breaker after failuresToOpen
// consecutive failures, on an excessive failure rate, or when the probe of an
// open breaker fails; each failed probe doubles the open period. usualRate is the
// failure rate of the other servers of its kind, from 0 to 1.
func (b *Breaker) RecordFailure(now time.Time, usualRate float64) {
	b.consecutiveFailures++
	b.recordOutcome(1)
	if b.consecutiveFailures >= failuresToOpen || !b.probeAt.IsZero() || b.isWorse(usualRate) {
		b.Open(now)
	}
}

func (b *Breaker) recordOutcome(bit uint32) {
	b.outcomes = (b.outcomes<<1 | bit) & (1<<outcomeWindow - 1)
	b.outcomeCount = min(outcomeWindow, b.outcomeCount+1)
}

// isWorse reports whether the failure rate exceeds both what occurs by chance and
// the usual rate by the required factor.
func (b *Breaker) isWorse(usualRate float64) bool {
	n := bits.OnesCount32(b.outcomes)
	r := b.FailureRate()
	return n >= minFailures && r >= minFailureRate && r >= usualRateFactor*usualRate
}

// FailureRate returns the fraction of failures among the recent outcomes.
func (b *Breaker) FailureRate() float64 {
	if b.outcomeCount == 0 {
		return 0
	}
	return float64(bits.OnesCount32(b.outcomes)) / float64(b.outcomeCount)
}

// Open opens the breaker immediately, such as for a backend server that can't be
// reached.
func (b *Breaker) Open(now time.Time) {
	if now.After(b.relapseUntil) {
		b.openPeriod = 0
	}
	b.openPeriod = min(maxOpenPeriod, max(initialOpenPeriod, 2*b.openPeriod))
	b.probeAt = now.Add(b.openPeriod)
	b.relapseUntil = b.probeAt.Add(relapsePeriod)
	b.outcomes, b.outcomeCount = 0, 0
}
