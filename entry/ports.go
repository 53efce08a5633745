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
	// ID is new for each attempt; the engine echoes it.
	ID       string
	Version  version.ID
	Body     []byte
	Deadline time.Time
	Priority int
	// ResumeChunks is how many chunks of a stream the caller has already.
	ResumeChunks int
}

// Answer is a whole answer of a model engine.
type Answer struct {
	Body      []byte
	Text      string
	TokensIn  uint64
	TokensOut uint64
}

// Engines calls model engines. Failures are *outcome.Error.
type Engines interface {
	Chat(ctx context.Context, r *pool.Replica, a Attempt) (Answer, error)
	// Stream hands each chunk to sink as it comes. It succeeds only if the
	// stream came to its proper end; an error of sink ends it.
	Stream(ctx context.Context, r *pool.Replica, a Attempt, sink func(chunk []byte) error) (Answer, error)
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Call           string
	Body           []byte
	ContentType    string
	IdempotencyKey string
	Deadline       time.Time
	// Once asks for a connection on which nothing can be left unknown that
	// need not be.
	Once bool
}

// ServiceAnswer is a plain service's answer.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Services calls plain services. Failures are *outcome.Error.
type Services interface {
	Call(ctx context.Context, r *pool.Replica, c ServiceCall) (ServiceAnswer, error)
}

// Claims asks for the right to send what may not be repeated.
type Claims interface {
	// Claim returns the verdict and, to replay, the claim that was found. An
	// error means that nothing was claimed that may be relied on.
	Claim(ctx context.Context, c claim.Claim) (claim.Verdict, claim.Claim, error)
	// Finish records a claim that ran or is free.
	Finish(ctx context.Context, c claim.Claim) error
}

// Rater asks the platform's rating service how good an answer is, from 0 to 1.
type Rater interface {
	Rate(ctx context.Context, request, answer []byte) (float64, error)
}

// Clock tells the time.
type Clock func() time.Time

// Placer chooses replicas for prompts with the knowledge of the fleet. It
// fails if that can't be had now; that none may be used is an answer.
type Placer interface {
	Choose(ctx context.Context, group string, a placement.Request) (placement.Choice, placement.Ticket, bool)
	// Read says that the prompt was read, Lost that it came to nothing.
	Read(t placement.Ticket)
	Lost(t placement.Ticket, why placement.Fault)
}

// ForwardSink takes an answer for the client.
type ForwardSink interface {
	// Head is called once, before the rest.
	Head(h Head) error
	// Event passes an event on at once.
	Event(b []byte) error
	// Body passes a whole body on.
	Body(b []byte) error
}
