package state

import (
	"time"

	"fieldvale/rollout"
)

// release is one service's release as this instance knows it.
type release struct {
	order  rollout.Release
	record Record
	// since is when this instance learnt of the phase.
	since time.Time
}

// current is the release with its record's progress.
func (r *release) current() rollout.Release {
	c := r.order
	if p := r.record.Release; p.Order == c.Order {
		c.Phase, c.State = p.Phase, p.State
	}
	return c
}

// isRunning reports whether the release was ordered and has not ended.
func (r *release) isRunning() bool {
	return r.order.Order > 0 && r.current().State == rollout.Running
}

// due returns what is to be recorded of a running release, and whether that
// is so by now.
func (r *release) due(now time.Time) (Record, bool) {
	c := r.current()
	lasted := now.Sub(r.since)
	if r.record.Release.Order != r.order.Order {
		return Record{Release: c, Version: r.record.Version}, lasted >= 0
	}
	return Record{Release: c.Next(), Version: r.record.Version}, lasted >= c.PhaseLength()
}

// of returns what is known of the service's release; it may be nothing yet.
func (s *State) of(service string) *release {
	r, ok := s.releases[service]
	if !ok {
		r = &release{}
		s.releases[service] = r
	}
	return r
}

// order takes the operator's order in, if it is newer.
func (s *State) order(o rollout.Release, now time.Time) {
	r := s.of(o.Service)
	if o.Order <= r.order.Order {
		return
	}
	r.order, r.since = o, now
	s.log("release_ordered", "service", o.Service, "release", o.Target, "order", o.Order, "length", o.Length)
}

// record takes a release's progress in, if it is newer.
func (s *State) record(n Record, now time.Time) {
	r := s.of(n.Release.Service)
	if n.Version <= r.record.Version {
		return
	}
	r.record, r.since = n, now
	s.log("release_progress", "service", n.Release.Service, "release", n.Release.Target, "order", n.Release.Order, "phase", n.Release.Phase, "state", n.Release.State)
}

// Due returns the releases of which something is to be recorded by now: those
// that no record tells of yet, and those whose phase has lasted, each one
// phase further. turn is how much longer this instance waits for each service.
func (s *State) Due(now time.Time, turn func(service string) time.Duration) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return nil
	}
	var l []Record
	for service, r := range s.releases {
		if !r.isRunning() {
			continue
		}
		if n, ok := r.due(now.Add(-turn(service))); ok {
			l = append(l, n)
		}
	}
	return l
}

// Tripped returns the record that stops the release, if it still runs.
func (s *State) Tripped(rel rollout.Release) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.releases[rel.Service]
	if !ok || r.order.Order != rel.Order || r.current().State != rollout.Running {
		return Record{}, false
	}
	return Record{Release: r.current().WithState(rollout.Tripped), Version: r.record.Version}, true
}
