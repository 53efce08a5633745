package notice

import "time"

// Belief is what is believed of one replica. It is immutable; its zero value is of one that
// said nothing.
type Belief struct {
	Service string
	// DrainingSince is when the first answer came that says that it leaves; zero if none
	// did. Nothing takes that back: the belief ends with the replica's life.
	DrainingSince time.Time
	// RestUntil is until when it wants no request; zero once it answered one that was
	// sent later.
	RestUntil time.Time
	// TrialUntil is until when a request that was sent after the rest has it alone.
	TrialUntil time.Time
	// HeardAt is when it was last heard of.
	HeardAt time.Time
}

// Availability is whether a replica may get a request.
type Availability int

const (
	// Available: it said nothing that speaks against it.
	Available Availability = iota
	// LastResort: it leaves, and serves on for a while where there is no other.
	LastResort
	// Leaving: it ends soon.
	Leaving
	// Resting: it wants no request now, or whether it takes any again is being tried.
	Resting
)

// May reports whether the verdict allows a request.
func (v Availability) May() bool { return v == Available || v == LastResort }

// Verdict returns whether the replica may get a request now. servesFor is how long after its
// word a leaving one still serves what it gets.
func (b Belief) Verdict(now time.Time, servesFor time.Duration) Availability {
	switch {
	case b.IsResting(now) || now.Before(b.TrialUntil):
		return Resting
	case !b.IsDraining():
		return Available
	case now.Before(b.DrainingSince.Add(servesFor)):
		return LastResort
	}
	return Leaving
}

// trialFor is how long one request after a rest has the replica alone, if no answer comes.
const trialFor = 250 * time.Millisecond

// WithTrial returns the belief with a request sent now. After a rest it is a trial: what asked for rest
// may well want more, and only its next answer shows.
func (b Belief) WithTrial(now time.Time) Belief {
	if !b.RestUntil.IsZero() {
		b.TrialUntil = now.Add(trialFor)
	}
	return b
}

// With returns the belief with a notice counted. Of two rests the one that ends later counts:
// the replica may have asked for both.
func (b Belief) With(n Notice) Belief {
	b.Service, b.HeardAt = n.Service, n.ReceivedAt
	if n.Draining && b.DrainingSince.IsZero() {
		b.DrainingSince = n.ReceivedAt
	}
	switch {
	case n.BackoffUntil.After(b.RestUntil):
		b.RestUntil = n.BackoffUntil
	case !n.Refused && !n.SentAt.Before(b.RestUntil):
		b.RestUntil, b.TrialUntil = time.Time{}, time.Time{}
	}
	return b
}

// IsDraining reports whether the replica said that it leaves.
func (b Belief) IsDraining() bool { return !b.DrainingSince.IsZero() }

// IsResting reports whether it wants no request now.
func (b Belief) IsResting(now time.Time) bool { return now.Before(b.RestUntil) }

// isEmpty reports whether nothing is believed.
func (b Belief) isEmpty() bool { return b.DrainingSince.IsZero() && b.RestUntil.IsZero() }
