package catalog

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Task is a kind of request, such as a segment review, that callers name in
// a header and policies look at.
type Task struct {
	Name string
	// Allowance is the time that a request without a deadline of its own is
	// given; admission turns it into a deadline once, when the request comes in.
	Allowance time.Duration
}

// DefaultTask is the task of a request that names none.
const DefaultTask = "chat"

// DefaultAllowance is the time given to a task that states none.
const DefaultAllowance = 10 * time.Second

const maxAllowance = 10 * time.Minute

// Defaults returns t with what was left out filled in.
func (t Task) Defaults() Task {
	if t.Allowance == 0 {
		t.Allowance = DefaultAllowance
	}
	return t
}

// Validate returns one error for each fault of the task.
func (t Task) Validate() []error {
	var e []error
	if !nameOK(t.Name) {
		e = append(e, errors.Newf("task %q: bad name", t.Name))
	}
	if t.Allowance <= 0 || t.Allowance > maxAllowance {
		e = append(e, errors.Newf("task %s: allowance %s is not between 0 and %s", t.Name, t.Allowance, maxAllowance))
	}
	return e
}
