package quarantine

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Checker decides about requests and receives the results of their attempts. Node implements it.
type Checker interface {
	// IsEmpty reports whether nothing is suspected.
	IsEmpty() bool
	// CheckRequest decides whether a request that carries the subjects may be sent once more.
	CheckRequest(ctx context.Context, s Subjects) Verdict
	// CancelTrials gives up trials whose request was not sent.
	CancelTrials(trials []Fingerprint)
	// ReportRequest reports the result of an attempt.
	ReportRequest(s Subjects, e RequestResult)
	// AddSurvival counts an answer that went on for BeginWindow, or was complete earlier.
	AddSurvival(parts []Part, trials []Fingerprint)
}

var _ Checker = (*Node)(nil)

// ErrQuarantined reports that requests with this content, or with a part of this prompt, may not be
// sent now.
var ErrQuarantined = errors.New("requests with this content or prompt bring down the backend servers that run them")

// Guard has a Checker decide about the attempts of one request, and reports their results. Its zero value
// allows everything. It is not safe for concurrent use.
type Guard struct {
	checker  Checker
	subjects Subjects
	// verdict is the last decision on whether the request may be sent.
	verdict Verdict
	// suspected is set if the content or a part is suspected, onTrial if the current attempt is only
	// allowed as a trial.
	suspected, onTrial bool
}

// NewGuard returns a guard for a request that carries the subjects. c may be nil; everything is allowed
// then.
func NewGuard(c Checker, s Subjects) Guard { return Guard{checker: c, subjects: s} }

// Verdict returns the last decision that did not allow the request without restriction.
func (g *Guard) Verdict() Verdict { return g.verdict }

// IsSuspected reports whether the content or a part of the request is suspected.
func (g *Guard) IsSuspected() bool { return g.suspected }

// IsOnTrial reports whether the current attempt is only allowed as a trial.
func (g *Guard) IsOnTrial() bool { return g.onTrial }

// Check decides whether the request may be sent to one more replica; ErrQuarantined if it may not.
func (g *Guard) Check(ctx context.Context) error {
	g.onTrial, g.verdict.Trials = false, nil
	if g.checker == nil || g.checker.IsEmpty() {
		return nil
	}
	v := g.checker.CheckRequest(ctx, g.subjects)
	if v.Decision == Allow {
		return nil
	}
	g.verdict, g.suspected, g.onTrial = v, true, v.Decision == AllowTrial
	if v.IsAllowed() {
		return nil
	}
	return ErrQuarantined
}

// AllowsAnother reports whether the request may be sent to one more replica at present, without
// sending it. A trial that is granted is given up, as the attempt asks again.
func (g *Guard) AllowsAnother(ctx context.Context) bool {
	if g.checker == nil || g.checker.IsEmpty() {
		return true
	}
	v := g.checker.CheckRequest(ctx, g.subjects)
	g.checker.CancelTrials(v.Trials)
	return v.IsAllowed()
}

// CancelTrial gives up a trial whose attempt was not sent.
func (g *Guard) CancelTrial() {
	if g.onTrial {
		g.checker.CancelTrials(g.verdict.Trials)
	}
}

// Report reports the result of an attempt.
func (g *Guard) Report(e RequestResult) {
	if g.checker == nil {
		return
	}
	g.suspected = g.suspected || e.Outcome == ReplicaCrashed
	if !g.suspected {
		return
	}
	e.Trials = g.verdict.Trials
	g.checker.ReportRequest(g.subjects, e)
}

// ReportSurvival reports that the answer did not crash its replica as it began.
func (g *Guard) ReportSurvival() {
	if g.checker != nil && len(g.subjects.Parts) > 0 {
		g.checker.AddSurvival(g.subjects.Parts, g.verdict.Trials)
	}
}
