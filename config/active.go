package config

import (
	"github.com/cockroachdb/errors"

	"fieldvale/catalog"
	"fieldvale/policy"
	"fieldvale/rollout"
	"fieldvale/session"
	"fieldvale/version"
)

// Compiled is a compiled configuration document: its policies are compiled and its
// caller keys indexed. It is immutable and shared by all requests of an entry.
type Compiled struct {
	doc          Document
	sessionKeys  session.KeyRing
	callers      map[string]Caller
	tables       map[string]*policy.Table
	services     map[string]catalog.Service
	withdrawn    map[version.ID]bool
	declarations map[version.ID]catalog.Version
}

// Caller is a customer and the team that it belongs to.
type Caller struct {
	Team     string
	Customer catalog.Customer
}

// Compile compiles the document and returns all faults found. A document whose
// policies were checked when operators submitted them has none.
func Compile(d Document) (*Compiled, []error) {
	a := &Compiled{
		doc:          d,
		sessionKeys:  session.NewKeyRing(d.SessionKeys...),
		callers:      map[string]Caller{},
		tables:       map[string]*policy.Table{},
		services:     map[string]catalog.Service{},
		withdrawn:    map[version.ID]bool{},
		declarations: map[version.ID]catalog.Version{},
	}
	var e []error
	for _, t := range d.Teams() {
		e = append(e, a.addPart(d.Parts[t])...)
	}
	return a, e
}

// addPart compiles the team's policy and indexes its customers, services and
// versions.
func (a *Compiled) addPart(p Part) []error {
	t, e := policy.Compile(p.Source)
	if len(e) > 0 {
		return wrapErrors(e, p.Team)
	}
	a.tables[p.Team] = t
	for _, c := range p.Source.Catalog.Customers {
		for _, k := range c.KeyHashes {
			a.callers[k] = Caller{Team: p.Team, Customer: c}
		}
	}
	for _, s := range p.Source.Catalog.Services {
		a.services[p.Team+"/"+s.Name] = s
	}
	for _, v := range p.Source.Catalog.Versions {
		a.declarations[v.ID] = v
	}
	for _, v := range p.Withdrawn {
		a.withdrawn[v] = true
	}
	return nil
}

func wrapErrors(e []error, team string) []error {
	r := make([]error, len(e))
	for i, x := range e {
		r[i] = errors.Wrapf(x, "config.Activate: team %s", team)
	}
	return r
}

// Document returns the document from which a was compiled.
func (a *Compiled) Document() Document { return a.doc }

// Revision returns the document's revision.
func (a *Compiled) Revision() uint64 { return a.doc.Revision }

// SessionKeys returns the key ring that signs and verifies session tokens.
func (a *Compiled) SessionKeys() session.KeyRing { return a.sessionKeys }

// Caller returns the customer whose API key this is.
func (a *Compiled) Caller(key string) (Caller, bool) {
	c, ok := a.callers[catalog.HashKey(key)]
	return c, ok
}

// Service returns the team's plain service with that name.
func (a *Compiled) Service(team, name string) (catalog.Service, bool) {
	s, ok := a.services[team+"/"+name]
	return s, ok
}

// Task returns the team's declaration of the task, or the default task if the team
// declares none of that name.
func (a *Compiled) Task(team, name string) catalog.Task {
	if t, ok := a.tables[team]; ok {
		for _, k := range t.Catalog().Tasks {
			if k.Name == name {
				return k
			}
		}
	}
	return catalog.Task{Name: catalog.DefaultTask}.Defaults()
}

// Decide returns the plan of the caller's team's policy for a request, or nil if
// the team has no policy.
func (a *Compiled) Decide(c Caller, task string, z policy.Size) policy.Plan {
	t, ok := a.tables[c.Team]
	if !ok {
		return nil
	}
	return t.Decide(c.Customer.Name, task, z)
}

// IsAllowed reports whether new requests of the caller may be sent to the version:
// the policy allows it and it is not withdrawn. It must be checked at each
// dispatch, since a version can be withdrawn while a request waits.
func (a *Compiled) IsAllowed(c Caller, v version.ID) bool {
	t, ok := a.tables[c.Team]
	return ok && !a.withdrawn[v] && t.Allows(c.Customer.Name, v)
}

// Declaration returns the version's declaration, which has the prices of a call.
func (a *Compiled) Declaration(v version.ID) catalog.Version { return a.declarations[v] }

// Withdrawn lists the withdrawn versions of all teams.
func (a *Compiled) Withdrawn() []version.ID {
	var r []version.ID
	for _, t := range a.doc.Teams() {
		r = append(r, a.doc.Parts[t].Withdrawn...)
	}
	return r
}

// PickVersion returns the version of the model for a caller's session: the version that
// the session is pinned to if the caller may still use it, else the version that
// the share of a running roll-out assigns to the session, else the active one,
// else any that the caller may use. A tripped version is not used as a pin or as
// the target of a roll-out.
func (a *Compiled) PickVersion(c Caller, model string, s session.Session, tripped func(version.ID) bool) (version.ID, bool) {
	if v, ok := s.Pin(model); ok && a.IsAllowed(c, v) && !tripped(v) {
		return v, true
	}
	p := a.doc.Part(c.Team)
	v, ok := p.ActiveVersion(model)
	if !ok {
		return v, false
	}
	r, hasRollout := p.Rollout(model)
	if hasRollout && r.State == rollout.Running && r.From == v && !tripped(r.To) {
		if n := r.VersionFor(s.ID); a.IsAllowed(c, n) {
			return n, true
		}
	}
	if a.IsAllowed(c, v) {
		return v, true
	}
	return a.anyAllowed(c, model)
}

// anyAllowed returns the first declared version of the model that the caller may
// use.
func (a *Compiled) anyAllowed(c Caller, model string) (version.ID, bool) {
	for _, v := range a.doc.Part(c.Team).Source.Catalog.Versions {
		if v.ID.Model == model && a.IsAllowed(c, v.ID) {
			return v.ID, true
		}
	}
	return version.ID{}, false
}

// Models lists the versions that the caller may use now.
func (a *Compiled) Models(c Caller) []version.ID {
	var r []version.ID
	for _, v := range a.doc.Part(c.Team).Source.Catalog.Versions {
		if a.IsAllowed(c, v.ID) {
			r = append(r, v.ID)
		}
	}
	return r
}
