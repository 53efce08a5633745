// Package catalog holds what a team declares beside its policy program: its
// customers, the versions of its models with their costs, its tasks and the
// plain services that it routes to.
//
// Values are immutable: nothing in this package changes one after New
// returned it.
package catalog

import (
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"fieldvale/version"
)

// Catalog is one team's declarations, with Customers, Versions, Tasks and
// Services sorted by name.
type Catalog struct {
	Team      string
	Customers []Customer
	Versions  []Version
	Tasks     []Task
	Services  []Service
}

// Validate returns one error for each fault of the catalogue.
func (c Catalog) Validate() []error {
	var e []error
	if !nameOK(c.Team) {
		e = append(e, errors.Newf("team: name %q may hold only a-z, 0-9, '-', '.' and '_'", c.Team))
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
	return append(e, c.duplicates()...)
}

// duplicates finds caller keys that two customers share; the sections of the
// file already make names unique.
func (c Catalog) duplicates() []error {
	var e []error
	seen := map[string]string{}
	for _, x := range c.Customers {
		for _, k := range x.KeyHashes {
			if o, ok := seen[k]; ok && o != x.Name {
				e = append(e, errors.Newf("customer %s: has a key of customer %s", x.Name, o))
			}
			seen[k] = x.Name
		}
	}
	return e
}

// Customer returns the customer of that name.
func (c Catalog) Customer(name string) (Customer, bool) {
	for _, x := range c.Customers {
		if x.Name == name {
			return x, true
		}
	}
	return Customer{}, false
}

// Version returns the declared version with that ID.
func (c Catalog) Version(id version.ID) (Version, bool) {
	for _, v := range c.Versions {
		if v.ID == id {
			return v, true
		}
	}
	return Version{}, false
}

// Models returns the names of the models declared, sorted.
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

// ActiveVersion returns the version that a model's new sessions get when no
// roll-out is under way: the one declared default, else the first by name.
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

const nameRunes = "abcdefghijklmnopqrstuvwxyz0123456789-._"

const maxName = 64

// nameOK reports whether s can stand in a key of the store, a metric label
// and a header without escaping.
func nameOK(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	for _, r := range s {
		if !strings.ContainsRune(nameRunes, r) {
			return false
		}
	}
	return true
}
