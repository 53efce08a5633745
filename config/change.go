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

// Change is one operator's or instance's wish to change a team's part. ID
// makes it safe to repeat. Which of the last fields count is the Action's.
type Change struct {
	ID     string
	Team   string
	Who    string
	Why    string
	At     time.Time
	Action audit.Action

	// Key is a new key for session tokens. Accept uses it if there is none.
	Key session.Key
	// Base is the revision of the team's part that Accept started from.
	Base    uint64
	Source  policy.Source
	Version version.ID
	Rollout rollout.Rollout
}

// AnyBase makes Accept take whatever revision is in force.
const AnyBase = ^uint64(0)

// StepChange asks for the next step of r. Its id is the same on every
// instance, so that the step is taken once.
func StepChange(team string, r rollout.Rollout) Change {
	return Change{
		ID:      fmt.Sprintf("step/%s/%s/%d/%d", team, r.To, r.StepsTaken, r.Steps[0].Due.UnixNano()),
		Team:    team,
		Who:     "fieldvale",
		Why:     "step is due",
		Action:  audit.StepRoll,
		Rollout: r,
	}
}

// TripChange asks to stop r because its version turned bad.
func TripChange(team string, r rollout.Rollout, why string) Change {
	return Change{
		ID:      fmt.Sprintf("trip/%s/%s/%d", team, r.To, r.Steps[0].Due.UnixNano()),
		Team:    team,
		Who:     "fieldvale",
		Why:     why,
		Action:  audit.TripRoll,
		Rollout: r,
	}
}

// Apply returns the document after the change and the entry for the audit
// trail. A change that the document already has, or that would accept the
// policy in force, returns it unchanged with no entry.
func (d Document) Apply(c Change) (Document, *audit.Entry, error) {
	if d.Has(c.ID) {
		return d, nil, nil
	}
	p := d.Part(c.Team)
	if c.Action == audit.Accept && len(c.Source.Files) > 0 && maps.Equal(p.Source.Files, c.Source.Files) {
		// The same policy is in force: to accept it again changes nothing.
		return d, nil, nil
	}
	n, f, t, err := d.apply(p, c)
	if err != nil {
		return d, nil, errors.Wrapf(err, "%s for team %s", c.Action, c.Team)
	}
	e := &audit.Entry{Revision: n.Revision, ChangeID: c.ID, Team: c.Team, Who: c.Who, At: c.At, Action: c.Action, From: f, To: t, Why: c.Why}
	return n, e, nil
}

// apply returns the new document and what changed from and to.
func (d Document) apply(p Part, c Change) (n Document, from, to string, err error) {
	switch c.Action {
	case audit.Accept:
		return d.accept(p, c)
	case audit.Withdraw:
		return d.withdraw(p, c)
	case audit.Reinstate:
		return d.reinstate(p, c)
	case audit.StartRoll:
		return d.startRollout(p, c)
	case audit.StepRoll, audit.TripRoll, audit.HaltRoll:
		return d.moveRollout(p, c)
	case audit.RotateKeys:
		n = d.withChange(c.ID).withSessionKey(c.Key)
		return n, keyID(d), keyID(n), nil
	}
	return d, "", "", errors.Newf("unknown action %q", c.Action)
}

func keyID(d Document) string {
	if len(d.SessionKeys) == 0 {
		return "none"
	}
	return d.SessionKeys[0].ID
}

func (d Document) accept(p Part, c Change) (Document, string, string, error) {
	if c.Base != AnyBase && c.Base != p.Revision {
		return d, "", "", errors.Wrapf(ErrConflict, "started from revision %d, revision %d is in force", c.Base, p.Revision)
	}
	if c.Source.Catalog.Team != c.Team {
		return d, "", "", errors.Newf("the policy is of team %q", c.Source.Catalog.Team)
	}
	for _, m := range c.Source.Catalog.Models() {
		if o, ok := d.owner(m); ok && o != c.Team {
			return d, "", "", errors.Newf("model %s is declared by team %s", m, o)
		}
	}
	if err := d.checkKeys(c); err != nil {
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

// checkKeys refuses a caller key that another team's customer has: the key
// alone says who calls.
func (d Document) checkKeys(c Change) error {
	for _, t := range d.Teams() {
		if t == c.Team {
			continue
		}
		for _, o := range d.Parts[t].Source.Catalog.Customers {
			for _, x := range c.Source.Catalog.Customers {
				if shareKey(o.KeyHashes, x.KeyHashes) {
					return errors.Newf("customer %s has a key that another team's customer has", x.Name)
				}
			}
		}
	}
	return nil
}

func shareKey(a, b []string) bool {
	return slices.ContainsFunc(a, func(k string) bool { return slices.Contains(b, k) })
}

func revisionText(r uint64) string {
	return "revision " + strconv.FormatUint(r, 10)
}

func (d Document) withdraw(p Part, c Change) (Document, string, string, error) {
	if _, ok := p.Source.Catalog.Version(c.Version); !ok {
		return d, "", "", errors.Newf("version %s is not declared", c.Version)
	}
	if p.IsWithdrawn(c.Version) {
		return d, "", "", errors.Newf("version %s is withdrawn already", c.Version)
	}
	return d.withPart(p.withWithdrawn(c.Version), c.ID), c.Version.String(), "withdrawn", nil
}

func (d Document) reinstate(p Part, c Change) (Document, string, string, error) {
	i := slices.Index(p.Withdrawn, c.Version)
	if i < 0 {
		return d, "", "", errors.Newf("version %s is not withdrawn", c.Version)
	}
	p.Withdrawn = slices.Delete(slices.Clone(p.Withdrawn), i, i+1)
	return d.withPart(p, c.ID), "withdrawn", c.Version.String(), nil
}

func (d Document) startRollout(p Part, c Change) (Document, string, string, error) {
	r := c.Rollout
	if _, ok := p.Source.Catalog.Version(r.To); !ok || p.IsWithdrawn(r.To) {
		return d, "", "", errors.Newf("version %s is not declared or is withdrawn", r.To)
	}
	if o, ok := p.Rollout(r.To.Model); ok && o.State == rollout.Running {
		return d, "", "", errors.Newf("model %s has a roll-out to %s under way", r.To.Model, o.To)
	}
	if a, ok := p.ActiveVersion(r.To.Model); !ok || a != r.From {
		return d, "", "", errors.Newf("version %s is not the active one", r.From)
	}
	if err := r.Validate(); err != nil {
		return d, "", "", err
	}
	return d.withPart(p.withRollout(r.WithNextStep()), c.ID), r.From.String(), r.To.String(), nil
}

// moveRollout steps, trips or halts a roll-out that still stands where the
// change saw it.
func (d Document) moveRollout(p Part, c Change) (Document, string, string, error) {
	r, ok := p.Rollout(c.Rollout.To.Model)
	if !ok || r.To != c.Rollout.To || r.State != rollout.Running {
		return d, "", "", errors.Newf("no roll-out to %s is under way", c.Rollout.To)
	}
	if c.Action == audit.StepRoll && r.StepsTaken != c.Rollout.StepsTaken {
		return d, "", "", errors.Newf("step %d of the roll-out to %s was taken already", c.Rollout.StepsTaken, r.To)
	}
	n := movedRollout(r, c.Action)
	q := p.withRollout(n)
	if c.Action == audit.TripRoll && !q.IsWithdrawn(n.To) {
		q = q.withWithdrawn(n.To)
	}
	return d.withPart(q, c.ID), shareText(r), shareText(n), nil
}

func movedRollout(r rollout.Rollout, a audit.Action) rollout.Rollout {
	switch a {
	case audit.TripRoll:
		return r.WithState(rollout.Tripped)
	case audit.HaltRoll:
		return r.WithState(rollout.Halted)
	}
	return r.WithNextStep()
}

func shareText(r rollout.Rollout) string {
	return fmt.Sprintf("%s %s at %g%%", r.To, r.State, float64(r.Share())*100/rollout.FullShare)
}
