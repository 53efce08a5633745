package quarantine

import (
	"slices"
	"time"
)

// Record is the evidence against one content or part. It is immutable; the zero value is the record
// of a content without crashes.
type Record struct {
	// Kind tells contents from parts; Label names a part.
	Kind  Kind
	Label string
	// Score counts the replicas that crashed while they had a request with the content, less the
	// credit for complete responses. For a part, see WithPartCrash.
	Score float64
	// Replicas are the incarnations of replicas whose crash counts, TrialReplicas those that
	// crashed during a trial.
	Replicas, TrialReplicas []string
	// Bystanders are the incarnations that crashed while no answer to a request with the part was
	// known to begin there.
	Bystanders []string
	// Credit is for survivals that offset no crash yet. It ends at CreditUntil.
	Credit      float64
	CreditUntil time.Time
	// DoubtTrials counts the trials of a held part whose crashes others explain.
	DoubtTrials int
	// CountedAt is when the last crash of a part was counted with a weight, Counted that weight.
	CountedAt time.Time
	Counted   float64
	// SuspectFrom is when a part whose score is high enough becomes suspect. Until then all instances
	// report survivals.
	SuspectFrom time.Time
	// TrialCrashes is how many trials crashed their replica, TrialsWithoutResult how many have no
	// result.
	TrialCrashes, TrialsWithoutResult int
	// TrialUntil is when the trial that is under way times out.
	TrialUntil time.Time
	// LastCrashAt is when the last crash was reported.
	LastCrashAt time.Time
	// ReportedBy is the instance that reported the last crash.
	ReportedBy string
}

// Decision is whether a request with a content may be sent.
type Decision int

// The decisions.
const (
	// Allow: the request may be sent without restriction.
	Allow Decision = iota
	// AllowTrial: one request may be sent, on trial.
	AllowTrial
	// Wait: the request has to wait for a trial that is under way.
	Wait
	// Held: the request gets no replica.
	Held
)

// String returns the name of the decision for logs.
func (d Decision) String() string {
	return [...]string{"free", "try", "a trial is under way", "held"}[d]
}

// Decide returns whether requests with the content or part may be sent now.
func (r Record) Decide(now time.Time) Decision {
	switch {
	case r.Score < r.suspectScore() || now.Before(r.SuspectFrom):
		return Allow
	case now.Before(r.TrialUntil):
		return Wait
	case r.isHeld(now):
		return Held
	}
	return AllowTrial
}

// suspectScore is the score from which the content or part is sent only on trial.
func (r Record) suspectScore() float64 {
	if r.Kind == KindPart {
		return partSuspectScore
	}
	return contentSuspectScore
}

// isHeld reports whether the content gets no replica now.
func (r Record) isHeld(now time.Time) bool {
	return r.isConfirmed() && now.Before(r.HeldUntil())
}

// isConfirmed reports whether there is enough evidence from crashes and trials to hold the content.
func (r Record) isConfirmed() bool {
	return r.Score+float64(r.TrialsWithoutResult) >= heldScore && 2*r.TrialCrashes+r.TrialsWithoutResult >= minTrialEvidence
}

// HeldUntil returns when a confirmed content stops being held if there are no further crashes.
func (r Record) HeldUntil() time.Time { return r.LastCrashAt.Add(heldFor) }

// IsExpired reports whether the record may be deleted.
func (r Record) IsExpired(now time.Time) bool {
	after := suspectFor
	if r.isConfirmed() {
		after = 2 * heldFor
	}
	if r.Kind == KindPart {
		return !now.Before(r.LastCrashAt.Add(after)) || r.Score == 0 && !now.Before(r.LastCrashAt.Add(clearedPartFor))
	}
	return r.Score < clearScore || !now.Before(r.LastCrashAt.Add(after))
}

// WithCrash adds the crash of a replica incarnation that had a request with the content. onTrial is
// true if the request was there on trial. Each incarnation counts once.
func (r Record) WithCrash(replica, by string, onTrial bool, now time.Time) Record {
	if onTrial {
		r.TrialUntil = time.Time{}
		r.TrialsWithoutResult = max(0, r.TrialsWithoutResult-1)
		r.TrialCrashes++
		r.TrialReplicas = appendBounded(r.TrialReplicas, replica)
	}
	if slices.Contains(r.Replicas, replica) {
		return r
	}
	r.Replicas = appendBounded(r.Replicas, replica)
	r.Score = min(maxScore, r.Score+1)
	r.LastCrashAt, r.ReportedBy = now, by
	return r
}

// appendBounded appends an incarnation to the list, and drops the oldest ones above maxScore.
func appendBounded(l []string, incarnation string) []string {
	return newest(append(slices.Clip(l), incarnation))
}

// newest returns the last incarnations of the list, at most maxScore.
func newest(l []string) []string { return l[max(0, len(l)-int(maxScore)):] }

// WithTrial adds a trial that starts now.
func (r Record) WithTrial(now time.Time) Record {
	r.TrialsWithoutResult++
	r.TrialUntil = now.Add(trialTimeout)
	return r
}

// WithServed subtracts the credit for a complete response and resets the trials.
func (r Record) WithServed() Record {
	r.Score = max(0, r.Score-servedCredit)
	r.TrialCrashes, r.TrialsWithoutResult, r.TrialUntil = 0, 0, time.Time{}
	return r
}

// WithNotRun removes a trial that no replica ran.
func (r Record) WithNotRun() Record {
	r.TrialsWithoutResult, r.TrialUntil = max(0, r.TrialsWithoutResult-1), time.Time{}
	return r
}

// WithInconclusive ends a trial that shows nothing, for example because the client disconnected. It
// still counts as a trial without a result.
func (r Record) WithInconclusive() Record {
	r.TrialUntil = time.Time{}
	return r
}

// WithoutAttributed removes crashes that are attributed to another content. Crashes during a trial
// of this content stay, and so do all crashes if its latest trials crashed replicas, since several
// contents may crash replicas at the same time.
func (r Record) WithoutAttributed(replicas []string) Record {
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
	return r.withoutBystanders(replicas)
}
