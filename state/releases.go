package state

import (
	"time"

	"fieldvale/rollout"
)

// release is one service's release as this instance knows it.
type release struct {
	order  rollout.Release
	record Record
	// ordered is when this instance learnt of the order, recorded when of the
	// record, and since when of its phase.
	ordered, recorded, since time.Time
}

// current is the release with its record's progress. An order without a record
// has not begun: an instance that starts may read it before its record.
func (r *release) current() rollout.Release {
	c := r.order
	p := r.record.Release
	switch {
	case p.Order == c.Order:
		c.Phase, c.State, c.Elapsed, c.TrialShare, c.RolledBack = p.Phase, p.State, p.Elapsed, p.TrialShare, p.RolledBack
	case p.State == rollout.Tripped || p.State == rollout.Halted:
		c.RolledBack = p.Target
	default:
		c.RolledBack = p.RolledBack
	}
	if c.RolledBack == c.Target {
		c.RolledBack = ""
	}
	return c
}

// ran is how long the release has run, at least.
func (r *release) ran(now time.Time) time.Duration {
	d := now.Sub(r.ordered)
	if r.record.Release.Order == r.order.Order {
		d = max(d, r.record.Release.Elapsed+now.Sub(r.recorded))
	}
	return d
}

// isRunning reports whether the release was ordered and has not ended.
func (r *release) isRunning() bool {
	return r.order.Order > 0 && r.current().State == rollout.Running
}

// keepEvery is the part of a release's length after which it is recorded anew
// how long it has run: what that is behind when all instances are lost.
const keepEvery = 1.0 / 32

// due returns what is to be recorded of a running release after the wait for
// this instance's turn, and whether that is so by now.
func (r *release) due(now time.Time, wait time.Duration, s rollout.Concerns) (Record, bool) {
	c := r.current()
	ran, lasted := r.ran(now)-wait, now.Sub(r.since)-wait
	if r.record.Release.Order != r.order.Order {
		return r.next(c.WithNextPhase(), ran), ran >= 0
	}
	if c.IsNextPhaseDue(ran, lasted, s) {
		return r.next(c.WithNextPhase(), ran), true
	}
	return r.next(c, ran), ran-c.Elapsed >= time.Duration(keepEvery*float64(c.Length))
}

// next is the record of the release that takes the place of the one known.
func (r *release) next(c rollout.Release, ran time.Duration) Record {
	c.Elapsed = max(c.Elapsed, ran)
	return Record{Release: c, Version: r.record.Version}
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
	r.order, r.ordered = o, now
	s.log("release_ordered", "service", o.Service, "release", o.Target, "order", o.Order, "length", o.Length)
}

// record takes a release's progress in, if it is newer.
func (s *State) record(n Record, now time.Time) {
	r := s.of(n.Release.Service)
	if n.Version <= r.record.Version {
		return
	}
	was := r.record.Release
	r.record, r.recorded = n, now
	if was.Order != n.Release.Order || was.Phase != n.Release.Phase || was.State != n.Release.State {
		r.since = now
	}
	s.log("release_progress", "service", n.Release.Service, "release", n.Release.Target, "order", n.Release.Order, "phase", n.Release.Phase, "state", n.Release.State)
}

// Turn is how long this instance waits for each service's release while others
// may record what is due, and what the release shows.
type Turn func(rel rollout.Release) (wait time.Duration, s rollout.Concerns)

// DueRecords returns the releases of which something is to be recorded by now: those
// that no record tells of yet, those whose phase has lasted, each one phase
// further, and those of which it is recorded too long ago how long they ran.
func (s *State) DueRecords(now time.Time, turn Turn) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return nil
	}
	var l []Record
	for _, r := range s.releases {
		if !r.isRunning() {
			continue
		}
		wait, standing := turn(r.current())
		if n, ok := r.due(now, wait, standing); ok {
			l = append(l, n)
		}
	}
	return l
}

// TripRecord returns the record that stops the release, if it still runs.
func (s *State) TripRecord(rel rollout.Release) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.releases[rel.Service]
	if !ok || r.order.Order != rel.Order || r.current().State != rollout.Running {
		return Record{}, false
	}
	return Record{Release: r.current().WithState(rollout.Tripped), Version: r.record.Version}, true
}
