// Package policy compiles an operator's policy program into an immutable
// table of decisions.
//
// The program's functions see only a customer, a version, a task and a size
// class, all of which come from finite sets that the catalogue declares. So
// the program is run over all of them once, when a revision is checked or
// activated, and a request's decision is a look-up that can't fail, loop or
// reach anything that accept has not seen. docs/decisions/policy.md has the
// figures against evaluating the program on each request.
package policy

import (
	"strings"

	"fieldvale/catalog"
	"fieldvale/version"
)

// Source is what an operator writes: the program, the catalogue that it
// speaks of, and the test cases that it must pass.
type Source struct {
	Program string
	Catalog catalog.Catalog
	Cases   []Case
	// Files are the texts by file name as the operator wrote them.
	Files map[string]string
}

// Step is one attempt of a cascade.
type Step struct {
	Model string
	// Accept is the least rating, from 0 to 1, with which this step's answer
	// is good enough. 0 takes the answer unrated; the last step is always 0.
	Accept float64
}

// Plan lists the models to try in order, cheapest first.
type Plan []Step

// String returns the plan in the form that test cases state it.
func (p Plan) String() string {
	s := make([]string, len(p))
	for i, x := range p {
		s[i] = x.String()
	}
	return strings.Join(s, ", ")
}

// Case is one test of a policy: what must come out for a request, and which
// versions the customer must and must not be allowed.
type Case struct {
	Name     string
	Customer string
	Task     string
	Size     Size
	Want     string
	Allow    []version.ID
	Deny     []version.ID
}
