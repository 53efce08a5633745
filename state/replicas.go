package state

import (
	"maps"
	"slices"
	"time"

	"fieldvale/pool"
)

// coldReportDelay is how long after a replica has turned cold its own report of that may
// take to arrive: the second or so between two of its writes, and the seconds until a
// change of the store is in force at all instances.
const coldReportDelay = 3 * time.Second

// applyEvacuations applies the changes of evacuated data centres. The replicas of restored
// data centres are assumed to be cold until they have reported otherwise: they turn cold
// when the evacuation ends or shortly before it began, and report it late.
func (s *State) applyEvacuations(c Change, now time.Time) {
	ended := c.Restored
	if c.AllReplicas != nil {
		ended = slices.Collect(maps.Keys(s.evacuated))
	}
	for _, dc := range ended {
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

// coldFor returns how long a replica that may just have turned cold is assumed to be cold;
// 0 if the replicas of its service don't turn cold.
func (s *State) coldFor(r pool.Replica) time.Duration {
	if v := s.table.Service(r.Service); v.ColdPerSecond > 0 {
		return v.ColdPeriod + coldReportDelay
	}
	return 0
}

// ColdCount returns the number of cold replicas.
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

// EvacuatedCount returns the number of evacuated data centres.
func (s *State) EvacuatedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.evacuated)
}

// eligibleReplicas returns the replicas outside evacuated data centres.
func (s *State) eligibleReplicas() []*pool.Replica {
	l := s.replicas.Replicas()
	if len(s.evacuated) == 0 {
		return l
	}
	return slices.DeleteFunc(l, func(r *pool.Replica) bool { return s.evacuated[r.DataCentre] })
}

// logReplica logs how a replica's entry changed.
func (s *State) logReplica(r, previous pool.Replica, exists bool, now time.Time) {
	if exists && previous.ID != r.ID {
		s.log("replica_restarted", "replica", r.ID, "before", previous.ID, "service", r.Service)
	}
	if r.Draining && !previous.Draining {
		s.log("replica_leaving", "replica", r.ID, "service", r.Service)
	}
	if r.IsCold(now) && !previous.IsCold(now) {
		s.log("replica_cold", "replica", r.ID, "service", r.Service, "left", r.ColdUntil.Sub(now), "source", "entry")
	}
	if exists && previous.ID == r.ID && previous.IsCold(now) && !r.IsCold(now) {
		s.log("replica_warm", "replica", r.ID, "service", r.Service, "source", "entry")
	}
}
