package quarantine

import (
	"slices"
	"time"
)

const (
	// BeginWindow is how long after the begin of its answer a request is taken to be the possible
	// cause of a crash by a part of its prompt. An answer that goes on for longer has survived.
	BeginWindow = 300 * time.Millisecond
	// partSuspectScore is the score from which a part is sent only on trial. It is higher than a
	// content's, since a trial makes all other requests with the part wait.
	partSuspectScore = 3.0
	// survivalCredit is what an answer that survived takes off the score of a part.
	survivalCredit = 0.5
	// bystanderWeight is what a crash counts against a part if no answer to a request with it was
	// known to begin at the replica. Its head may have been lost; but most requests at a crash are
	// waiting. With this weight a part whose answers never show a head is held after seven crashes.
	bystanderWeight = 0.6
	// simultaneousFor is within what time of each other crashes with the beginning of an answer count
	// once, bystandersFor the same for other crashes, unless the request was sent after the first of
	// them: replicas that fail together have no cause in a request.
	simultaneousFor = 50 * time.Millisecond
	bystandersFor   = 300 * time.Millisecond
	// clearedPartFor is how long the record of a part without score is kept after a crash, so that a
	// crash that is reported again is not counted again.
	clearedPartFor = 10 * time.Second
	// maxPartReplicas bounds the incarnations in the record of a part.
	maxPartReplicas = 24
	// collectFor is how long survivals of all instances are collected before a part whose score has
	// risen to partSuspectScore becomes suspect: several round trips between regions.
	collectFor = 60 * time.Millisecond
	// maxDoubtTrials bounds the trials of a held part whose crashes others explain.
	maxDoubtTrials = 2
)

// withPart makes the record that of a part.
func (r Record) withPart(label string) Record {
	r.Kind, r.Label = KindPart, label
	return r
}

// WithSurvivals adds n answers to requests with the part that began and went on without a crash.
// What exceeds the score offsets later crashes for some time: in an outage, a part in much of the
// traffic is at many crashes at once.
func (r Record) WithSurvivals(n int, now time.Time) Record {
	if n <= 0 {
		return r
	}
	credit := survivalCredit * float64(n)
	offset := min(r.Score, credit)
	r.Score -= offset
	r.Credit = r.creditAt(now) + credit - offset
	r.CreditUntil = now.Add(survivalWindow)
	r.TrialCrashes, r.TrialsWithoutResult = 0, 0
	return r
}

// creditAt returns the credit that is left.
func (r Record) creditAt(now time.Time) float64 {
	if now.Before(r.CreditUntil) {
		return r.Credit
	}
	return 0
}

// WithPartServed ends a trial whose answer survived. A held part that survives a trial was not the
// cause of its crashes, as it is only sent on trial if others explain all of them.
func (r Record) WithPartServed(now time.Time) Record {
	if r.isHeld(now) {
		r.Score, r.DoubtTrials = 0, 0
	}
	r.TrialCrashes, r.TrialsWithoutResult, r.TrialUntil = 0, 0, time.Time{}
	return r
}

// WithPartCrash adds the crash of a replica incarnation that had a request with the part. It counts 1
// if the request's answer was beginning there, or else bystanderWeight; each incarnation counts once.
func (r Record) WithPartCrash(e AttemptResult, now time.Time) Record {
	if e.OnTrial {
		r.TrialUntil = time.Time{}
	}
	if e.OnTrial && e.AnswerBegan {
		r.TrialsWithoutResult = max(0, r.TrialsWithoutResult-1)
		r.TrialCrashes++
		r.TrialReplicas = appendBounded(r.TrialReplicas, e.Replica)
	}
	if r.hasCrash(e) {
		return r
	}
	r.LastCrashAt, r.ReportedBy = now, e.ReportedBy
	if !e.AnswerBegan {
		r.Bystanders = appendPartReplica(r.Bystanders, e.Replica)
		return r.withSimultaneous(bystanderWeight, bystandersFor, e.SentAt, now)
	}
	weight := 1.0
	if slices.Contains(r.Bystanders, e.Replica) {
		weight -= bystanderWeight
	}
	r.Replicas = appendPartReplica(r.Replicas, e.Replica)
	if e.OnTrial {
		return r.withWeight(weight, now)
	}
	return r.withSimultaneous(weight, simultaneousFor, e.SentAt, now)
}

// hasCrash reports whether the record already counts the crash.
func (r Record) hasCrash(e AttemptResult) bool {
	return slices.Contains(r.Replicas, e.Replica) || !e.AnswerBegan && slices.Contains(r.Bystanders, e.Replica)
}

// withSimultaneous adds the weight of a crash, less that of another one counted within the given time
// and after the request was sent.
func (r Record) withSimultaneous(weight float64, within time.Duration, sentAt, now time.Time) Record {
	if !now.Before(r.CountedAt.Add(within)) || sentAt.After(r.CountedAt) {
		r.CountedAt, r.Counted = now, weight
		return r.withWeight(weight, now)
	}
	more := max(0, weight-r.Counted)
	r.Counted = max(r.Counted, weight)
	return r.withWeight(more, now)
}

// withoutBystanders removes crashes that are attributed to another subject and counted as those of
// bystanders.
func (r Record) withoutBystanders(replicas []string) Record {
	var left []string
	for _, x := range r.Bystanders {
		if !slices.Contains(replicas, x) {
			left = append(left, x)
		}
	}
	r.Score = max(0, r.Score-bystanderWeight*float64(len(r.Bystanders)-len(left)))
	r.Bystanders = left
	return r
}

// withWeight adds the weight of a crash, less the credit for survivals.
func (r Record) withWeight(weight float64, now time.Time) Record {
	offset := min(weight, r.creditAt(now))
	r.Credit = r.creditAt(now) - offset
	before := r.Score
	r.Score = min(maxScore, r.Score+weight-offset)
	if before < partSuspectScore && r.Score >= partSuspectScore {
		r.SuspectFrom = now.Add(collectFor)
	}
	return r
}

// isCollecting reports whether the part becomes suspect unless survivals are reported.
func (r Record) isCollecting(now time.Time) bool {
	return r.Kind == KindPart && r.Score >= partSuspectScore && now.Before(r.SuspectFrom)
}

// appendPartReplica appends an incarnation to the list, and drops the oldest ones above maxPartReplicas.
func appendPartReplica(l []string, incarnation string) []string {
	l = append(slices.Clip(l), incarnation)
	return l[max(0, len(l)-maxPartReplicas):]
}
