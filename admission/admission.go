// Package admission decides whether an instance accepts a request. A request
// that can't be answered before its deadline is rejected immediately, together
// with the earliest useful retry time, so that capacity is spent on responses
// that a client still waits for.
package admission

import (
	"math"
	"time"
)

// Refusal is the rejection of a request that was not executed. RetryAt is the
// time from which a retry is useful.
type Refusal struct {
	Reason  Reason
	RetryAt time.Time
}

// Reason is the cause of a rejection.
type Reason string

// The causes of a rejection.
const (
	// DeadlineUnreachable: the request would finish after its deadline.
	DeadlineUnreachable Reason = "deadline_cannot_be_met"
	// FairShareReached: capacity is short and the customer already uses its fair share.
	FairShareReached Reason = "fair_share"
	// LimitReached: the concurrency limit is reached.
	LimitReached Reason = "capacity"
	// NoReplica: no backend server has the version loaded.
	NoReplica Reason = "no_replica"
)

const (
	// minLimit keeps a few requests running during an overload, so that the
	// limiter notices when capacity has recovered.
	minLimit = 2
	maxLimit = 10_000
	// initialLimit is the concurrency limit before the first response.
	initialLimit = 32
	// limitDecreaseFactor is the factor applied to the limit on an overload signal.
	limitDecreaseFactor = 0.85
	// decreaseInterval is the minimum time between two decreases of the limit.
	decreaseInterval = 200 * time.Millisecond
	// shareThreshold is the fraction of the limit above which fair shares are enforced.
	shareThreshold = 0.75
	// responseTimeWeight is the weight of one response in the mean response time.
	responseTimeWeight = 0.1
)

// Limiter is an adaptive concurrency limit for the requests of one instance to
// one version or service. It divides the limit between customers by weight. The
// limit grows while responses arrive in time and shrinks when they are late or
// rejected. It is not safe for concurrent use.
type Limiter struct {
	limit              float64
	inFlight           int
	inFlightByCustomer map[string]int
	shares             map[string]int
	// meanSeconds is the exponentially weighted mean response time in seconds.
	meanSeconds  float64
	nextDecrease time.Time
}

// NewLimiter returns a limiter at its initial limit.
func NewLimiter() *Limiter {
	return &Limiter{limit: initialLimit, inFlightByCustomer: map[string]int{}, shares: map[string]int{}}
}

// Admit accepts the request and returns nil, or returns why it is rejected.
// queued is the work that waits at the backend servers per slot, in units of
// the mean response time.
func (l *Limiter) Admit(customer string, share int, queued float64, now, deadline time.Time) *Refusal {
	w := time.Duration((queued + 1) * l.meanSeconds * float64(time.Second))
	if l.meanSeconds > 0 && now.Add(w).After(deadline) {
		return &Refusal{Reason: DeadlineUnreachable, RetryAt: now.Add(l.estimateWait(queued))}
	}
	if float64(l.inFlight) >= l.limit {
		return &Refusal{Reason: LimitReached, RetryAt: now.Add(l.estimateWait(1))}
	}
	if float64(l.inFlight) >= shareThreshold*l.limit && l.usesFairShare(customer, share) {
		return &Refusal{Reason: FairShareReached, RetryAt: now.Add(l.estimateWait(1))}
	}
	l.inFlight++
	l.inFlightByCustomer[customer]++
	l.shares[customer] = share
	return nil
}

// estimateWait estimates how long the given work takes, in units of the mean response
// time. The result is between 50 ms and 30 s.
func (l *Limiter) estimateWait(work float64) time.Duration {
	s := math.Max(0.05, work*l.meanSeconds)
	return time.Duration(math.Min(s, 30) * float64(time.Second))
}

// usesFairShare reports whether the customer uses at least its weighted part of the
// limit. Only customers with requests in flight take part in the division.
func (l *Limiter) usesFairShare(customer string, share int) bool {
	t := share
	for c, n := range l.inFlightByCustomer {
		if n > 0 && c != customer {
			t += l.shares[c]
		}
	}
	return float64(l.inFlightByCustomer[customer]) >= l.limit*float64(share)/float64(t)
}

// Release frees the slot of an accepted request. seconds is the response time in
// seconds, 0 without a response; overload reports that the response was late or
// that the backend server rejected the request.
func (l *Limiter) Release(customer string, seconds float64, overload bool, now time.Time) {
	l.inFlight--
	if l.inFlightByCustomer[customer]--; l.inFlightByCustomer[customer] <= 0 {
		delete(l.inFlightByCustomer, customer)
		delete(l.shares, customer)
	}
	if seconds > 0 {
		l.updateMean(seconds)
	}
	if overload {
		l.decreaseLimit(now)
		return
	}
	if float64(l.inFlight+1) >= l.limit/2 {
		l.limit = math.Min(maxLimit, l.limit+1/l.limit)
	}
}

func (l *Limiter) updateMean(seconds float64) {
	if l.meanSeconds == 0 {
		l.meanSeconds = seconds
		return
	}
	l.meanSeconds += responseTimeWeight * (seconds - l.meanSeconds)
}

func (l *Limiter) decreaseLimit(now time.Time) {
	if now.Before(l.nextDecrease) {
		return
	}
	l.limit = math.Max(minLimit, l.limit*limitDecreaseFactor)
	l.nextDecrease = now.Add(decreaseInterval)
}

// Limit returns the current concurrency limit.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight returns the number of accepted requests that have not finished.
func (l *Limiter) InFlight() int { return l.inFlight }
