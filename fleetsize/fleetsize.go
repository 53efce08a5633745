// Package fleetsize holds what an instance knows of the number of instances. Bounds of the
// whole fleet are divided by it, so it must not be too small: it is the largest estimate that
// has held for a while lately.
package fleetsize

import "time"

const (
	// settlePeriod is how long estimates must be steady until they count. Members that lost their
	// registrations register again within it, one after another, and followers that change their
	// source are counted twice for less.
	settlePeriod = 3 * time.Second
	// steadyRange is the largest ratio of two estimates that are steady.
	steadyRange = 1.25
	// retention is the least time for which a size is kept after estimates have fallen. A fleet
	// that has lost instances uses less than its bound until then.
	retention = 10 * time.Minute
)

// Record is what one instance knows of the number of instances. Its zero value knows nothing. It is
// immutable.
type Record struct {
	// largest is the size reached in the current period, which ends at periodEndsAt, and previous
	// that of the period before.
	largest, previous int
	periodEndsAt      time.Time
	// low and high are the smallest and the largest of the latest estimates, which are steady.
	// They count from settlesAt.
	low, high int
	settlesAt time.Time
	// since is when Size last changed.
	since time.Time
}

// WithEstimate returns the record after an estimate. The instance must have current state: one
// that is cut off counts too few. An estimate of 0 is ignored.
func (r Record) WithEstimate(n int, now time.Time) Record {
	if n <= 0 {
		return r
	}
	before := r.Size()
	if !now.Before(r.periodEndsAt) {
		r.previous, r.largest, r.periodEndsAt = r.largest, 0, now.Add(retention)
	}
	r.low, r.high = min(r.low, n), max(r.high, n)
	if float64(r.high) > steadyRange*float64(r.low) {
		r.low, r.high, r.settlesAt = n, n, now.Add(settlePeriod)
	}
	if !now.Before(r.settlesAt) {
		r.largest = max(r.largest, r.high)
	}
	return r.withSince(before, now)
}

// WithReport returns the record after another instance has reported its size. An instance uses the
// report only while it has no size of its own, as reports would otherwise keep a size up for ever.
func (r Record) WithReport(n int, now time.Time) Record {
	if n <= 0 || r.Size() > 0 {
		return r
	}
	r.largest, r.periodEndsAt = n, now.Add(retention)
	return r.withSince(0, now)
}

// withSince sets since if the size was another one before.
func (r Record) withSince(before int, now time.Time) Record {
	if r.Size() != before {
		r.since = now
	}
	return r
}

// Size returns the number of instances, or 0 if it is not known well enough.
func (r Record) Size() int { return max(r.largest, r.previous) }

// Since is when the size was reached; zero if it is unknown.
func (r Record) Since() time.Time { return r.since }
