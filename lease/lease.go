// Package lease holds the time since an instance's configuration was last confirmed as the
// newest. A key that the operator revokes must stop working at all instances within a
// bound, also at an instance that can't be reached: permission to honour keys is therefore
// a lease, which is renewed by each confirmation from the store, or from a peer that has
// one.
package lease

import (
	"sync/atomic"
	"time"
)

// ExpiryRule determines whether keys are honoured after the lease has expired.
type ExpiryRule int

const (
	// Strict: no key is honoured.
	Strict ExpiryRule = iota
	// Lenient: the newest configuration received remains in force.
	Lenient
)

// String returns the rule's name in settings and logs.
func (r ExpiryRule) String() string {
	if r == Lenient {
		return "lenient"
	}
	return "strict"
}

// Lease is the permission to honour keys. It is safe for concurrent use.
type Lease struct {
	length time.Duration
	// denialLength is the age of a confirmation up to which requests may be denied.
	denialLength time.Duration
	rule         ExpiryRule
	start        time.Time
	// confirmed is the latest confirmed moment, in nanoseconds since start, or never.
	confirmed atomic.Int64
}

// never is the confirmed moment of a lease without a confirmation.
const never = -1 << 62

// New returns a lease without a confirmation. length is how long a confirmation is valid
// for honouring keys, denials how long for denying requests: the time within which a
// change must be in force. now must have a monotonic clock reading, so that changes of the
// wall clock have no effect.
func New(length, denials time.Duration, r ExpiryRule, now time.Time) *Lease {
	l := &Lease{length: length, denialLength: denials, rule: r, start: now}
	l.confirmed.Store(never)
	return l
}

// Confirm records that the configuration was the newest at the moment asOf, which is when
// the query was sent, not when the answer arrived.
func (l *Lease) Confirm(asOf time.Time) {
	n := int64(asOf.Sub(l.start))
	for {
		o := l.confirmed.Load()
		if n <= o || l.confirmed.CompareAndSwap(o, n) {
			return
		}
	}
}

// Age returns the time since the latest confirmed moment; ok is false if there is none.
func (l *Lease) Age(now time.Time) (age time.Duration, ok bool) {
	n := l.confirmed.Load()
	if n == never {
		return 0, false
	}
	return now.Sub(l.start) - time.Duration(n), true
}

// AllowsKeys reports whether keys may be honoured at now. Under either rule none may be
// before the first confirmation: until then no source has confirmed the configuration.
func (l *Lease) AllowsKeys(now time.Time) bool {
	_, ok := l.Age(now)
	return ok && (l.rule == Lenient || l.Fresh(now, 1))
}

// AllowsDenials reports whether a request may be denied at now because the configuration
// does not allow it. Under either rule it may not be once a newer configuration, which
// must be in force by now, may allow it.
func (l *Lease) AllowsDenials(now time.Time) bool {
	a, ok := l.Age(now)
	return ok && a < min(l.denialLength, l.length)
}

// Fresh reports whether less than the given part of the lease has passed.
func (l *Lease) Fresh(now time.Time, part float64) bool {
	a, ok := l.Age(now)
	return ok && a < time.Duration(part*float64(l.length))
}
