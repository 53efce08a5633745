package notice

import "time"

// Belief is what is believed of one replica. It is immutable; its zero value is of one that
// said nothing.
type Belief struct {
	Service string
	// LeavesFrom is when the first answer came that says that it leaves; zero if none
	// did. Nothing takes that back: the belief ends with the replica's life.
	LeavesFrom time.Time
	// RestUntil is until when it wants no request; zero once it answered one that was
	// sent later.
	RestUntil time.Time
	// HeardAt is when it was last heard of.
	HeardAt time.Time
}

// With returns the belief with a notice counted. Of two rests the one that ends later counts:
// the replica may have asked for both.
func (b Belief) With(n Notice) Belief {
	b.Service, b.HeardAt = n.Service, n.HeardAt
	if n.Leaves && b.LeavesFrom.IsZero() {
		b.LeavesFrom = n.HeardAt
	}
	switch {
	case n.RestUntil.After(b.RestUntil):
		b.RestUntil = n.RestUntil
	case !n.Refused && !n.SentAt.Before(b.RestUntil):
		b.RestUntil = time.Time{}
	}
	return b
}

// IsLeaving reports whether the replica said that it leaves.
func (b Belief) IsLeaving() bool { return !b.LeavesFrom.IsZero() }

// IsResting reports whether it wants no request now.
func (b Belief) IsResting(now time.Time) bool { return now.Before(b.RestUntil) }

// Says tells what holds now: since when the replica leaves, or for how long it rests; empty for
// nothing.
func (b Belief) Says(now time.Time) string {
	switch {
	case b.IsLeaving():
		return "leaves since " + now.Sub(b.LeavesFrom).String()
	case b.IsResting(now):
		return "rests for " + b.RestUntil.Sub(now).String()
	}
	return ""
}

// isEmpty reports whether nothing is believed.
func (b Belief) isEmpty() bool { return b.LeavesFrom.IsZero() && b.RestUntil.IsZero() }
