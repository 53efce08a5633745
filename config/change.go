package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/audit"
	"fieldvale/policy"
	"fieldvale/rollout"
	"fieldvale/session"
	"fieldvale/version"
)

// Change is a request of an operator or an instance to change a team's part of
// the configuration. A change whose ID was applied before has no effect, so that
// it is safe to retry. Action decides which of the fields after it are used.
type Change struct {
	ID     string
	Team   string
	Who    string
	Why    string
	At     time.Time
	Action audit.Action

	// Key is a new signing key for session tokens. The accept action uses it only
	// if the document has no key yet.
	Key session.Key
	// BaseRevision is the revision of the team's part that the submitted policy is based
	// on.
	BaseRevision uint64
	Source       policy.Source
	Version      version.ID
	Rollout      rollout.Rollout
}

// AnyBase as the base of an accept action skips the check for conflicts.
const AnyBase = ^uint64(0)

// NewStepChange returns the change that takes the next step of r. Its id is the
// same on every instance, so that the step is taken once.
func NewStepChange(team string, r rollout.Rollout) Change {
	return Change{
		ID:      fmt.Sprintf("step/%s/%s/%d/%d", team, r.To, r.StepsTaken, r.Steps[0].Due.UnixNano()),
		Team:    team,
		Who:     "fieldvale",
		Why:     "step is due",
		Action:  audit.StepRollout,
		Rollout: r,
	}
}

// NewTripChange returns the change that ends r because its version was found
// bad. Its id is the same on every instance.
func NewTripChange(team string, r rollout.Rollout, why string) Change {
	return Change{
		ID:      fmt.Sprintf("trip/%s/%s/%d", team, r.To, r.Steps[0].Due.UnixNano()),
		Team:    team,
		Who:     "fieldvale",
		Why:     why,
		Action:  audit.TripRollout,
		Rollout: r,
	}
}

// Apply returns the document after the change and the change's entry for the
// audit trail. If the document already has the change, or the change submits the
// policy that is in force, Apply returns the document unchanged and no entry.
func (d Document) Apply(c Change) (Document, *audit.Entry, error) {
	if d.HasChange(c.ID) {
		return d, nil, nil
	}
	p := d.Part(c.Team)
	if c.Action == audit.Accept && len(c.Source.Files) > 0 && maps.Equal(p.Source.Files, c.Source.Files) {
		// The submitted policy is in force already.
		return d, nil, nil
	}
	n, f, t, err := d.apply(p, c)
	if err != nil {
		return d, nil, errors.Wrapf(err, "%s for team %s", c.Action, c.Team)
	}
	e := &audit.Entry{Revision: n.Revision, ChangeID: c.ID, Team: c.Team, Actor: c.Who, At: c.At, Action: c.Action, From: f, To: t, Reason: c.Why}
	return n, e, nil
}

// apply returns the new document and, for the audit trail, the old and the new
// value of what the change replaced.
func (d Document) apply(p Part, c Change) (n Document, from, to string, err error) {
	switch c.Action {
	case audit.Accept:
		return d.accept(p, c)
	case audit.Withdraw:
		return d.withdraw(p, c)
	case audit.Reinstate:
		return d.reinstate(p, c)
	case audit.StartRollout:
		return d.startRollout(p, c)
	case audit.StepRollout, audit.TripRollout, audit.HaltRollout:
		return d.updateRollout(p, c)
	case audit.RotateKeys:
		n = d.withChange(c.ID).withSessionKey(c.Key)
		return n, signingKeyID(d), signingKeyID(n), nil
	}
	return d, "", "", errors.Newf("unknown action %q", c.Action)
}

// signingKeyID returns the id of the key that signs session tokens, for the audit
// trail.
func signingKeyID(d Document) string {
	if len(d.SessionKeys) == 0 {
		return "none"
	}
	return d.SessionKeys[0].ID
}

// accept replaces the team's policy by the submitted one. It refuses a policy that
// is based on another revision than the one in force, names another team, or
// declares models or caller keys of another team.
func (d Document) accept(p Part, c Change) (Document, string, string, error) {
	if c.BaseRevision != AnyBase && c.BaseRevision != p.Revision {
		return d, "", "", errors.Wrapf(ErrConflict, "the change is based on revision %d, but revision %d is in force", c.BaseRevision, p.Revision)
	}
	if c.Source.Catalog.Team != c.Team {
		return d, "", "", errors.Newf("the policy's catalog names team %q, want %q", c.Source.Catalog.Team, c.Team)
	}
	for _, m := range c.Source.Catalog.Models() {
		if o, ok := d.declaringTeam(m); ok && o != c.Team {
			return d, "", "", errors.Newf("model %s is already declared by team %s", m, o)
		}
	}
	if err := d.checkKeysUnique(c); err != nil {
		return d, "", "", err
	}
	f := revisionText(p.Revision)
	p.Source = c.Source
	n := d.withPart(p, c.ID)
	if len(n.SessionKeys) == 0 && c.Key.ID != "" {
		n = n.withSessionKey(c.Key)
	}
	return n, f, revisionText(n.Revision), nil
}

// checkKeysUnique refuses a policy with a caller key that a customer of another
// team has: callers are identified by the key alone.
func (d Document) checkKeysUnique(c Change) error {
	for _, t := range d.Teams() {
		if t == c.Team {
			continue
		}
		for _, o := range d.Parts[t].Source.Catalog.Customers {
			for _, x := range c.Source.Catalog.Customers {
				if haveCommonKey(o.KeyHashes, x.KeyHashes) {
					return errors.Newf("customer %s has a caller key that a customer of another team has", x.Name)
				}
			}
		}
	}
	return nil
}

func haveCommonKey(a, b []string) bool {
	return slices.ContainsFunc(a, func(k string) bool { return slices.Contains(b, k) })
}

func revisionText(r uint64) string {
	return "revision " + strconv.FormatUint(r, 10)
}

// withdraw withdraws the version, which ends a running roll-out to it.
func (d Document) withdraw(p Part, c Change) (Document, string, string, error) {
	if _, ok := p.Source.Catalog.Version(c.Version); !ok {
		return d, "", "", errors.Newf("version %s is not declared in the catalog", c.Version)
	}
	if p.IsWithdrawn(c.Version) {
		return d, "", "", errors.Newf("version %s is already withdrawn", c.Version)
	}
	return d.withPart(p.withWithdrawn(c.Version), c.ID), c.Version.String(), "withdrawn", nil
}

// reinstate takes back the withdrawal of the version.
func (d Document) reinstate(p Part, c Change) (Document, string, string, error) {
	i := slices.Index(p.Withdrawn, c.Version)
	if i < 0 {
		return d, "", "", errors.Newf("version %s is not withdrawn", c.Version)
	}
	p.Withdrawn = slices.Delete(slices.Clone(p.Withdrawn), i, i+1)
	return d.withPart(p, c.ID), "withdrawn", c.Version.String(), nil
}

// startRollout starts a roll-out from the active version and takes its first step.
// A model can have one running roll-out.
func (d Document) startRollout(p Part, c Change) (Document, string, string, error) {
	r := c.Rollout
	if _, ok := p.Source.Catalog.Version(r.To); !ok || p.IsWithdrawn(r.To) {
		return d, "", "", errors.Newf("version %s is withdrawn or not declared in the catalog", r.To)
	}
	if o, ok := p.Rollout(r.To.Model); ok && o.State == rollout.Running {
		return d, "", "", errors.Newf("model %s already has a running roll-out to %s", r.To.Model, o.To)
	}
	if a, ok := p.ActiveVersion(r.To.Model); !ok || a != r.From {
		return d, "", "", errors.Newf("version %s, from which the roll-out starts, is not the active one", r.From)
	}
	if err := r.Validate(); err != nil {
		return d, "", "", err
	}
	return d.withPart(p.withRollout(r.WithNextStep()), c.ID), r.From.String(), r.To.String(), nil
}

// updateRollout takes the next step of a running roll-out, or trips or halts it. A
// step is refused if another instance has taken it already. The version of a
// tripped roll-out is withdrawn as well.
func (d Document) updateRollout(p Part, c Change) (Document, string, string, error) {
	r, ok := p.Rollout(c.Rollout.To.Model)
	if !ok || r.To != c.Rollout.To || r.State != rollout.Running {
		return d, "", "", errors.Newf("there is no running roll-out to %s", c.Rollout.To)
	}
	if c.Action == audit.StepRollout && r.StepsTaken != c.Rollout.StepsTaken {
		return d, "", "", errors.Newf("step %d of the roll-out to %s was already taken", c.Rollout.StepsTaken, r.To)
	}
	n := rolloutAfter(r, c.Action)
	q := p.withRollout(n)
	if c.Action == audit.TripRollout && !q.IsWithdrawn(n.To) {
		q = q.withWithdrawn(n.To)
	}
	return d.withPart(q, c.ID), shareText(r), shareText(n), nil
}

// rolloutAfter returns the roll-out after a trip, halt or step action.
func rolloutAfter(r rollout.Rollout, a audit.Action) rollout.Rollout {
	switch a {
	case audit.TripRollout:
		return r.WithState(rollout.Tripped)
	case audit.HaltRollout:
		return r.WithState(rollout.Halted)
	}
	return r.WithNextStep()
}

// shareText formats the roll-out's state and share for the audit trail.
func shareText(r rollout.Rollout) string {
	return fmt.Sprintf("%s %s at %g%%", r.To, r.State, float64(r.Share())*100/rollout.FullShare)
}
