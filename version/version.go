// Package version names the versions of models that fieldvale routes to.
package version

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// separator stands between the model and the version's name in text.
const separator = "@"

// ID names one version of one model. It is comparable and used as a map key.
type ID struct {
	Model string
	Name  string
}

// New returns the ID of the named version of model.
func New(model, name string) ID {
	return ID{Model: model, Name: name}
}

// Parse reads "model@name". Both parts must be present.
func Parse(s string) (ID, error) {
	m, n, ok := strings.Cut(s, separator)
	if !ok || m == "" || n == "" {
		return ID{}, errors.Newf("version.Parse: %q is not MODEL@VERSION", s)
	}
	return ID{Model: m, Name: n}, nil
}

// String returns "model@name", the form that Parse reads.
func (i ID) String() string {
	return i.Model + separator + i.Name
}

// IsZero reports whether i names no version.
func (i ID) IsZero() bool {
	return i == ID{}
}
