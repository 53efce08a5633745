// Package state holds the configuration, replicas, releases and members that an instance
// has received, and publishes them to the router. It never goes back to an older
// configuration.
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

// State is the state of one instance. It is safe for concurrent use.
type State struct {
	mu       sync.Mutex
	view     *entry.CurrentView
	lease    *lease.Lease
	clock    func() time.Time
	log      func(event string, fields ...any)
	table    *route.Table
	replicas *discovery.Set
	// evacuated are the data centres whose replicas get no requests. An order to evacuate
	// stands until its withdrawal is received, also while the store can't be reached:
	// keeping it leaves capacity unused, while dropping it would violate the order.
	evacuated map[string]bool
	releases  map[string]*release
	members   map[string]peer.Member
	// expired are the members whose registration was deleted or has expired, and until when
	// they are kept nevertheless.
	expired map[string]time.Time
	// fleetSize is the recorded number of instances.
	fleetSize   FleetSize
	firstConfig *firstConfig
	// disconnected is set while the store can't be reached.
	disconnected bool
	// isUnconfirmed is set while the configuration's lease has expired.
	isUnconfirmed bool
	// onMembers is called with all members after each change.
	onMembers func([]peer.Member)
}

// New returns an empty state that publishes to v and calls onMembers with all members
// after each change of them.
func New(v *entry.CurrentView, l *lease.Lease, clock func() time.Time, log func(event string, fields ...any), onMembers func([]peer.Member)) *State {
	return &State{view: v, lease: l, clock: clock, log: log, replicas: discovery.NewSet(), evacuated: map[string]bool{}, releases: map[string]*release{}, members: map[string]peer.Member{}, expired: map[string]time.Time{}, firstConfig: newFirstConfig(), onMembers: onMembers}
}

// Apply applies a change and publishes the result.
func (s *State) Apply(c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if c.Table != nil && c.Table.IsNewer(s.table) {
		s.table = c.Table
		s.log("config_in_force", "version", c.Table.Version, "routes", c.Table.RouteCount())
	}
	s.applyReplicas(c, now)
	s.applyEvacuations(c, now)
	s.applyMembers(c, now)
	if c.FleetSize.Version > s.fleetSize.Version {
		s.fleetSize = c.FleetSize
	}
	for _, o := range c.Orders {
		s.applyOrder(o, now)
	}
	for _, r := range c.Records {
		s.applyRecord(r, now)
	}
	s.publish()
}

// applyReplicas applies the changes of replicas.
func (s *State) applyReplicas(c Change, now time.Time) {
	for _, r := range c.Replicas {
		previous, exists := s.replicas.Put(r)
		s.logReplica(r, previous, exists, now)
	}
	for _, name := range c.UnusableReplicas {
		s.replicas.Drop(name)
	}
	for _, id := range c.RemovedReplicas {
		s.replicas.Remove(id, now)
		s.log("replica_entry_gone", "replica", id)
	}
	if c.AllReplicas != nil {
		s.replicas.RemoveAllExcept(c.AllReplicas, now)
	}
	s.dropMissing(now)
}

// expiredGrace is how long a member is kept after its registration has expired: as long as
// a running instance takes to register again, which it does when it fails to renew the
// registration. Registrations of all members expire while the store is down; without
// members, all instances would ask the store instead of one another. A member that has
// ended is avoided, as it does not answer.
const expiredGrace = 10 * time.Second

// applyMembers applies the changes of members.
func (s *State) applyMembers(c Change, now time.Time) {
	if len(c.Members)+len(c.LeftMembers) == 0 && c.AllReplicas == nil {
		return
	}
	if c.AllReplicas != nil {
		for id := range s.members {
			s.expireMember(id, now)
		}
	}
	for _, m := range c.Members {
		s.members[m.ID] = m
		delete(s.expired, m.ID)
	}
	for _, id := range c.LeftMembers {
		s.expireMember(id, now)
	}
	s.onMembers(s.memberList())
}

// expireMember marks a member as expired.
func (s *State) expireMember(id string, now time.Time) {
	_, exists := s.members[id]
	_, already := s.expired[id]
	if exists && !already {
		s.expired[id] = now.Add(expiredGrace)
	}
}

// dropExpired drops the members whose grace period has passed, and reports whether there
// were any.
func (s *State) dropExpired(now time.Time) bool {
	dropped := false
	for id, until := range s.expired {
		if now.Before(until) {
			continue
		}
		delete(s.expired, id)
		delete(s.members, id)
		dropped = true
	}
	if dropped {
		s.onMembers(s.memberList())
	}
	return dropped
}

// RegisteredCount returns the number of members whose registration has not expired.
func (s *State) RegisteredCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members) - len(s.expired)
}

// RecordedFleetSize returns the number of instances that is recorded in the store; its zero value if
// there is none.
func (s *State) RecordedFleetSize() FleetSize {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleetSize
}

// memberList returns the members in the order of their ids.
func (s *State) memberList() []peer.Member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b peer.Member) int { return strings.Compare(a.ID, b.ID) })
}

// dropMissing drops the replicas whose entries were not restored after the store was back,
// and reports whether there were any.
func (s *State) dropMissing(now time.Time) bool {
	missing := s.replicas.RemoveMissing(now)
	for _, id := range missing {
		s.log("replica_gone", "replica", id, "reason", "its entry did not return with the store")
	}
	return len(missing) > 0
}

// publish puts the current state in force at the router.
func (s *State) publish() {
	m := map[string]rollout.Release{}
	for k, r := range s.releases {
		if r.order.Order > 0 {
			m[k] = r.current()
		}
	}
	s.view.Put(entry.NewViewOf(nil, s.eligibleReplicas(), s.memberList(), nil).WithRoutes(s.table, m))
}

// Tick does what is due as time passes. It has to be called regularly.
func (s *State) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	settled, dropped := s.dropMissing(now), s.dropExpired(now)
	if settled || dropped {
		s.publish()
	}
	s.checkLease(now)
}

// checkLease logs when the configuration's lease expires and when the configuration is
// confirmed again.
func (s *State) checkLease(now time.Time) {
	if s.table == nil || s.isUnconfirmed != s.lease.Fresh(now, 1) {
		return
	}
	s.isUnconfirmed = !s.isUnconfirmed
	a, _ := s.lease.Age(now)
	if s.isUnconfirmed {
		s.log("config_unconfirmed", "version", s.table.Version, "age", a, "keys_honoured", s.lease.AllowsKeys(now))
		return
	}
	s.log("config_confirmed", "version", s.table.Version, "age", a)
}

// Confirm records that the applied state was the newest of the store at asOf.
func (s *State) Confirm(asOf time.Time) {
	s.lease.Confirm(asOf)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signalFirstConfig()
}

// StoreDisconnected records that the store can't be reached.
func (s *State) StoreDisconnected(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.disconnected {
		close(s.firstConfig.disconnected)
	}
	s.disconnected = true
	s.replicas.StoreLost()
	a, _ := s.lease.Age(s.clock())
	s.log("store_lost", "error", err, "confirmed_ago", a)
}

// StoreReconnected records that the store is reached again.
func (s *State) StoreReconnected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disconnected {
		s.firstConfig.disconnected = make(chan struct{})
	}
	s.disconnected = false
	now := s.clock()
	s.replicas.StoreRestored(now)
	a, _ := s.lease.Age(now)
	s.log("store_back", "confirmed_ago", a)
}

// readyLeasePart is the part of the lease up to which an instance is ready. New
// connections have to go to other instances before keys can't be honoured at this one, and
// the platform takes two seconds to notice.
const readyLeasePart = 0.6

// Ready reports whether requests can be answered: there are a replica and a configuration
// that was confirmed recently.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table != nil && s.replicas.Len() > 0 && s.lease.Fresh(s.clock(), readyLeasePart)
}
