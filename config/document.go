// Package config defines the configuration document that all teams share, the
// changes that operators and instances make to it, and the rule by which an
// instance adopts a newer revision.
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

// maxRecentChanges is how many change ids a document keeps, so that a writer
// whose response was lost finds its change even after later changes.
const maxRecentChanges = 64

// maxSessionKeys is how many keys a rotation keeps, the signing key included.
const maxSessionKeys = 3

// Document is the complete configuration at one revision. It is immutable:
// methods that change it return a new one.
type Document struct {
	Revision uint64
	// RecentChanges holds the ids of the last changes, the newest last.
	RecentChanges []string
	// SessionKeys are the keys of session tokens: the first signs, all verify.
	SessionKeys []session.Key
	// Parts holds the teams' parts by team name.
	Parts map[string]Part
}

// Part is one team's part of the configuration.
type Part struct {
	Team string
	// Revision is the document revision at which this part last changed.
	Revision uint64
	Source   policy.Source
	// ActiveVersions holds, by model, the target version of the last completed
	// roll-out.
	ActiveVersions map[string]version.ID
	Withdrawn      []version.ID
	Rollouts       []rollout.Rollout
}

// IsOlderThan reports whether o has a higher revision than d, so that an
// instance with d in force must adopt o. A lower or equal revision is never
// adopted, not even one read from the store.
func (d Document) IsOlderThan(o Document) bool {
	return o.Revision > d.Revision
}

// HasChange reports whether the change is among the document's recent ones.
func (d Document) HasChange(changeID string) bool {
	return slices.Contains(d.RecentChanges, changeID)
}

// Part returns the team's part, or an empty one at revision 0 if the document has
// none.
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

// withChange returns d at the next revision with the change id recorded.
func (d Document) withChange(id string) Document {
	d.Revision++
	r := append(slices.Clone(d.RecentChanges), id)
	d.RecentChanges = r[max(0, len(r)-maxRecentChanges):]
	return d
}

// withSessionKey returns d with k as the key that signs session tokens. The last
// keys before it still verify tokens.
func (d Document) withSessionKey(k session.Key) Document {
	n := append([]session.Key{k}, d.SessionKeys...)
	d.SessionKeys = n[:min(len(n), maxSessionKeys)]
	return d
}

// IsWithdrawn reports whether the part has withdrawn v.
func (p Part) IsWithdrawn(v version.ID) bool {
	return slices.Contains(p.Withdrawn, v)
}

// Rollout returns the model's latest roll-out, running or ended.
func (p Part) Rollout(model string) (rollout.Rollout, bool) {
	for _, r := range p.Rollouts {
		if r.To.Model == model {
			return r, true
		}
	}
	return rollout.Rollout{}, false
}

// ActiveVersion returns the model's version for new sessions that no roll-out
// assigns elsewhere: the target of the last completed roll-out, else the
// catalog's active version, else any version that is not withdrawn.
func (p Part) ActiveVersion(model string) (version.ID, bool) {
	if v, ok := p.ActiveVersions[model]; ok {
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

// withRollout returns p with r as its model's roll-out. If r is completed, its
// target becomes the active version.
func (p Part) withRollout(r rollout.Rollout) Part {
	n := []rollout.Rollout{r}
	for _, o := range p.Rollouts {
		if o.To.Model != r.To.Model {
			n = append(n, o)
		}
	}
	p.Rollouts = n
	if r.State == rollout.Done {
		p.ActiveVersions = maps.Clone(p.ActiveVersions)
		if p.ActiveVersions == nil {
			p.ActiveVersions = map[string]version.ID{}
		}
		p.ActiveVersions[r.To.Model] = r.To
	}
	return p
}

// withWithdrawn returns p with v withdrawn. A running roll-out to v is halted.
func (p Part) withWithdrawn(v version.ID) Part {
	p.Withdrawn = append(slices.Clone(p.Withdrawn), v)
	if r, ok := p.Rollout(v.Model); ok && r.To == v && r.State == rollout.Running {
		p = p.withRollout(r.WithState(rollout.Halted))
	}
	return p
}

// declaringTeam returns the team whose catalog declares the model.
func (d Document) declaringTeam(model string) (string, bool) {
	for _, t := range d.Teams() {
		if slices.Contains(d.Parts[t].Source.Catalog.Models(), model) {
			return t, true
		}
	}
	return "", false
}

// DueSteps returns the changes that take the roll-out steps due at now, for all
// teams.
func (d Document) DueSteps(now time.Time) []Change {
	var c []Change
	for _, t := range d.Teams() {
		for _, r := range d.Parts[t].Rollouts {
			if r.IsStepDue(now) {
				c = append(c, NewStepChange(t, r))
			}
		}
	}
	return c
}

// ErrConflict is returned for a change whose base is no longer the revision of
// the team's part.
var ErrConflict = errors.New("conflict: the team's configuration has changed since")
