// Package outcome classifies failed attempts at backend servers by whether the work
// ran. The classification decides whether another backend server may be tried and
// which error the caller gets.
package outcome

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Kind states whether the work of an attempt ran.
type Kind int

const (
	// Unknown: bytes were sent, but no complete answer or rejection was received.
	Unknown Kind = iota
	// NotRun: nothing was sent, or the backend server itself reported that it did not
	// start the work.
	NotRun
	// Ran: the backend server answered.
	Ran
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"unknown", "not_run", "ran"}[k]
}

// Error is the failure of an attempt, with the step and the peer at which it occurred.
type Error struct {
	Kind Kind
	// Step is the operation that failed, such as "dial" or "read".
	Step string
	// Peer is the backend server or process at the other end.
	Peer string
	// RetryAt is the retry time that the peer requested; zero if it requested none.
	RetryAt time.Time
	// Status is the HTTP status of the peer's response; 0 without a response.
	Status int
	Cause  error
}

// Error returns the step, the peer, the kind and the cause in one line.
func (e *Error) Error() string {
	return e.Step + " " + e.Peer + " (" + e.Kind.String() + "): " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns the failure of an attempt.
func New(k Kind, step, peer string, cause error) *Error {
	return &Error{Kind: k, Step: step, Peer: peer, Cause: cause}
}

// WithRetryAt returns a copy of e with the retry time that the peer requested.
func (e *Error) WithRetryAt(t time.Time) *Error {
	c := *e
	c.RetryAt = t
	return &c
}

// WithStatus returns a copy of e with the HTTP status of the peer's response.
func (e *Error) WithStatus(n int) *Error {
	c := *e
	c.Status = n
	return &c
}

// KindOf returns the kind of an error. An error that contains no *Error is Unknown, since
// the work may have run.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Unknown
}

// MayRetry reports whether the work may be retried after err. With once, the work is not
// idempotent and may be retried only if it certainly did not run.
func MayRetry(err error, once bool) bool {
	switch KindOf(err) {
	case NotRun:
		return true
	case Unknown:
		return !once
	}
	return false
}
