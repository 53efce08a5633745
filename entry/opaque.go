package entry

import (
	"context"
	"net/http"
	"time"

	"fieldvale/outcome"
	"fieldvale/placement"
	"fieldvale/pool"
	"fieldvale/prompt"
	"fieldvale/route"
)

// Opaque is a request whose body only its backend service understands. It is
// routed by the operator's table and passed on unchanged.
type Opaque struct {
	// ID is the client's own id of this attempt; it is passed on.
	ID       string
	Table    *route.Table
	Route    *route.Route
	Customer route.Customer
	Method   string
	// Target is the request line's path and query, as it came.
	Target string
	// Header is what is passed on of the client's header.
	Header http.Header
	Body   []byte
	Prompt prompt.Prompt
	// Session is empty if the client gave none.
	Session string
	// After is the last event that the client has of a stream it resumes.
	After    string
	Arrived  time.Time
	Deadline time.Time
	// TimeoutAt is when the route's time ends; the earlier of it and
	// Deadline binds.
	TimeoutAt time.Time
}

// until is when the request has to be answered.
func (q *Opaque) until() time.Time {
	if q.TimeoutAt.Before(q.Deadline) {
		return q.TimeoutAt
	}
	return q.Deadline
}

// sessionKey is what ties the request to others: its session, or nothing but
// itself.
func (q *Opaque) sessionKey() string {
	if q.Session != "" {
		return q.Session
	}
	return q.ID
}

// priority is the customer's rank if it has one, else the route's.
func (q *Opaque) priority() int {
	if q.Customer.Ranked {
		return q.Customer.Priority
	}
	return q.Route.Priority
}

// Dispatch is one attempt of an opaque request at a replica.
type Dispatch struct {
	Request *Opaque
	// Model is the size chosen for it; empty leaves the client's.
	Model string
	// After is the last event that the client has of the stream.
	After    string
	Deadline time.Time
	Priority int
}

// Head is a backend server's answer up to its body.
type Head struct {
	Status int
	Header http.Header
}

// IsSuccess reports whether the answer is one of success.
func (h Head) IsSuccess() bool { return h.Status >= 200 && h.Status < 300 }

// Event is one whole event of a stream, with its end.
type Event struct {
	ID   string
	Data []byte
}

// Reply is a backend server's answer as it comes. Close must be called.
type Reply interface {
	Head() Head
	// Confidence is the model's own opinion of its answer, from 0 to 100.
	Confidence() (c float64, ok bool)
	// Next returns the next whole event; io.EOF after the last one.
	Next() (Event, error)
	// Body reads the whole body.
	Body() ([]byte, error)
	// Close ends the answer. One that was not read to its end is cancelled.
	Close()
}

// Upstream sends opaque requests to replicas. Failures are *outcome.Error;
// an answer that says it did not run is one of them.
type Upstream interface {
	Send(ctx context.Context, r *pool.Replica, d Dispatch) (Reply, error)
}

// Placer chooses replicas for prompts with the knowledge of the fleet. It
// fails if that can't be had now.
type Placer interface {
	Choose(ctx context.Context, group string, a placement.Ask) (placement.Choice, placement.Ticket, bool)
	// Read says that the prompt was read, or came to nothing.
	Read(t placement.Ticket)
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

// Forwarded is what became of an opaque request, for logs and metrics.
type Forwarded struct {
	Request *Opaque
	Service string
	Replica string
	Release string
	Model   string
	// Confidence is of the last answer; below 0 there was none.
	Confidence float64
	Sends      int
	Runs       int
	Events     int
	Status     int
	Run        outcome.Kind
	Code       Code
	Cause      error
	// Stopped says why no further attempt was made after a failed one.
	Stopped string
	FirstAt time.Time
	EndedAt time.Time
}
