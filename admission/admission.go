// Package admission decides whether a request is taken in at all. A request
// that can't be answered in time is refused at once, with when to come back,
// so that capacity goes to answers that are still wanted.
package admission

import (
	"math"
	"time"
)

// Refusal is a final answer of "not run", and when to ask again.
type Refusal struct {
	Reason  Reason
	RetryAt time.Time
}

// Reason names why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	// Late: the deadline can't be met.
	Late Reason = "deadline_cannot_be_met"
	// Share: the customer has its fair share and capacity is short.
	Share Reason = "fair_share"
	// Full: the limit is reached.
	Full Reason = "capacity"
	// NoReplica: no backend server has the version loaded.
	NoReplica Reason = "no_replica"
)

const (
	// minLimit keeps a trickle going that finds recovered capacity.
	minLimit = 2
	maxLimit = 10_000
	// startLimit is the limit before anything is known.
	startLimit = 32
	// backOff is what the limit shrinks to on a sign of overload.
	backOff = 0.85
	// calm is how long one shrinking lasts before the next.
	calm = 200 * time.Millisecond
	// crowded is the part of the limit from which shares count.
	crowded = 0.75
	// smoothing of the mean time of an answer.
	smoothing = 0.1
)

// Limiter bounds the requests that one instance has on one version or
// service, shares the bound between customers and learns it from the answers:
// it grows while they are in time and shrinks when they are late or refused.
// It is not safe for concurrent use.
type Limiter struct {
	limit   float64
	total   int
	running map[string]int
	shares  map[string]int
	// mean is the smoothed seconds of an answer.
	mean     float64
	shrinkAt time.Time
}

// NewLimiter returns a limiter at its starting limit.
func NewLimiter() *Limiter {
	return &Limiter{limit: startLimit, running: map[string]int{}, shares: map[string]int{}}
}

// Admit takes the request in or says why not. queued is the work waiting at
// the backend servers, by slot, in units of one answer's time.
func (l *Limiter) Admit(customer string, share int, queued float64, now, deadline time.Time) *Refusal {
	w := time.Duration((queued + 1) * l.mean * float64(time.Second))
	if l.mean > 0 && now.Add(w).After(deadline) {
		return &Refusal{Reason: Late, RetryAt: now.Add(l.drain(queued))}
	}
	if float64(l.total) >= l.limit {
		return &Refusal{Reason: Full, RetryAt: now.Add(l.drain(1))}
	}
	if float64(l.total) >= crowded*l.limit && l.overShare(customer, share) {
		return &Refusal{Reason: Share, RetryAt: now.Add(l.drain(1))}
	}
	l.total++
	l.running[customer]++
	l.shares[customer] = share
	return nil
}

// drain is a guess of how long the given work takes.
func (l *Limiter) drain(work float64) time.Duration {
	s := math.Max(0.05, work*l.mean)
	return time.Duration(math.Min(s, 30) * float64(time.Second))
}

// overShare reports whether the customer has at least its part of the limit
// among those that have requests running.
func (l *Limiter) overShare(customer string, share int) bool {
	t := share
	for c, n := range l.running {
		if n > 0 && c != customer {
			t += l.shares[c]
		}
	}
	return float64(l.running[customer]) >= l.limit*float64(share)/float64(t)
}

// Done gives the request's place back. took is the answer's time in seconds,
// 0 if there was none; overload says that it was late or refused.
func (l *Limiter) Done(customer string, took float64, overload bool, now time.Time) {
	l.total--
	if l.running[customer]--; l.running[customer] <= 0 {
		delete(l.running, customer)
		delete(l.shares, customer)
	}
	if took > 0 {
		l.learn(took)
	}
	if overload {
		l.shrink(now)
		return
	}
	if float64(l.total+1) >= l.limit/2 {
		l.limit = math.Min(maxLimit, l.limit+1/l.limit)
	}
}

func (l *Limiter) learn(took float64) {
	if l.mean == 0 {
		l.mean = took
		return
	}
	l.mean += smoothing * (took - l.mean)
}

func (l *Limiter) shrink(now time.Time) {
	if now.Before(l.shrinkAt) {
		return
	}
	l.limit = math.Max(minLimit, l.limit*backOff)
	l.shrinkAt = now.Add(calm)
}

// Limit returns the bound in force.
func (l *Limiter) Limit() int { return int(l.limit) }

// Running returns the requests taken in and not done.
func (l *Limiter) Running() int { return l.total }
