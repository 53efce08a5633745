// Package rollout has the state of the roll-outs of model versions and of the releases
// of backend services, and the sequential tests that find a bad version or release.
// Nothing here does I/O: any instance can take the next step of any roll-out from this
// state.
package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"fieldvale/version"
)

// State is the state of a roll-out or release.
type State string

// The states. Done, Tripped and Halted are final. Tripped means stopped because the tests
// found the version or release bad, Halted means stopped for any other reason.
const (
	Running State = "running"
	Done    State = "done"
	Tripped State = "tripped"
	Halted  State = "halted"
)

// Step is one planned increase of the share of new sessions.
type Step struct {
	// Share is the share of new sessions, out of FullShare.
	Share int
	// Due is the earliest time at which the step may be taken.
	Due time.Time
}

// FullShare is the share that stands for all new sessions or requests.
const FullShare = 10_000

// Rollout moves a model's new sessions from one version to another.
type Rollout struct {
	From  version.ID
	To    version.ID
	State State
	// StepsTaken is the number of steps in force; Steps[StepsTaken-1] has the current
	// share.
	StepsTaken int
	Steps      []Step
}

// New plans a roll-out. The first step is due at start, the next ones follow at the
// given interval. Shares must increase and end at FullShare.
func New(from, to version.ID, shares []int, start time.Time, interval time.Duration) (Rollout, error) {
	r := Rollout{From: from, To: to, State: Running}
	for i, s := range shares {
		r.Steps = append(r.Steps, Step{Share: s, Due: start.Add(time.Duration(i) * interval)})
	}
	return r, r.Validate()
}

// Validate checks the versions and the steps.
func (r Rollout) Validate() error {
	if r.From.Model != r.To.Model || r.From == r.To {
		return errors.Newf("rollout: %s to %s is not a change between two versions of one model", r.From, r.To)
	}
	if len(r.Steps) == 0 || r.Steps[len(r.Steps)-1].Share != FullShare {
		return errors.Newf("rollout: want at least one step, and share %d (all sessions) in the last one", FullShare)
	}
	previous := 0
	for _, s := range r.Steps {
		if s.Share <= previous {
			return errors.Newf("rollout: share %d after share %d: shares must increase", s.Share, previous)
		}
		previous = s.Share
	}
	return nil
}

// Share returns the current share of new sessions that get the new version.
func (r Rollout) Share() int {
	switch {
	case r.State == Done:
		return FullShare
	case r.State != Running || r.StepsTaken == 0:
		return 0
	}
	return r.Steps[r.StepsTaken-1].Share
}

// IsStepDue reports whether the next step may be taken.
func (r Rollout) IsStepDue(now time.Time) bool {
	return r.State == Running && r.StepsTaken < len(r.Steps) && !now.Before(r.Steps[r.StepsTaken].Due)
}

// WithNextStep returns r after its next step. The last step completes the roll-out.
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

// WithState returns r in the given state; a final state is not changed.
func (r Rollout) WithState(s State) Rollout {
	if r.State == Running {
		r.State = s
	}
	return r
}

// VersionFor returns the version for a new session. It depends on the session and the
// share only, and an increase of the share moves no session back to the old version.
func (r Rollout) VersionFor(session string) version.ID {
	if int(xxhash.Sum64String(r.To.String()+"/"+session)%FullShare) < r.Share() {
		return r.To
	}
	return r.From
}
