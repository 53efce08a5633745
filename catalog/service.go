package catalog

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Service is a plain service, such as a memory service or an order desk.
type Service struct {
	Name string
	// Once lists the calls that may not be repeated.
	Once []string
	// ChecksKey says that the service itself refuses a second call with the
	// same key, so that it may be called while the store is out.
	ChecksKey bool
}

// IsOnce reports whether the named call may not be repeated.
func (s Service) IsOnce(call string) bool {
	return slices.Contains(s.Once, call)
}

// Validate returns one error for each fault of the service.
func (s Service) Validate() []error {
	var e []error
	if !nameOK(s.Name) {
		e = append(e, errors.Newf("service %q: bad name", s.Name))
	}
	for _, c := range s.Once {
		if !nameOK(c) {
			e = append(e, errors.Newf("service %s: bad call name %q", s.Name, c))
		}
	}
	return e
}
