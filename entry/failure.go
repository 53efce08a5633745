package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/admission"
	"fieldvale/outcome"
)

// Code identifies a failure to callers.
type Code string

const (
	NotReady               Code = "not_ready"
	ModelNotAllowed        Code = "model_not_allowed"
	ModelNotFound          Code = "model_not_found"
	ServiceNotFound        Code = "service_not_found"
	Refused                Code = "refused"
	DeadlineExceeded       Code = "deadline_exceeded"
	BackendFailed          Code = "backend_failed"
	MayHaveRun             Code = "may_have_run"
	AlreadyRan             Code = "already_ran"
	IdempotencyKeyRequired Code = "idempotency_key_required"
	ClaimsUnavailable      Code = "claims_unavailable"
	Quarantined            Code = "quarantined"
)

// Failure is the final error of a request without an answer. Outcome states whether it may have
// run.
type Failure struct {
	Code    Code
	Outcome outcome.Kind
	RetryAt time.Time
	Message string
	Cause   error
}

func (f *Failure) Error() string {
	if f.Cause == nil {
		return f.Message
	}
	return f.Message + ": " + f.Cause.Error()
}

func (f *Failure) Unwrap() error { return f.Cause }

func notRun(c Code, message string) *Failure {
	return &Failure{Code: c, Outcome: outcome.NotRun, Message: message}
}

func refused(r *admission.Refusal) *Failure {
	return &Failure{Code: Refused, Outcome: outcome.NotRun, RetryAt: r.RetryAt, Message: "refused: " + string(r.Reason)}
}

// failed converts an attempt's error to the failure returned to the caller.
func failed(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	f = &Failure{Code: BackendFailed, Outcome: outcome.KindOf(err), Message: "the backend servers failed", Cause: err}
	var o *outcome.Error
	if errors.As(err, &o) {
		f.RetryAt = o.RetryAt
	}
	if errors.Is(err, context.DeadlineExceeded) {
		f.Code, f.Message = DeadlineExceeded, "the deadline passed"
	}
	return f
}
