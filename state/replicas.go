package state

import (
	"maps"
	"slices"
	"time"

	"fieldvale/pool"
)

// coldWordWithin is how long after a replica has turned cold its own word of that may
// take to arrive: the second or so between its writes, and the seconds in which a
// change of the store is in force everywhere.
const coldWordWithin = 3 * time.Second

// applyEvacuations takes in which data centres are to be emptied. Those that are
// given back are taken to be cold until their replicas have said otherwise: they
// turn cold when it is over or shortly before it began, and say so late.
func (s *State) applyEvacuations(c Change, now time.Time) {
	over := c.Restored
	if c.AllReplicas != nil {
		over = slices.Collect(maps.Keys(s.evacuated))
	}
	for _, dc := range over {
		if s.evacuated[dc] && !slices.Contains(c.Evacuated, dc) {
			delete(s.evacuated, dc)
			n := s.replicas.AssumeCold(dc, now, s.coldFor)
			s.log("data_centre_restored", "data_centre", dc, "assumed_cold", n)
		}
	}
	for _, dc := range c.Evacuated {
		if !s.evacuated[dc] {
			s.evacuated[dc] = true
			s.log("data_centre_evacuated", "data_centre", dc)
		}
	}
}

// coldFor is how long the replica is taken to be cold that may have turned so just
// now; 0 where its service's replicas don't.
func (s *State) coldFor(r pool.Replica) time.Duration {
	if v := s.table.Service(r.Service); v.ColdPerSecond > 0 {
		return v.ColdFor + coldWordWithin
	}
	return 0
}

// ColdCount returns how many replicas count as cold.
func (s *State) ColdCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, now := 0, s.clock()
	for _, r := range s.replicas.Replicas() {
		if r.IsCold(now) {
			n++
		}
	}
	return n
}

// EvacuatedCount returns how many data centres are to be emptied.
func (s *State) EvacuatedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.evacuated)
}

// serving are the replicas that may get requests by where they are.
func (s *State) serving() []*pool.Replica {
	l := s.replicas.Replicas()
	if len(s.evacuated) == 0 {
		return l
	}
	return slices.DeleteFunc(l, func(r *pool.Replica) bool { return s.evacuated[r.DataCentre] })
}

// logReplica logs what a replica's entry changes of what is believed of it.
func (s *State) logReplica(r, was pool.Replica, known bool, now time.Time) {
	if known && was.ID != r.ID {
		s.log("replica_restarted", "replica", r.ID, "before", was.ID, "service", r.Service)
	}
	if r.Draining && !was.Draining {
		s.log("replica_leaving", "replica", r.ID, "service", r.Service)
	}
	if r.IsCold(now) && !was.IsCold(now) {
		s.log("replica_cold", "replica", r.ID, "service", r.Service, "left", r.ColdUntil.Sub(now), "source", "entry")
	}
	if known && was.ID == r.ID && was.IsCold(now) && !r.IsCold(now) {
		s.log("replica_warm", "replica", r.ID, "service", r.Service, "source", "entry")
	}
}
