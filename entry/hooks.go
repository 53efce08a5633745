package entry

import (
	"fieldvale/claim"
	"fieldvale/rollout"
	"time"
)

// FailedAttempt is an attempt of a request that came to nothing.
type FailedAttempt struct {
	Request string
	Service string
	Replica string
	// Fingerprint is the same for requests that ask the same, empty where that is not known.
	Fingerprint string
	// AnswerStarted says that the replica had begun to answer, after which Events were passed on.
	AnswerStarted bool
	Events        int
	Err           error
}

// Hooks is told of what an operator may want to see. Its functions may be
// nil and must not block.
type Hooks struct {
	// AttemptFailed is a failed attempt of a request at a backend server.
	AttemptFailed func(FailedAttempt)
	// RatingFailed is an answer that the rating service did not rate.
	RatingFailed func(request string, err error)
	// ClaimNotRecorded is a claim whose end was not recorded: a caller who asks
	// again is told that the request may have run.
	ClaimNotRecorded func(c claim.Claim, err error)
	// BadReleaseFound is a release that this instance found to be bad, with what
	// it and those that report to it saw.
	BadReleaseFound func(r rollout.Release, seen rollout.Tally, f rollout.Finding)
	// RequestStarted is a request of the customer that began to run.
	RequestStarted func(customer string, at time.Time)
	// AttemptJudged is what an attempt counts as for its service's release.
	AttemptJudged func(service, release, verdict string)
}

func (e *Hooks) attemptJudged(service, release, verdict string) {
	if e.AttemptJudged != nil {
		e.AttemptJudged(service, release, verdict)
	}
}

func (e *Hooks) badReleaseFound(r rollout.Release, seen rollout.Tally, f rollout.Finding) {
	if e.BadReleaseFound != nil {
		e.BadReleaseFound(r, seen, f)
	}
}

func (e *Hooks) attemptFailed(f FailedAttempt) {
	if e.AttemptFailed != nil {
		e.AttemptFailed(f)
	}
}

func (e *Hooks) ratingFailed(request string, err error) {
	if e.RatingFailed != nil {
		e.RatingFailed(request, err)
	}
}

func (e *Hooks) claimNotRecorded(c claim.Claim, err error) {
	if e.ClaimNotRecorded != nil {
		e.ClaimNotRecorded(c, err)
	}
}
