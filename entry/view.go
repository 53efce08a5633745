// Package entry answers callers' requests: it applies the policy in force,
// picks version and replica, dispatches, rates, bills, and says truly what
// became of a request that it could not answer. All that it needs from
// outside comes through the ports in ports.go.
package entry

import (
	"sync/atomic"

	"fieldvale/config"
	"fieldvale/peer"
	"fieldvale/pool"
	"fieldvale/rollout"
	"fieldvale/route"
	"fieldvale/version"
)

// View is what an entry knows at one moment. It is immutable.
type View struct {
	Active   *config.Active
	Replicas []*pool.Replica
	Members  []peer.Member
	Tripped  map[version.ID]bool
	// Table and Releases are the routing table and the roll-outs of backend
	// services' releases, for requests that are routed as they are.
	Table    *route.Table
	Releases map[string]rollout.Release

	byVersion map[version.ID][]*pool.Replica
	byService map[string][]*pool.Replica
}

// NewView returns a view with its indexes made. a may be nil: then nothing
// can be served yet.
func NewView(a *config.Active, r []pool.Replica, m []peer.Member, tripped []version.ID) *View {
	l := make([]*pool.Replica, len(r))
	for i := range r {
		l[i] = &r[i]
	}
	return NewViewOf(a, l, m, tripped)
}

// NewViewOf returns a view of replicas that it shares with others.
func NewViewOf(a *config.Active, r []*pool.Replica, m []peer.Member, tripped []version.ID) *View {
	v := &View{
		Active:    a,
		Replicas:  r,
		Members:   m,
		Tripped:   map[version.ID]bool{},
		byVersion: map[version.ID][]*pool.Replica{},
		byService: map[string][]*pool.Replica{},
	}
	for _, x := range tripped {
		v.Tripped[x] = true
	}
	for _, x := range r {
		v.index(x)
	}
	return v
}

func (v *View) index(r *pool.Replica) {
	if r.Draining {
		return
	}
	if r.Kind == pool.Service {
		v.byService[r.Service] = append(v.byService[r.Service], r)
		return
	}
	for _, x := range r.Versions {
		v.byVersion[x] = append(v.byVersion[x], r)
	}
}

// WithActive returns v with another configuration.
func (v *View) WithActive(a *config.Active) *View {
	n := *v
	n.Active = a
	return &n
}

// WithRoutes returns v with another routing table and other releases.
func (v *View) WithRoutes(t *route.Table, r map[string]rollout.Release) *View {
	n := *v
	n.Table, n.Releases = t, r
	return &n
}

// IsTripped reports whether the version was found bad.
func (v *View) IsTripped(x version.ID) bool { return v.Tripped[x] }

// IsReady reports whether requests can be answered: there is a configuration,
// and a backend server, and of the engines at least half have said what they
// have loaded.
func (v *View) IsReady() bool {
	engines, known := 0, 0
	for _, r := range v.Replicas {
		if r.Kind != pool.Engine {
			continue
		}
		engines++
		if len(r.Versions) > 0 {
			known++
		}
	}
	return v.Active != nil && len(v.Replicas) > 0 && 2*known >= engines
}

// mayRun reports whether new work of the caller may go to the version now.
func (v *View) mayRun(c config.Caller, x version.ID) bool {
	return v.Active.MayRun(c, x) && !v.IsTripped(x)
}

// CurrentView is the view in force, replaced as a whole.
type CurrentView struct {
	p atomic.Pointer[View]
}

// NewCurrentView returns an empty view in force.
func NewCurrentView() *CurrentView {
	c := &CurrentView{}
	c.p.Store(NewView(nil, nil, nil, nil))
	return c
}

// Get returns the view in force.
func (c *CurrentView) Get() *View { return c.p.Load() }

// Put replaces the view. A configuration with a lower revision than the one
// in force is not taken: the rest of v is, with the newer configuration.
func (c *CurrentView) Put(v *View) {
	for {
		o := c.p.Load()
		n := v
		if o.Active != nil && (v.Active == nil || v.Active.Revision() < o.Active.Revision()) {
			n = v.WithActive(o.Active)
		}
		if c.p.CompareAndSwap(o, n) {
			return
		}
	}
}

// Members returns the fleet's instances.
func (c *CurrentView) Members() []peer.Member { return c.Get().Members }
