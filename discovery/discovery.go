// Package discovery keeps the set of replicas to which an instance may send
// requests. A replica registers itself by an entry in the store. Entries expire
// while the store is unreachable, so that an entry that is missing shortly after
// the store has returned may only not have been registered again yet.
package discovery

import (
	"maps"
	"slices"
	"time"

	"fieldvale/pool"
)

// ReregisterWithin is how long after the store has returned the entry of a running
// replica may still be missing. The platform states about two seconds.
const ReregisterWithin = 2200 * time.Millisecond

// Set is a set of replicas by the name that the platform uses for them. It is not
// safe for concurrent use.
type Set struct {
	// replicas are shared with callers of Replicas. They are replaced, never
	// modified.
	replicas map[string]*pool.Replica
	// names are the sorted names of replicas, or nil if they must be sorted again.
	names []string
	// assumedCold are the replicas that are assumed to be cold although their entries
	// don't report it.
	assumedCold map[string]bool
	// missing are the replicas whose entry disappeared while the store was
	// unreachable or during the grace period after it.
	missing map[string]bool
	// graceUntil is the end of the grace period in which a missing entry does not
	// mean that the replica has stopped. While the store is unreachable, the
	// period has no end.
	graceUntil time.Time
	storeLost  bool
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{replicas: map[string]*pool.Replica{}, assumedCold: map[string]bool{}, missing: map[string]bool{}}
}

// Put adds a replica or replaces it by its newer entry. It returns the replica's
// previous state, if it was in the set. A replica that is assumed to be cold
// remains so until one of its entries reports that it is, or it has a new id: an
// entry that reports it warm may be older than the event that made it cold.
func (s *Set) Put(r pool.Replica) (was pool.Replica, known bool) {
	name := r.PlatformName()
	p, known := s.replicas[name]
	if known {
		was = *p
	} else {
		s.names = nil
	}
	switch {
	case !r.ColdUntil.IsZero() || was.ID != r.ID:
		delete(s.assumedCold, name)
	case s.assumedCold[name]:
		r.ColdUntil = was.ColdUntil
	}
	s.replicas[name] = &r
	delete(s.missing, name)
	return was, known
}

// AssumeCold marks the replicas of the data centre as cold, each for the duration
// that cold returns for it, unless it is already cold for longer. It returns how
// many it marked.
func (s *Set) AssumeCold(dataCentre string, now time.Time, cold func(pool.Replica) time.Duration) int {
	n := 0
	for name, r := range s.replicas {
		until := now.Add(cold(*r))
		if r.DataCentre != dataCentre || !until.After(now) || !until.After(r.ColdUntil) {
			continue
		}
		c := r.WithColdUntil(until)
		s.replicas[name] = &c
		s.assumedCold[name] = true
		n++
	}
	return n
}

// Remove removes a replica whose entry disappeared at now. During the grace period
// a replica that is not draining is kept, because its entry may be registered
// again.
func (s *Set) Remove(name string, now time.Time) {
	r, ok := s.replicas[name]
	if !ok {
		return
	}
	if s.inGracePeriod(now) && !r.Draining {
		s.missing[name] = true
		return
	}
	s.Drop(name)
}

// Drop removes a replica at once.
func (s *Set) Drop(name string) {
	delete(s.replicas, name)
	delete(s.assumedCold, name)
	delete(s.missing, name)
	s.names = nil
}

// RemoveAllExcept calls Remove for all replicas except those with the given names.
func (s *Set) RemoveAllExcept(names map[string]bool, now time.Time) {
	for name := range s.replicas {
		if !names[name] {
			s.Remove(name, now)
		}
	}
}

// StoreLost starts a grace period without an end, because the store is unreachable.
func (s *Set) StoreLost() { s.storeLost = true }

// StoreRestored limits the grace period, because the store is reachable again.
func (s *Set) StoreRestored(now time.Time) {
	s.storeLost = false
	s.graceUntil = now.Add(ReregisterWithin)
}

// inGracePeriod reports whether a missing entry at now does not mean that the
// replica has stopped.
func (s *Set) inGracePeriod(now time.Time) bool {
	return s.storeLost || now.Before(s.graceUntil)
}

// RemoveMissing removes the replicas that are still missing after the grace period and
// returns their names.
func (s *Set) RemoveMissing(now time.Time) []string {
	if len(s.missing) == 0 || s.inGracePeriod(now) {
		return nil
	}
	gone := slices.Collect(maps.Keys(s.missing))
	for _, name := range gone {
		s.Drop(name)
	}
	return gone
}

// Len returns the number of replicas.
func (s *Set) Len() int { return len(s.replicas) }

// Replicas returns the replicas sorted by name. They must not be modified.
func (s *Set) Replicas() []*pool.Replica {
	if s.names == nil {
		s.names = slices.Sorted(maps.Keys(s.replicas))
	}
	l := make([]*pool.Replica, len(s.names))
	for i, name := range s.names {
		l[i] = s.replicas[name]
	}
	return l
}
