package quarantine

import (
	"context"
	"slices"
	"time"
)

const (
	// maxAsked bounds the parts of one request for which owners are asked.
	maxAsked = 8
	// partRetryDelay is when a request may return that waits for the trial of a part: nearly all
	// answers have survived by then.
	partRetryDelay = time.Second
)

// RequestResult is the result of one attempt to send a request.
type RequestResult struct {
	Outcome Outcome
	// Replica is the incarnation of the replica that crashed, SentAt when the request was sent to it.
	Replica string
	SentAt  time.Time
	// AnswerBegan reports that the answer had begun within BeginWindow before the attempt ended,
	// AnswerSurvived that it had begun earlier.
	AnswerBegan, AnswerSurvived bool
	// Trials are those of the verdict that allowed the attempt.
	Trials []Fingerprint
}

// CheckRequest decides whether a request may be sent now. It is refused if its content or any part
// of its prompt is; otherwise it is a trial of all those that may only be sent on trial.
func (n *Node) CheckRequest(ctx context.Context, s Subjects) Verdict {
	v := Verdict{Decision: Allow}
	var carried []Fingerprint
	for _, p := range n.suspectParts(s.Parts) {
		if carried == nil {
			carried = s.carried()
		}
		if v = n.merge(v, n.askOnceCollected(ctx, p.Fingerprint, carried)); !v.IsAllowed() {
			v.RetryAt = v.partRetryAt(n.Clock())
			return v
		}
	}
	return n.merge(v, n.Check(ctx, s.Content()))
}

// askOnceCollected is ask, but waits while survivals of the part are collected: requests that are sent
// meanwhile would cost a replica each.
func (n *Node) askOnceCollected(ctx context.Context, f Fingerprint, carried []Fingerprint) Verdict {
	v := n.ask(ctx, f, carried)
	if !v.Record.isCollecting(n.Clock()) {
		return v
	}
	n.Wait(ctx, v.Record.SuspectFrom)
	return n.ask(ctx, f, carried)
}

// waitUntil returns at the given time of the node's clock, or when ctx ends.
func (n *Node) waitUntil(ctx context.Context, at time.Time) {
	t := time.NewTimer(at.Sub(n.Clock()))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// partRetryAt returns when to ask again about a part.
func (v Verdict) partRetryAt(now time.Time) time.Time {
	if t := now.Add(partRetryDelay); v.Decision == Wait && t.Before(v.RetryAt) {
		return t
	}
	return v.RetryAt
}

// suspectParts returns the parts that may be suspect by the records of this instance, at most
// maxAsked.
func (n *Node) suspectParts(parts []Part) []Part {
	var l []Part
	for _, p := range parts {
		if len(l) < maxAsked && n.records.Get(p.Fingerprint).Score >= clearScore {
			l = append(l, p)
		}
	}
	return l
}

// merge returns the stricter one of two verdicts on one request. If it allows the request, it has the
// trials of both; otherwise the trials of the other one are given up.
func (n *Node) merge(v, next Verdict) Verdict {
	if !next.IsAllowed() {
		n.CancelTrials(v.Trials)
		return next
	}
	if next.Decision == Allow {
		return v
	}
	next.Trials = slices.Concat(v.Trials, next.Trials)
	return next
}

// CancelTrials gives up trials whose request was not sent.
func (n *Node) CancelTrials(trials []Fingerprint) {
	for _, f := range trials {
		n.ReportAttempt(f, AttemptResult{Outcome: NotRun, OnTrial: true, Kind: n.records.Get(f).Kind, Label: n.records.Get(f).Label})
	}
}

// ReportRequest reports the result of an attempt for all that the request carries. What happens after
// an answer has survived is no effect of a part.
func (n *Node) ReportRequest(s Subjects, e RequestResult) {
	n.reportContent(s.Content(), e)
	if e.AnswerSurvived {
		return
	}
	for _, p := range s.Parts {
		x := AttemptResult{Outcome: e.Outcome, Replica: e.Replica, SentAt: e.SentAt, OnTrial: slices.Contains(e.Trials, p.Fingerprint), AnswerBegan: e.AnswerBegan}
		if x.OnTrial || e.Outcome == ReplicaCrashed && !n.records.Get(p.Fingerprint).hasCrash(x) {
			n.reportPart(p, x)
		}
	}
}

// reportContent reports the result of an attempt for the content, if it shows something about it.
func (n *Node) reportContent(f Fingerprint, e RequestResult) {
	onTrial := slices.Contains(e.Trials, f)
	if onTrial || e.Outcome == ReplicaCrashed || e.Outcome == Served && n.records.Get(f).Score > 0 {
		n.ReportAttempt(f, AttemptResult{Outcome: e.Outcome, Replica: e.Replica, OnTrial: onTrial})
	}
}

// reportPart reports the result of an attempt for a part, with the survivals since the last report.
func (n *Node) reportPart(p Part, x AttemptResult) {
	x.Kind, x.Label = KindPart, p.Label
	x.Survivals = n.survivals.take(p.Fingerprint, n.Clock())
	n.ReportAttempt(p.Fingerprint, x)
}
