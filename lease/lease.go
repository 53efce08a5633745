// Package lease tells how old an instance's knowledge of the configuration
// is. A key that the operator takes away must stop working everywhere within
// a bound, also at an instance that can't be told: so the right to honour keys
// is a lease that each confirmation from the store, or from a peer that has
// one, prolongs.
package lease

import (
	"sync/atomic"
	"time"
)

// ExpiryRule says what becomes of keys when the last confirmation is too old.
type ExpiryRule int

const (
	// Strict: none is honoured any more.
	Strict ExpiryRule = iota
	// Lenient: the newest configuration that is known goes on deciding.
	Lenient
)

// String returns the rule's name in settings and logs.
func (r ExpiryRule) String() string {
	if r == Lenient {
		return "lenient"
	}
	return "strict"
}

// Lease is the right to honour keys. It is safe for concurrent use.
type Lease struct {
	length time.Duration
	// denies is how old a confirmation may be for a denial.
	denies time.Duration
	rule   ExpiryRule
	start  time.Time
	// confirmed is nanoseconds from start to the latest confirmed moment;
	// below 0 there was none.
	confirmed atomic.Int64
}

// never is the confirmed moment of a lease that no confirmation has begun.
const never = -1 << 62

// New returns a lease that no confirmation has begun. length is how long a
// confirmation holds for keys, denies how long one holds for denials: the time within
// which a change must be in force. now must carry Go's monotonic reading: a time of day
// that jumps has no say.
func New(length, denies time.Duration, r ExpiryRule, now time.Time) *Lease {
	l := &Lease{length: length, denies: denies, rule: r, start: now}
	l.confirmed.Store(never)
	return l
}

// Confirm says that the configuration held was the newest at the moment asOf:
// when the question was sent, not when the answer came.
func (l *Lease) Confirm(asOf time.Time) {
	n := int64(asOf.Sub(l.start))
	for {
		o := l.confirmed.Load()
		if n <= o || l.confirmed.CompareAndSwap(o, n) {
			return
		}
	}
}

// Age is the time since the last confirmed moment; ok is false if there was
// none.
func (l *Lease) Age(now time.Time) (age time.Duration, ok bool) {
	n := l.confirmed.Load()
	if n == never {
		return 0, false
	}
	return now.Sub(l.start) - time.Duration(n), true
}

// AllowsKeys reports whether keys may be honoured now. Under either rule none may
// before the first confirmation: what an instance has then is nobody's word.
func (l *Lease) AllowsKeys(now time.Time) bool {
	_, ok := l.Age(now)
	return ok && (l.rule == Lenient || l.Fresh(now, 1))
}

// AllowsDenials reports whether a request may be denied now because the configuration does not allow it:
// not where a newer one that must be in force may allow it, under either rule.
func (l *Lease) AllowsDenials(now time.Time) bool {
	a, ok := l.Age(now)
	return ok && a < min(l.denies, l.length)
}

// Fresh reports whether less than the given part of the lease is used up.
func (l *Lease) Fresh(now time.Time, part float64) bool {
	a, ok := l.Age(now)
	return ok && a < time.Duration(part*float64(l.length))
}
