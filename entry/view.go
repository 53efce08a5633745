// Package entry routes callers' requests to backend servers: it applies the policy in force,
// picks a version and a replica, dispatches, rates the answer, bills it, and reports to the
// caller whether a request without an answer may have run. Everything external is reached through
// the interfaces in ports.go.
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

// View is an immutable snapshot of the configuration, replicas and members used for routing
// decisions.
type View struct {
	Active   *config.Compiled
	Replicas []*pool.Replica
	Members  []peer.Member
	Tripped  map[version.ID]bool
	// Table and Releases hold the operator's routing table and the releases of backend services
	// being rolled out. Both are used for opaque requests only.
	Table    *route.Table
	Releases map[string]rollout.Release

	byVersion map[version.ID][]*pool.Replica
	byService map[string][]*pool.Replica
}

// NewView builds a view and its indexes. a may be nil, in which case no request can be served
// yet.
func NewView(a *config.Compiled, r []pool.Replica, m []peer.Member, tripped []version.ID) *View {
	l := make([]*pool.Replica, len(r))
	for i := range r {
		l[i] = &r[i]
	}
	return NewViewOf(a, l, m, tripped)
}

// NewViewOf is like NewView for replicas that several views share.
func NewViewOf(a *config.Compiled, r []*pool.Replica, m []peer.Member, tripped []version.ID) *View {
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

// WithActive returns a copy of v with another configuration.
func (v *View) WithActive(a *config.Compiled) *View {
	n := *v
	n.Active = a
	return &n
}

// WithRoutes returns a copy of v with another routing table and other releases.
func (v *View) WithRoutes(t *route.Table, r map[string]rollout.Release) *View {
	n := *v
	n.Table, n.Releases = t, r
	return &n
}

// IsTripped reports whether the version was found bad during its roll-out.
func (v *View) IsTripped(x version.ID) bool { return v.Tripped[x] }

// IsReady reports whether requests can be served: a configuration is in force, there is at least
// one backend server, and at least half of the engines have reported the versions they have
// loaded.
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

// mayRun reports whether new requests of the caller may be sent to the version now.
func (v *View) mayRun(c config.Caller, x version.ID) bool {
	return v.Active.IsAllowed(c, x) && !v.IsTripped(x)
}

// CurrentView holds the view in force and replaces it atomically.
type CurrentView struct {
	p atomic.Pointer[View]
}

// NewCurrentView returns a holder of an empty view.
func NewCurrentView() *CurrentView {
	c := &CurrentView{}
	c.p.Store(NewView(nil, nil, nil, nil))
	return c
}

func (c *CurrentView) Get() *View { return c.p.Load() }

// Put replaces the view. The configuration never goes back to a lower revision: if v has an older
// one, the rest of v is taken and the newer configuration kept.
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

// Members returns the instances of the fleet.
func (c *CurrentView) Members() []peer.Member { return c.Get().Members }
