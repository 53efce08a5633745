package quarantine

import (
	"slices"
	"time"
)

// Record is what is believed of one content. It is immutable; its zero value says nothing.
type Record struct {
	// Score counts the replicas that ended while the request was there, less what
	// answers took off.
	Score float64
	// Replicas are the lives of replicas that are counted, TrialReplicas those that ended
	// under a trial.
	Replicas, TrialReplicas []string
	// TrialCrashes is how many trials ended their replica, TrialsWithoutResult how many have no
	// result.
	TrialCrashes, TrialsWithoutResult int
	// TrialUntil is until when a trial is under way.
	TrialUntil time.Time
	// LastCrashAt is when the last end was heard of.
	LastCrashAt time.Time
	// ReportedBy is the instance that told of the last end.
	ReportedBy string
}

// Decision is what a content may do.
type Decision int

// The decisions.
const (
	// Allow contents are sent without asking.
	Allow Decision = iota
	// AllowTrial: it may be sent once, on trial.
	AllowTrial
	// Wait: a trial is under way.
	Wait
	// Held contents get no replica.
	Held
)

// String returns the decision's name in the log.
func (d Decision) String() string {
	return [...]string{"free", "try", "a trial is under way", "held"}[d]
}

// Decide returns what the content may do now.
func (r Record) Decide(now time.Time) Decision {
	switch {
	case r.Score < suspectFrom:
		return Allow
	case now.Before(r.TrialUntil):
		return Wait
	case r.isHeld(now):
		return Held
	}
	return AllowTrial
}

// isHeld reports whether the content gets no replica until HeldUntil.
func (r Record) isHeld(now time.Time) bool {
	return r.isProved() && now.Before(r.HeldUntil())
}

// isProved reports whether ends and trials suffice to hold the content.
func (r Record) isProved() bool {
	return r.Score+float64(r.TrialsWithoutResult) >= heldFrom && 2*r.TrialCrashes+r.TrialsWithoutResult >= someTrials
}

// HeldUntil is until when the content would be held if nothing more is heard of it.
func (r Record) HeldUntil() time.Time { return r.LastCrashAt.Add(heldFor) }

// IsOver reports whether the record says nothing any more.
func (r Record) IsOver(now time.Time) bool {
	after := suspectFor
	if r.isProved() {
		after = 2 * heldFor
	}
	return r.Score < clearBelow || !now.Before(r.LastCrashAt.Add(after))
}

// WithEnd counts a life of a replica that ended while the request was there. onTrial says
// that the request was there on trial. A life counts once.
func (r Record) WithEnd(replica, by string, onTrial bool, now time.Time) Record {
	if onTrial {
		r.TrialUntil = time.Time{}
		r.TrialsWithoutResult = max(0, r.TrialsWithoutResult-1)
		r.TrialCrashes++
		r.TrialReplicas = withLast(r.TrialReplicas, replica)
	}
	if slices.Contains(r.Replicas, replica) {
		return r
	}
	r.Replicas = withLast(r.Replicas, replica)
	r.Score = min(mostCounted, r.Score+1)
	r.LastCrashAt, r.ReportedBy = now, by
	return r
}

// withLast adds a life to the list, and drops the oldest of too many.
func withLast(l []string, life string) []string {
	return last(append(slices.Clip(l), life))
}

// last returns the lives at the end of the list, as many as count.
func last(l []string) []string { return l[max(0, len(l)-int(mostCounted)):] }

// WithTrial counts a trial that begins.
func (r Record) WithTrial(now time.Time) Record {
	r.TrialsWithoutResult++
	r.TrialUntil = now.Add(trialFor)
	return r
}

// WithServed counts a whole answer.
func (r Record) WithServed() Record {
	r.Score = max(0, r.Score-servedTakes)
	r.TrialCrashes, r.TrialsWithoutResult, r.TrialUntil = 0, 0, time.Time{}
	return r
}

// WithUnsent takes a trial back that no replica ran.
func (r Record) WithUnsent() Record {
	r.TrialsWithoutResult, r.TrialUntil = max(0, r.TrialsWithoutResult-1), time.Time{}
	return r
}

// WithUnclear ends a trial of which nothing can be told, as when the client left; it
// counts on as one without a result.
func (r Record) WithUnclear() Record {
	r.TrialUntil = time.Time{}
	return r
}

// WithExplained takes off the ends that another content is held for, but for those under
// a trial of this one, and none where its last trials ended replicas: several at once may
// bring replicas down.
func (r Record) WithExplained(replicas []string) Record {
	if r.TrialCrashes > 0 {
		return r
	}
	var left []string
	for _, x := range r.Replicas {
		if !slices.Contains(replicas, x) || slices.Contains(r.TrialReplicas, x) {
			left = append(left, x)
		}
	}
	r.Score = max(0, r.Score-float64(len(r.Replicas)-len(left)))
	r.Replicas = left
	return r
}
