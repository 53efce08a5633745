package entry

import (
	"time"

	"fieldvale/answerbuffer"
	"fieldvale/claim"
	"fieldvale/rollout"
)

// FailedAttempt describes an attempt that failed.
type FailedAttempt struct {
	Request string
	Service string
	Replica string
	// Fingerprint is equal for requests with the same content; empty where it was not computed.
	Fingerprint string
	// SharedParts are the ids of the parts of the prompt that other requests share.
	SharedParts []string
	// AnswerStarted reports that the answer's head had arrived, at HeadAt; Events is the number of
	// events relayed after it.
	AnswerStarted bool
	HeadAt        time.Time
	Events        int
	// ReplicaCrashed reports that the attempt ended because its replica crashed.
	ReplicaCrashed bool
	Err            error
}

// SlowClient describes an answer that its client read more slowly than the replica sent it.
type SlowClient struct {
	Request string
	Service string
	// IsCut reports that the answer was broken off because the client read nothing until its
	// deadline.
	IsCut bool
	// Shortage is the limit for which a part of the answer found no room in the buffer.
	Shortage answerbuffer.Shortage
	// UnwrittenBytes is the part of the answer that was discarded.
	UnwrittenBytes int
}

// Hooks are callbacks for logs and metrics. Each may be nil, and none may block.
type Hooks struct {
	// AttemptFailed is called for a failed attempt at a backend server.
	AttemptFailed func(FailedAttempt)
	// RatingFailed is called if the rating service did not rate an answer.
	RatingFailed func(request string, err error)
	// ClaimNotRecorded is called if the end of a claim was not recorded. A caller who repeats the
	// request is then informed that it may have run.
	ClaimNotRecorded func(c claim.Claim, err error)
	// BadReleaseFound is called if this instance found a release bad, with the tally of this
	// instance and of those that report to it. The release may have been completed before.
	BadReleaseFound func(r rollout.Release, seen rollout.Tally, f rollout.Finding)
	// RequestStarted is called when a request of the customer has started to run.
	RequestStarted func(customer string, at time.Time)
	// AttemptJudged is called with the verdict of an attempt on its service's release.
	AttemptJudged func(service, release, verdict string)
	// StreamMoved is called when the run of a stream was ended in order to continue it on another
	// replica.
	StreamMoved func(StreamMove)
	// ShareDecided is called when a request is served later, not escalated or refused because its
	// customer is over its share.
	ShareDecided func(ShareDecision)
	// ClientSlow is called at the end of an answer that found no room in the buffer, or whose
	// client was cut.
	ClientSlow func(SlowClient)
}

func (e *Hooks) streamMoved(m StreamMove) {
	if e.StreamMoved != nil {
		e.StreamMoved(m)
	}
}

func (e *Hooks) shareDecided(d ShareDecision) {
	if e.ShareDecided != nil {
		e.ShareDecided(d)
	}
}

func (e *Hooks) clientSlow(s SlowClient) {
	if e.ClientSlow != nil {
		e.ClientSlow(s)
	}
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
