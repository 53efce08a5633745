// Package catalog holds the declarations of a team that accompany its policy program:
// its customers, the versions of its models with their costs, its tasks and the plain
// services to which it routes.
//
// Values are immutable: no function of this package changes an existing value.
package catalog

import (
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"fieldvale/version"
)

// Catalog is the declarations of one team. Customers, Versions, Tasks and Services
// are sorted by name.
type Catalog struct {
	Team      string
	Customers []Customer
	Versions  []Version
	Tasks     []Task
	Services  []Service
}

// Validate returns an error for each invalid value in the catalogue.
func (c Catalog) Validate() []error {
	var e []error
	if !isValidName(c.Team) {
		e = append(e, errors.Newf("team: invalid name %q, want 1 to 64 characters of a-z, 0-9, '-', '.' and '_'", c.Team))
	}
	for _, x := range c.Customers {
		e = append(e, x.Validate()...)
	}
	for _, v := range c.Versions {
		e = append(e, v.Validate()...)
	}
	for _, t := range c.Tasks {
		e = append(e, t.Validate()...)
	}
	for _, s := range c.Services {
		e = append(e, s.Validate()...)
	}
	return append(e, c.checkSharedKeys()...)
}

// checkSharedKeys returns an error for each API key that two customers share. Names
// need no such check, since the sections of the file make them unique.
func (c Catalog) checkSharedKeys() []error {
	var e []error
	seen := map[string]string{}
	for _, x := range c.Customers {
		for _, k := range x.KeyHashes {
			if o, ok := seen[k]; ok && o != x.Name {
				e = append(e, errors.Newf("customer %s: API key is also declared for customer %s, want distinct keys", x.Name, o))
			}
			seen[k] = x.Name
		}
	}
	return e
}

// Customer returns the customer with the given name.
func (c Catalog) Customer(name string) (Customer, bool) {
	for _, x := range c.Customers {
		if x.Name == name {
			return x, true
		}
	}
	return Customer{}, false
}

// Version returns the declared version with the given ID.
func (c Catalog) Version(id version.ID) (Version, bool) {
	for _, v := range c.Versions {
		if v.ID == id {
			return v, true
		}
	}
	return Version{}, false
}

// Models returns the sorted names of all models that have a declared version.
func (c Catalog) Models() []string {
	m := map[string]bool{}
	for _, v := range c.Versions {
		m[v.ID.Model] = true
	}
	r := make([]string, 0, len(m))
	for k := range m {
		r = append(r, k)
	}
	sort.Strings(r)
	return r
}

// ActiveVersion returns the version that new sessions of the model use while no
// roll-out is in progress: the version declared as the default, else the first by name.
func (c Catalog) ActiveVersion(model string) (version.ID, bool) {
	var f version.ID
	for _, v := range c.Versions {
		if v.ID.Model != model {
			continue
		}
		if v.Default {
			return v.ID, true
		}
		if f.IsZero() {
			f = v.ID
		}
	}
	return f, !f.IsZero()
}

const nameAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789-._"

// maxNameLength is the maximum length of a name. The error messages state it too.
const maxNameLength = 64

// isValidName reports whether s can be part of a key of the store, a metric label and
// a header without escaping.
func isValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, r := range s {
		if !strings.ContainsRune(nameAlphabet, r) {
			return false
		}
	}
	return true
}
