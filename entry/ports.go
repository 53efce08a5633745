package entry

import (
	"context"
	"time"

	"fieldvale/claim"
	"fieldvale/placement"
	"fieldvale/pool"
	"fieldvale/version"
)

// Attempt is one dispatch of a chat request to a model engine.
type Attempt struct {
	// ID is unique to the attempt; the engine echoes it.
	ID       string
	Version  version.ID
	Body     []byte
	Deadline time.Time
	Priority int
	// ResumeChunks is the number of the stream's chunks that the caller already has.
	ResumeChunks int
}

// Answer is the complete answer of a model engine.
type Answer struct {
	Body      []byte
	Text      string
	TokensIn  uint64
	TokensOut uint64
}

// Engines calls model engines. Errors are *outcome.Error.
type Engines interface {
	Chat(ctx context.Context, r *pool.Replica, a Attempt) (Answer, error)
	// Stream passes each chunk to sink on arrival. It succeeds only if the stream ended properly;
	// an error from sink aborts it.
	Stream(ctx context.Context, r *pool.Replica, a Attempt, sink func(chunk []byte) error) (Answer, error)
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Call           string
	Body           []byte
	ContentType    string
	IdempotencyKey string
	Deadline       time.Time
	// Once asks for a connection that avoids unknown outcomes where possible, as the call may not
	// be repeated.
	Once bool
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Services calls plain services. Errors are *outcome.Error.
type Services interface {
	Call(ctx context.Context, r *pool.Replica, c ServiceCall) (ServiceAnswer, error)
}

// Claims grants the right to send a request that may run only once.
type Claims interface {
	// Claim returns the verdict and, for a replay, the existing claim. After an error no claim
	// may be relied on.
	Claim(ctx context.Context, c claim.Claim) (claim.Verdict, claim.Claim, error)
	// Finish records the answer of a claim that ran, or frees a claim that did not run.
	Finish(ctx context.Context, c claim.Claim) error
}

// Rater asks the platform's rating service for the quality of an answer, from 0 to 1.
type Rater interface {
	Rate(ctx context.Context, request, answer []byte) (float64, error)
}

// Clock returns the current time.
type Clock func() time.Time

// Placer chooses replicas for prompts from fleet-wide load and prefix cache state. Choose reports
// false if that state is unavailable; that none of the replicas may be used is a valid choice.
type Placer interface {
	Choose(ctx context.Context, group string, a placement.Request) (placement.Choice, placement.Ticket, bool)
	// ReportPrefilled reports that the replica has read the prompt, ReportAborted that the attempt
	// failed before that. ReportEnded reports the end of an attempt whose prompt was read and was
	// placed by completion.
	ReportPrefilled(t placement.Ticket)
	ReportEnded(t placement.Ticket)
	ReportAborted(t placement.Ticket, fault placement.Fault)
}

// ForwardSink writes an answer to the client.
type ForwardSink interface {
	// Head is called once, before Event and Body.
	Head(h Head) error
	// Event writes one event of a stream and flushes it.
	Event(b []byte) error
	// Body writes a complete body, or the next part of one.
	Body(b []byte) error
}

// InterruptibleSink is a ForwardSink whose writes can be ended. Answers are buffered only for
// clients with such a sink.
type InterruptibleSink interface {
	ForwardSink
	// Interrupt makes a blocked write fail, and all later ones. It may be called during a write.
	Interrupt()
}
