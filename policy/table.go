package policy

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"fieldvale/catalog"
	"fieldvale/version"
)

// Table holds all decisions of one compiled policy. It is immutable and safe for
// concurrent use.
type Table struct {
	catalog catalog.Catalog
	allow   map[permissionKey]bool
	plans   map[decisionKey]Plan
}

type permissionKey struct {
	customer string
	version  version.ID
}

type decisionKey struct {
	customer string
	task     string
	size     Size
}

// Catalog returns the catalogue for which the table was compiled.
func (t *Table) Catalog() catalog.Catalog {
	return t.catalog
}

// Allows reports whether the customer may use the version.
func (t *Table) Allows(customer string, v version.ID) bool {
	return t.allow[permissionKey{customer, v}]
}

// Decide returns the plan for a request. A task that the catalogue does not
// declare is treated as catalog.DefaultTask. The plan of an unknown customer is
// empty.
func (t *Table) Decide(customer, task string, size Size) Plan {
	p, ok := t.plans[decisionKey{customer, task, size}]
	if ok {
		return p
	}
	return t.plans[decisionKey{customer, catalog.DefaultTask, size}]
}

// Check runs the test cases and returns an error for each expectation that is not
// met.
func (t *Table) Check(cases []Case) []error {
	var e []error
	for _, c := range cases {
		e = append(e, t.checkCase(c)...)
	}
	return e
}

func (t *Table) checkCase(c Case) []error {
	var e []error
	if c.Want != "" {
		if g := t.Decide(c.Customer, c.Task, c.Size).String(); g != c.Want {
			e = append(e, errors.Newf("case %s: route(%s, %s, %s) returned %q, want %q", c.Name, c.Customer, c.Task, c.Size, g, c.Want))
		}
	}
	for _, v := range c.Allow {
		if !t.Allows(c.Customer, v) {
			e = append(e, errors.Newf("case %s: customer %s may not use %s, want allowed", c.Name, c.Customer, v))
		}
	}
	for _, v := range c.Deny {
		if t.Allows(c.Customer, v) {
			e = append(e, errors.Newf("case %s: customer %s may use %s, want denied", c.Name, c.Customer, v))
		}
	}
	return e
}

// Difference is a decision in which two tables differ. What identifies the
// decision, such as "allow CUSTOMER VERSION"; From and To are the two results.
type Difference struct {
	What string
	From string
	To   string
}

// Diff lists the decisions in which t differs from the older table o, sorted by
// What. A nil o counts as a table without decisions.
func (t *Table) Diff(o *Table) []Difference {
	if o == nil {
		o = &Table{}
	}
	var d []Difference
	for _, q := range decisionKeys(t.plans, o.plans) {
		f, n := o.plans[q].String(), t.plans[q].String()
		if f != n {
			d = append(d, Difference{What: "route " + q.String(), From: f, To: n})
		}
	}
	for _, g := range permissionKeys(t.allow, o.allow) {
		if o.allow[g] != t.allow[g] {
			d = append(d, Difference{What: "allow " + g.customer + " " + g.version.String(), From: strconv.FormatBool(o.allow[g]), To: strconv.FormatBool(t.allow[g])})
		}
	}
	slices.SortFunc(d, func(a, b Difference) int { return strings.Compare(a.What, b.What) })
	return d
}

func (q decisionKey) String() string {
	return q.customer + " " + q.task + " " + q.size.String()
}

func decisionKeys(a, b map[decisionKey]Plan) []decisionKey {
	return unionKeys(a, b)
}

func permissionKeys(a, b map[permissionKey]bool) []permissionKey {
	return unionKeys(a, b)
}

func unionKeys[K comparable, V any](a, b map[K]V) []K {
	var r []K
	for k := range a {
		r = append(r, k)
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			r = append(r, k)
		}
	}
	return r
}
