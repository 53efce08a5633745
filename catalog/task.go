package catalog

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Task is a kind of request, such as the review of a segment. Callers name it in a
// header and policy programs receive it as an argument.
type Task struct {
	Name string
	// Allowance is the time limit of a request without a deadline of its own. It is
	// converted to a deadline once, when the request arrives.
	Allowance time.Duration
}

// DefaultTask is the task of a request that does not name one.
const DefaultTask = "chat"

// DefaultAllowance is the allowance of a task that does not set one.
const DefaultAllowance = 10 * time.Second

const maxAllowance = 10 * time.Minute

// Defaults returns t with default values in unset fields.
func (t Task) Defaults() Task {
	if t.Allowance == 0 {
		t.Allowance = DefaultAllowance
	}
	return t
}

// Validate returns an error for each invalid field of the task.
func (t Task) Validate() []error {
	var e []error
	if !isValidName(t.Name) {
		e = append(e, errors.Newf("task %q: invalid name, want 1 to 64 characters of a-z, 0-9, '-', '.' and '_'", t.Name))
	}
	if t.Allowance <= 0 || t.Allowance > maxAllowance {
		e = append(e, errors.Newf("task %s: allowance is %s, want more than 0 and at most %s", t.Name, t.Allowance, maxAllowance))
	}
	return e
}
