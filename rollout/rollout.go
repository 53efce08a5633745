// Package rollout holds the state of one version's roll-out and the
// sequential test that finds a version turning bad. Nothing here does I/O:
// any instance can take the next step of any roll-out from this state.
package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"fieldvale/version"
)

// State is where a roll-out stands.
type State string

// The states of a roll-out. Done, Tripped and Halted are final.
const (
	Running State = "running"
	Done    State = "done"
	Tripped State = "tripped"
	Halted  State = "halted"
)

// Step is one planned growth of the share of new sessions.
type Step struct {
	// Share is in parts of Whole.
	Share int
	// Due is when the step may be taken.
	Due time.Time
}

// FullShare is the share that means all new sessions.
const FullShare = 10_000

// Rollout moves a model's new sessions from one version to another.
type Rollout struct {
	From  version.ID
	To    version.ID
	State State
	// StepsTaken counts the steps in force; Steps[StepsTaken-1] holds the share.
	StepsTaken int
	Steps      []Step
}

// New plans a roll-out whose steps fall due one after another, every apart,
// the first at once. Shares must grow and end at Whole.
func New(from, to version.ID, shares []int, start time.Time, every time.Duration) (Rollout, error) {
	r := Rollout{From: from, To: to, State: Running}
	for i, s := range shares {
		r.Steps = append(r.Steps, Step{Share: s, Due: start.Add(time.Duration(i) * every)})
	}
	return r, r.Validate()
}

// Validate checks the plan.
func (r Rollout) Validate() error {
	if r.From.Model != r.To.Model || r.From == r.To {
		return errors.Newf("rollout: %s to %s is not a change between two versions of one model", r.From, r.To)
	}
	if len(r.Steps) == 0 || r.Steps[len(r.Steps)-1].Share != FullShare {
		return errors.Newf("rollout: the last share is not %d (all)", FullShare)
	}
	p := 0
	for _, s := range r.Steps {
		if s.Share <= p {
			return errors.Newf("rollout: share %d does not grow from %d", s.Share, p)
		}
		p = s.Share
	}
	return nil
}

// Share is the part of new sessions that get the new version now.
func (r Rollout) Share() int {
	switch {
	case r.State == Done:
		return FullShare
	case r.State != Running || r.StepsTaken == 0:
		return 0
	}
	return r.Steps[r.StepsTaken-1].Share
}

// IsStepDue reports whether the next step may be taken at now.
func (r Rollout) IsStepDue(now time.Time) bool {
	return r.State == Running && r.StepsTaken < len(r.Steps) && !now.Before(r.Steps[r.StepsTaken].Due)
}

// WithNextStep returns r one step on. The step to Whole is the last and ends it.
func (r Rollout) WithNextStep() Rollout {
	if r.State != Running || r.StepsTaken >= len(r.Steps) {
		return r
	}
	r.StepsTaken++
	if r.StepsTaken == len(r.Steps) {
		r.State = Done
	}
	return r
}

// WithState returns r in the given state; a final state is kept.
func (r Rollout) WithState(s State) Rollout {
	if r.State == Running {
		r.State = s
	}
	return r
}

// VersionFor returns the version for a new session. The same session always gets
// the same answer for one share, and growth moves no session back.
func (r Rollout) VersionFor(session string) version.ID {
	if int(xxhash.Sum64String(r.To.String()+"/"+session)%FullShare) < r.Share() {
		return r.To
	}
	return r.From
}
