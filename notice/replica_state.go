package notice

import "time"

// ReplicaState is what one replica has reported about itself. It is immutable; the zero value is
// the state of a replica that reported nothing.
type ReplicaState struct {
	Service string
	// DrainingSince is when the first response arrived that reports draining; zero if none did. A
	// later response does not clear it, since a replica id stands for one incarnation and draining
	// ends only with that.
	DrainingSince time.Time
	// BackoffUntil is the time until which the replica wants no request; zero again once it
	// accepted a request that was sent after that time.
	BackoffUntil time.Time
	// TrialUntil is the time until which a trial request, sent after the backoff ended, is the only
	// request that the replica gets.
	TrialUntil time.Time
	// LastReceivedAt is when the latest response of the replica arrived.
	LastReceivedAt time.Time
}

// Availability is whether a replica may get a request.
type Availability int

const (
	// Available: the replica reported nothing that excludes it.
	Available Availability = iota
	// LastResort: the replica is draining, but still accepts requests for a while and gets them
	// where no other replica is available.
	LastResort
	// Draining: the replica is about to shut down and gets no request.
	Draining
	// BackingOff: the replica requested a backoff that has not ended, or a trial request after the
	// backoff is under way.
	BackingOff
)

// IsUsable reports whether a replica with this availability may get a request.
func (v Availability) IsUsable() bool { return v == Available || v == LastResort }

// Availability returns whether the replica may get a request now. lastResortFor is how long after
// its first report of draining a replica may still get requests as the last resort.
func (s ReplicaState) Availability(now time.Time, lastResortFor time.Duration) Availability {
	switch {
	case s.IsBackingOff(now) || now.Before(s.TrialUntil):
		return BackingOff
	case !s.IsDraining():
		return Available
	case now.Before(s.DrainingSince.Add(lastResortFor)):
		return LastResort
	}
	return Draining
}

// trialTimeout bounds how long a trial request blocks other requests if no response arrives.
const trialTimeout = 250 * time.Millisecond

// WithTrial returns the state after a request is sent now. The first request after a backoff is a
// trial: a replica that requested a backoff may well request another one, which only its next
// response shows.
func (s ReplicaState) WithTrial(now time.Time) ReplicaState {
	if !s.BackoffUntil.IsZero() {
		s.TrialUntil = now.Add(trialTimeout)
	}
	return s
}

// WithNotice returns the state updated by a notice. If two responses request a backoff, the later
// end applies, since the replica may have requested both.
func (s ReplicaState) WithNotice(n Notice) ReplicaState {
	s.Service, s.LastReceivedAt = n.Service, n.ReceivedAt
	if n.Draining && s.DrainingSince.IsZero() {
		s.DrainingSince = n.ReceivedAt
	}
	switch {
	case n.BackoffUntil.After(s.BackoffUntil):
		s.BackoffUntil = n.BackoffUntil
	case !n.Refused && !n.SentAt.Before(s.BackoffUntil):
		s.BackoffUntil, s.TrialUntil = time.Time{}, time.Time{}
	}
	return s
}

// IsDraining reports whether the replica reported that it is draining.
func (s ReplicaState) IsDraining() bool { return !s.DrainingSince.IsZero() }

// IsBackingOff reports whether the replica wants no request now.
func (s ReplicaState) IsBackingOff(now time.Time) bool { return now.Before(s.BackoffUntil) }

// isEmpty reports whether the replica reported neither draining nor a backoff.
func (s ReplicaState) isEmpty() bool { return s.DrainingSince.IsZero() && s.BackoffUntil.IsZero() }
