// Package version identifies versions of models.
package version

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// separator separates the model and the name of the version in the text form.
const separator = "@"

// ID identifies one version of a model. It is comparable, so that it can be a map key.
type ID struct {
	Model string
	Name  string
}

// New returns the ID of the version of model with the given name.
func New(model, name string) ID {
	return ID{Model: model, Name: name}
}

// Parse parses the text form "model@name". Both parts must be non-empty.
func Parse(s string) (ID, error) {
	m, n, ok := strings.Cut(s, separator)
	if !ok || m == "" || n == "" {
		return ID{}, errors.Newf("version.Parse: %q is not MODEL@VERSION", s)
	}
	return ID{Model: m, Name: n}, nil
}

// String returns the text form "model@name".
func (i ID) String() string {
	return i.Model + separator + i.Name
}

// IsZero reports whether i is the zero value, which identifies no version.
func (i ID) IsZero() bool {
	return i == ID{}
}
