package policy

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"fieldvale/catalog"
	"fieldvale/version"
)

// Table holds every decision of one compiled policy. It is immutable and safe
// for use by many goroutines.
type Table struct {
	catalog catalog.Catalog
	allow   map[grant]bool
	plans   map[question]Plan
}

type grant struct {
	customer string
	version  version.ID
}

type question struct {
	customer string
	task     string
	size     Size
}

// Catalog returns the catalogue that the table was compiled with.
func (t *Table) Catalog() catalog.Catalog {
	return t.catalog
}

// Allows reports whether the customer may use the version.
func (t *Table) Allows(customer string, v version.ID) bool {
	return t.allow[grant{customer, v}]
}

// Decide returns the plan for a request. A task that the catalogue does not
// declare is decided as catalog.DefaultTask. An unknown customer gets no plan.
func (t *Table) Decide(customer, task string, size Size) Plan {
	p, ok := t.plans[question{customer, task, size}]
	if ok {
		return p
	}
	return t.plans[question{customer, catalog.DefaultTask, size}]
}

// Check runs the cases and returns one error for each that does not hold.
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
			e = append(e, errors.Newf("case %s: route(%s, %s, %s) gave %q, want %q", c.Name, c.Customer, c.Task, c.Size, g, c.Want))
		}
	}
	for _, v := range c.Allow {
		if !t.Allows(c.Customer, v) {
			e = append(e, errors.Newf("case %s: %s is not allowed %s", c.Name, c.Customer, v))
		}
	}
	for _, v := range c.Deny {
		if t.Allows(c.Customer, v) {
			e = append(e, errors.Newf("case %s: %s is allowed %s", c.Name, c.Customer, v))
		}
	}
	return e
}

// Difference is one decision that two tables answer differently.
type Difference struct {
	What string
	From string
	To   string
}

// Diff lists the decisions in which t differs from the older table o, which
// may be nil.
func (t *Table) Diff(o *Table) []Difference {
	if o == nil {
		o = &Table{}
	}
	var d []Difference
	for _, q := range questions(t.plans, o.plans) {
		f, n := o.plans[q].String(), t.plans[q].String()
		if f != n {
			d = append(d, Difference{What: "route " + q.String(), From: f, To: n})
		}
	}
	for _, g := range grants(t.allow, o.allow) {
		if o.allow[g] != t.allow[g] {
			d = append(d, Difference{What: "allow " + g.customer + " " + g.version.String(), From: strconv.FormatBool(o.allow[g]), To: strconv.FormatBool(t.allow[g])})
		}
	}
	slices.SortFunc(d, func(a, b Difference) int { return strings.Compare(a.What, b.What) })
	return d
}

func (q question) String() string {
	return q.customer + " " + q.task + " " + q.size.String()
}

func questions(a, b map[question]Plan) []question {
	return unionKeys(a, b)
}

func grants(a, b map[grant]bool) []grant {
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
