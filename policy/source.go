// Package policy compiles an operator's policy program into an immutable
// table of decisions.
//
// The arguments of the program's functions are a customer, a version, a task and
// a size class, all of which come from finite sets that the catalogue declares.
// The program is therefore evaluated once for all combinations, when a revision is
// checked or activated. The decision for a request is a table look-up, which can't
// fail, loop or give a result that was not checked when the policy was accepted.
// docs/decisions/policy.md compares this with evaluating the program on each
// request.
package policy

import (
	"strings"

	"fieldvale/catalog"
	"fieldvale/version"
)

// Source is a policy as written by an operator: the program, the catalogue that
// it refers to, and the test cases that it must pass.
type Source struct {
	Program string
	Catalog catalog.Catalog
	Cases   []Case
	// Files holds the operator's unmodified files by name.
	Files map[string]string
}

// Step is one attempt of a cascade.
type Step struct {
	Model string
	// Accept is the lowest rating, from 0 to 1, at which this step's answer is
	// accepted. With 0 the answer is accepted without a rating; the last step
	// always has 0.
	Accept float64
}

// Plan lists the steps of a cascade in the order in which they are tried, cheapest
// model first.
type Plan []Step

// String returns the plan in the notation of test cases.
func (p Plan) String() string {
	s := make([]string, len(p))
	for i, x := range p {
		s[i] = x.String()
	}
	return strings.Join(s, ", ")
}

// Case is a test case of a policy. Want is the expected plan for a request, or
// empty to check none; Allow and Deny list versions that the customer must and
// must not be allowed to use.
type Case struct {
	Name     string
	Customer string
	Task     string
	Size     Size
	Want     string
	Allow    []version.ID
	Deny     []version.ID
}
