// Package outcome says what is known of an attempt at a backend server. One
// typed value decides whether the attempt may be made again elsewhere and
// what the caller is told.
package outcome

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is what is known of an attempt.
type Kind int

const (
	// Unknown: bytes were sent and no whole answer or refusal came back.
	Unknown Kind = iota
	// NotRun: nothing was sent, or the backend server itself said that it
	// did not start the work.
	NotRun
	// Ran: the backend server answered.
	Ran
)

// String returns the kind as logs and metrics name it.
func (k Kind) String() string {
	return [...]string{"unknown", "not_run", "ran"}[k]
}

// Error is a failed attempt with the step and the peer at which it arose.
type Error struct {
	Kind Kind
	// Step is what was being done, such as "dial" or "read".
	Step string
	// Peer is the backend server or process that was spoken to.
	Peer string
	// RetryAt is when the peer asked to be asked again; zero if it did not.
	RetryAt time.Time
	// Status is the peer's HTTP status; 0 if there was none.
	Status int
	Cause  error
}

// Error tells step, peer and cause on one line.
func (e *Error) Error() string {
	return e.Step + " " + e.Peer + " (" + e.Kind.String() + "): " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an attempt's failure.
func New(k Kind, step, peer string, cause error) *Error {
	return &Error{Kind: k, Step: step, Peer: peer, Cause: cause}
}

// WithRetryAt returns a copy of e that says when to come back.
func (e *Error) WithRetryAt(t time.Time) *Error {
	c := *e
	c.RetryAt = t
	return &c
}

// WithStatus returns a copy of e with the peer's HTTP status.
func (e *Error) WithStatus(n int) *Error {
	c := *e
	c.Status = n
	return &c
}

// Of returns the kind of a failure; an error of another type is Unknown,
// since nothing can be promised of it.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Unknown
}

// MayRepeat reports whether the work may be sent again after err. Work that
// may not be repeated goes again only if it surely did not run.
func MayRepeat(err error, once bool) bool {
	switch Of(err) {
	case NotRun:
		return true
	case Unknown:
		return !once
	}
	return false
}
