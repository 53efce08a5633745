// Package config holds the one configuration document that all teams share,
// the changes that operators make to it and the rule by which an instance
// adopts a newer one.
package config

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/policy"
	"fieldvale/rollout"
	"fieldvale/session"
	"fieldvale/version"
)

// maxRecent is how many change ids a document remembers, so that a writer
// whose answer was lost finds its change below later ones.
const maxRecent = 64

// maxSessionKeys is how many keys are kept by rotation, the signing one included.
const maxSessionKeys = 3

// Document is the whole configuration at one revision. Values are immutable:
// changes return a new one.
type Document struct {
	Revision uint64
	// Recent holds the ids of the last changes, the newest last.
	Recent      []string
	SessionKeys []session.Key
	Parts       map[string]Part
}

// Part is what one team has in force.
type Part struct {
	Team string
	// Revision is that of the document in which the team's part last changed.
	Revision uint64
	Source   policy.Source
	// Active holds, for a model, the version that the last completed
	// roll-out left in use.
	Active    map[string]version.ID
	Withdrawn []version.ID
	Rollouts  []rollout.Rollout
}

// Newer reports whether an instance that holds d must adopt o. A lower or
// equal revision is never adopted, whatever the store says.
func (d Document) Newer(o Document) bool {
	return o.Revision > d.Revision
}

// Has reports whether the change with that id is in the document.
func (d Document) Has(changeID string) bool {
	return slices.Contains(d.Recent, changeID)
}

// Part returns the team's part, empty at revision 0 if it has none.
func (d Document) Part(team string) Part {
	if p, ok := d.Parts[team]; ok {
		return p
	}
	return Part{Team: team}
}

// Teams returns the names of the teams, sorted.
func (d Document) Teams() []string {
	return slices.Sorted(maps.Keys(d.Parts))
}

// withPart returns d at the next revision with p in place of the team's part.
func (d Document) withPart(p Part, changeID string) Document {
	d = d.withChange(changeID)
	p.Revision = d.Revision
	d.Parts = maps.Clone(d.Parts)
	if d.Parts == nil {
		d.Parts = map[string]Part{}
	}
	d.Parts[p.Team] = p
	return d
}

func (d Document) withChange(id string) Document {
	d.Revision++
	r := append(slices.Clone(d.Recent), id)
	d.Recent = r[max(0, len(r)-maxRecent):]
	return d
}

// withSessionKey returns d signing with k and honouring the last keys too.
func (d Document) withSessionKey(k session.Key) Document {
	n := append([]session.Key{k}, d.SessionKeys...)
	d.SessionKeys = n[:min(len(n), maxSessionKeys)]
	return d
}

// IsWithdrawn reports whether the part has withdrawn v.
func (p Part) IsWithdrawn(v version.ID) bool {
	return slices.Contains(p.Withdrawn, v)
}

// Rollout returns the newest roll-out of the model.
func (p Part) Rollout(model string) (rollout.Rollout, bool) {
	for _, r := range p.Rollouts {
		if r.To.Model == model {
			return r, true
		}
	}
	return rollout.Rollout{}, false
}

// ActiveVersion returns the version for new sessions outside a roll-out.
func (p Part) ActiveVersion(model string) (version.ID, bool) {
	if v, ok := p.Active[model]; ok {
		if _, ok := p.Source.Catalog.Version(v); ok && !p.IsWithdrawn(v) {
			return v, true
		}
	}
	if v, ok := p.Source.Catalog.ActiveVersion(model); ok && !p.IsWithdrawn(v) {
		return v, true
	}
	return p.anyVersion(model)
}

// anyVersion returns the first version of the model that is not withdrawn.
func (p Part) anyVersion(model string) (version.ID, bool) {
	for _, v := range p.Source.Catalog.Versions {
		if v.ID.Model == model && !p.IsWithdrawn(v.ID) {
			return v.ID, true
		}
	}
	return version.ID{}, false
}

// withRollout returns p with r as its model's roll-out. A finished one makes
// its version the active one.
func (p Part) withRollout(r rollout.Rollout) Part {
	n := []rollout.Rollout{r}
	for _, o := range p.Rollouts {
		if o.To.Model != r.To.Model {
			n = append(n, o)
		}
	}
	p.Rollouts = n
	if r.State == rollout.Done {
		p.Active = maps.Clone(p.Active)
		if p.Active == nil {
			p.Active = map[string]version.ID{}
		}
		p.Active[r.To.Model] = r.To
	}
	return p
}

// withWithdrawn returns p without v. A roll-out to v is halted.
func (p Part) withWithdrawn(v version.ID) Part {
	p.Withdrawn = append(slices.Clone(p.Withdrawn), v)
	if r, ok := p.Rollout(v.Model); ok && r.To == v && r.State == rollout.Running {
		p = p.withRollout(r.WithState(rollout.Halted))
	}
	return p
}

// owner returns the team that declares the model.
func (d Document) owner(model string) (string, bool) {
	for _, t := range d.Teams() {
		if slices.Contains(d.Parts[t].Source.Catalog.Models(), model) {
			return t, true
		}
	}
	return "", false
}

// DueSteps returns, for each team, the roll-outs whose next step is due.
func (d Document) DueSteps(now time.Time) []Change {
	var c []Change
	for _, t := range d.Teams() {
		for _, r := range d.Parts[t].Rollouts {
			if r.IsStepDue(now) {
				c = append(c, StepChange(t, r))
			}
		}
	}
	return c
}

// ErrConflict is the reason for refusing a change whose base is not the
// revision of the team's part any more.
var ErrConflict = errors.New("conflict: the team's configuration has changed since")
