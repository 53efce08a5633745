// Package discovery keeps the list of replicas that an instance may send
// work to. Replicas' entries lapse by themselves while the store is away; an
// entry that is missing right after its return may only not be back yet.
package discovery

import (
	"maps"
	"slices"
	"time"

	"fieldvale/pool"
)

// ReturnWithin is how long after the store's return a living replica's entry
// may still be missing: the users' platform states about two seconds.
const ReturnWithin = 2200 * time.Millisecond

// Set is the replicas known, by id. It is not safe for concurrent use.
type Set struct {
	replicas map[string]pool.Replica
	// ids are those of replicas in their order; nil if they have to be sorted
	// again.
	ids []string
	// missing are replicas whose entry went while that proves nothing.
	missing map[string]bool
	// doubtUntil is when a missing entry means again that the replica went;
	// doubting lasts without an end while the store is away.
	doubtUntil time.Time
	away       bool
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{replicas: map[string]pool.Replica{}, missing: map[string]bool{}}
}

// Put adds a replica or takes its newer entry.
func (s *Set) Put(r pool.Replica) {
	if _, ok := s.replicas[r.ID]; !ok {
		s.ids = nil
	}
	s.replicas[r.ID] = r
	delete(s.missing, r.ID)
}

// Remove takes a replica out whose entry went at now. One that had not said
// that it leaves is kept while its entry may be back soon.
func (s *Set) Remove(id string, now time.Time) {
	r, ok := s.replicas[id]
	if !ok {
		return
	}
	if s.doubts(now) && !r.Leaving {
		s.missing[id] = true
		return
	}
	s.drop(id)
}

// drop takes a replica out.
func (s *Set) drop(id string) {
	delete(s.replicas, id)
	s.ids = nil
}

// Retain removes all replicas but those with the given ids.
func (s *Set) Retain(ids map[string]bool, now time.Time) {
	for id := range s.replicas {
		if !ids[id] {
			s.Remove(id, now)
		}
	}
}

// Away says that the store is not reached; Back that it is again.
func (s *Set) Away() { s.away = true }

// Back starts the time in which missing entries may return.
func (s *Set) Back(now time.Time) {
	s.away = false
	s.doubtUntil = now.Add(ReturnWithin)
}

// doubts reports whether a missing entry proves nothing at now.
func (s *Set) doubts(now time.Time) bool {
	return s.away || now.Before(s.doubtUntil)
}

// Settle drops the replicas that are still missing once the doubt is over,
// and returns their ids.
func (s *Set) Settle(now time.Time) []string {
	if len(s.missing) == 0 || s.doubts(now) {
		return nil
	}
	gone := slices.Collect(maps.Keys(s.missing))
	for _, id := range gone {
		s.drop(id)
	}
	clear(s.missing)
	return gone
}

// Len returns how many replicas there are.
func (s *Set) Len() int { return len(s.replicas) }

// Replicas returns the replicas in the order of their ids.
func (s *Set) Replicas() []pool.Replica {
	if s.ids == nil {
		s.ids = slices.Sorted(maps.Keys(s.replicas))
	}
	l := make([]pool.Replica, len(s.ids))
	for i, id := range s.ids {
		l[i] = s.replicas[id]
	}
	return l
}
