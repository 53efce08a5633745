package catalog

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Service is a plain service rather than a language model, such as a memory service
// or an order service.
type Service struct {
	Name string
	// NonIdempotentCalls lists the calls that are not idempotent and must not be repeated.
	NonIdempotentCalls []string
	// ChecksIdempotencyKey reports that the service itself rejects a second call with the same
	// idempotency key, so that it may be called while the store is unavailable.
	ChecksIdempotencyKey bool
}

// IsNonIdempotent reports whether the call is not idempotent and must not be repeated.
func (s Service) IsNonIdempotent(call string) bool {
	return slices.Contains(s.NonIdempotentCalls, call)
}

// Validate returns an error for each invalid field of the service.
func (s Service) Validate() []error {
	var e []error
	if !isValidName(s.Name) {
		e = append(e, errors.Newf("service %q: invalid name, want 1 to 64 characters of a-z, 0-9, '-', '.' and '_'", s.Name))
	}
	for _, c := range s.NonIdempotentCalls {
		if !isValidName(c) {
			e = append(e, errors.Newf("service %s: invalid call name %q, want 1 to 64 characters of a-z, 0-9, '-', '.' and '_'", s.Name, c))
		}
	}
	return e
}
