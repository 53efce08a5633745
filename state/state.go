// Package state holds what an instance knows of configuration, replicas and
// releases, and puts it in force for the router. It never goes back to an
// older configuration.
package state

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"fieldvale/discovery"
	"fieldvale/entry"
	"fieldvale/lease"
	"fieldvale/peer"
	"fieldvale/rollout"
	"fieldvale/route"
)

// State is safe for concurrent use.
type State struct {
	mu       sync.Mutex
	view     *entry.CurrentView
	lease    *lease.Lease
	clock    func() time.Time
	log      func(event string, fields ...any)
	table    *route.Table
	replicas *discovery.Set
	// evacuated are the data centres whose replicas get nothing. An order stands
	// until it is known to be taken back, also while the store can't be reached:
	// that leaves room unused, and the other way breaks the operator's word.
	evacuated map[string]bool
	releases  map[string]*release
	members   map[string]peer.Member
	// lapsed are the members whose announcement is over, until when they are
	// kept all the same.
	lapsed map[string]time.Time
	start  *start
	lost   bool
	// unconfirmed says that the configuration's lease has run out.
	unconfirmed bool
	// onMembers is told of each change of the fleet.
	onMembers func([]peer.Member)
}

// New returns an empty state that puts what it knows into v.
// onMembers is told of each change of the fleet.
func New(v *entry.CurrentView, l *lease.Lease, clock func() time.Time, log func(event string, fields ...any), onMembers func([]peer.Member)) *State {
	return &State{view: v, lease: l, clock: clock, log: log, replicas: discovery.NewSet(), evacuated: map[string]bool{}, releases: map[string]*release{}, members: map[string]peer.Member{}, lapsed: map[string]time.Time{}, start: newStart(), onMembers: onMembers}
}

// Apply takes news in.
func (s *State) Apply(c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if c.Table != nil && c.Table.Newer(s.table) {
		s.table = c.Table
		s.log("config_in_force", "version", c.Table.Version, "routes", c.Table.Routes())
	}
	s.applyReplicas(c, now)
	s.applyEvacuations(c, now)
	s.applyMembers(c, now)
	for _, o := range c.Orders {
		s.order(o, now)
	}
	for _, r := range c.Records {
		s.record(r, now)
	}
	s.publish()
}

// applyReplicas takes the replicas' changes in.
func (s *State) applyReplicas(c Change, now time.Time) {
	for _, r := range c.Replicas {
		was, known := s.replicas.Put(r)
		s.logReplica(r, was, known, now)
	}
	for _, name := range c.UnusableReplicas {
		s.replicas.Drop(name)
	}
	for _, id := range c.RemovedReplicas {
		s.replicas.Remove(id, now)
		s.log("replica_entry_gone", "replica", id)
	}
	if c.AllReplicas != nil {
		s.replicas.Retain(c.AllReplicas, now)
	}
	s.settle(now)
}

// lapsedFor is how long a member whose announcement is over is kept: as long as
// one that lives takes to announce itself again, which it finds out when it
// renews it. Announcements lapse for all at once while the store is away; with
// an empty list all instances would ask the store, and nobody one another. One
// that has ended is passed over as it is silent.
const lapsedFor = 10 * time.Second

// applyMembers takes the fleet's changes in.
func (s *State) applyMembers(c Change, now time.Time) {
	if len(c.Members)+len(c.LeftMembers) == 0 && c.AllReplicas == nil {
		return
	}
	if c.AllReplicas != nil {
		for id := range s.members {
			s.lapse(id, now)
		}
	}
	for _, m := range c.Members {
		s.members[m.ID] = m
		delete(s.lapsed, m.ID)
	}
	for _, id := range c.LeftMembers {
		s.lapse(id, now)
	}
	s.onMembers(s.memberList())
}

// lapse notes that the member's announcement is over.
func (s *State) lapse(id string, now time.Time) {
	_, known := s.members[id]
	_, already := s.lapsed[id]
	if known && !already {
		s.lapsed[id] = now.Add(lapsedFor)
	}
}

// dropLapsed drops the members that were kept for long enough, and reports
// whether there were any.
func (s *State) dropLapsed(now time.Time) bool {
	any := false
	for id, until := range s.lapsed {
		if now.Before(until) {
			continue
		}
		delete(s.lapsed, id)
		delete(s.members, id)
		any = true
	}
	if any {
		s.onMembers(s.memberList())
	}
	return any
}

// RegisteredCount returns how many members' announcements stand.
func (s *State) RegisteredCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members) - len(s.lapsed)
}

// memberList returns the instances in the order of their ids.
func (s *State) memberList() []peer.Member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b peer.Member) int { return strings.Compare(a.ID, b.ID) })
}

// settle drops the replicas whose entries did not return with the store, and
// reports whether there were any.
func (s *State) settle(now time.Time) bool {
	gone := s.replicas.Settle(now)
	for _, id := range gone {
		s.log("replica_gone", "replica", id, "reason", "its entry did not return with the store")
	}
	return len(gone) > 0
}

// publish puts what is known in force.
func (s *State) publish() {
	m := map[string]rollout.Release{}
	for k, r := range s.releases {
		if r.order.Order > 0 {
			m[k] = r.current()
		}
	}
	s.view.Put(entry.NewViewOf(nil, s.serving(), s.memberList(), nil).WithRoutes(s.table, m))
}

// Tick does what is due by the time alone.
func (s *State) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	settled, dropped := s.settle(now), s.dropLapsed(now)
	if settled || dropped {
		s.publish()
	}
	s.checkLease(now)
}

// checkLease logs when the configuration's lease has run out and when it is
// confirmed again.
func (s *State) checkLease(now time.Time) {
	if s.table == nil || s.unconfirmed != s.lease.Fresh(now, 1) {
		return
	}
	s.unconfirmed = !s.unconfirmed
	a, _ := s.lease.Age(now)
	if s.unconfirmed {
		s.log("config_unconfirmed", "version", s.table.Version, "age", a, "keys_honoured", s.lease.AllowsKeys(now))
		return
	}
	s.log("config_confirmed", "version", s.table.Version, "age", a)
}

// Confirm says that nothing newer than what was applied existed at asOf.
func (s *State) Confirm(asOf time.Time) {
	s.lease.Confirm(asOf)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmStart()
}

// StoreDisconnected says that the store is not reached.
func (s *State) StoreDisconnected(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lost {
		close(s.start.lost)
	}
	s.lost = true
	s.replicas.Away()
	a, _ := s.lease.Age(s.clock())
	s.log("store_lost", "error", err, "confirmed_ago", a)
}

// StoreReconnected says that it is reached again.
func (s *State) StoreReconnected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		s.start.lost = make(chan struct{})
	}
	s.lost = false
	now := s.clock()
	s.replicas.Back(now)
	a, _ := s.lease.Age(now)
	s.log("store_back", "confirmed_ago", a)
}

// freshPart of the lease may be used up at an instance that is ready. New
// connections go elsewhere before keys can't be honoured here: the platform
// takes two seconds to notice.
const freshPart = 0.6

// Ready reports whether requests can be answered: there is a configuration
// that was confirmed a short while ago, and a replica.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.replicas.Len() > 0 && s.lease.Fresh(s.clock(), freshPart)
}
