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

// Set is the replicas known, by the platform's name. It is not safe for concurrent
// use.
type Set struct {
	// replicas are shared with the views made of them, and replaced, never changed.
	replicas map[string]*pool.Replica
	// names are those of replicas in their order; nil if they have to be sorted
	// again.
	names []string
	// assumed are the replicas taken to be cold without their word for it.
	assumed map[string]bool
	// missing are replicas whose entry went while that proves nothing.
	missing map[string]bool
	// doubtUntil is when a missing entry means again that the replica went;
	// doubting lasts without an end while the store is away.
	doubtUntil time.Time
	away       bool
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{replicas: map[string]*pool.Replica{}, assumed: map[string]bool{}, missing: map[string]bool{}}
}

// Put adds a replica or takes its newer entry, and returns the entry before it, if
// there was one. One that is assumed to be cold stays so until it has said itself
// that it was: an entry that says warm may be older than what made it cold.
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
		delete(s.assumed, name)
	case s.assumed[name]:
		r.ColdUntil = was.ColdUntil
	}
	s.replicas[name] = &r
	delete(s.missing, name)
	return was, known
}

// AssumeCold takes the data centre's replicas to be cold for as long as cold says
// of each; it returns how many are.
func (s *Set) AssumeCold(dataCentre string, now time.Time, cold func(pool.Replica) time.Duration) int {
	n := 0
	for name, r := range s.replicas {
		until := now.Add(cold(*r))
		if r.DataCentre != dataCentre || !until.After(now) || !until.After(r.ColdUntil) {
			continue
		}
		c := r.WithColdUntil(until)
		s.replicas[name] = &c
		s.assumed[name] = true
		n++
	}
	return n
}

// Remove takes a replica out whose entry went at now. One that had not said
// that it leaves is kept while its entry may be back soon.
func (s *Set) Remove(name string, now time.Time) {
	r, ok := s.replicas[name]
	if !ok {
		return
	}
	if s.doubts(now) && !r.Draining {
		s.missing[name] = true
		return
	}
	s.Drop(name)
}

// Drop takes a replica out.
func (s *Set) Drop(name string) {
	delete(s.replicas, name)
	delete(s.assumed, name)
	delete(s.missing, name)
	s.names = nil
}

// Retain removes all replicas but those with the given names.
func (s *Set) Retain(names map[string]bool, now time.Time) {
	for name := range s.replicas {
		if !names[name] {
			s.Remove(name, now)
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
// and returns their names.
func (s *Set) Settle(now time.Time) []string {
	if len(s.missing) == 0 || s.doubts(now) {
		return nil
	}
	gone := slices.Collect(maps.Keys(s.missing))
	for _, name := range gone {
		s.Drop(name)
	}
	return gone
}

// Len returns how many replicas there are.
func (s *Set) Len() int { return len(s.replicas) }

// Replicas returns the replicas in the order of their names. They must not be changed.
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
