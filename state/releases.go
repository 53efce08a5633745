package state

import (
	"time"

	"fieldvale/rollout"
)

// release is the state of one service's release.
type release struct {
	order  rollout.Release
	record Record
	// orderedAt is when this instance received the order, recordedAt when it received the
	// record, and phaseSince when the record's phase or state last changed.
	orderedAt, recordedAt, phaseSince time.Time
}

// current returns the ordered release with the progress of its record. An order without a
// record has not begun: an instance that starts may read it before its record.
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

// minRuntime returns for how long the release has run at least.
func (r *release) minRuntime(now time.Time) time.Duration {
	d := now.Sub(r.orderedAt)
	if r.record.Release.Order == r.order.Order {
		d = max(d, r.record.Release.Elapsed+now.Sub(r.recordedAt))
	}
	return d
}

// isRunning reports whether the release was ordered and has not ended.
func (r *release) isRunning() bool {
	return r.order.Order > 0 && r.current().State == rollout.Running
}

// runtimeRecordPart is the part of a release's length after which the time that it has run
// is recorded again. At most that much of it is lost when all instances are lost.
const runtimeRecordPart = 1.0 / 32

// dueRecord returns the record to write for a running release, and whether it is due at
// now. The wait is what this instance leaves the instances ranked before it to write it.
func (r *release) dueRecord(now time.Time, wait time.Duration, s rollout.Concerns) (Record, bool) {
	c := r.current()
	elapsed, phaseElapsed := r.minRuntime(now)-wait, now.Sub(r.phaseSince)-wait
	if r.record.Release.Order != r.order.Order {
		return r.nextRecord(c.WithNextPhase(), elapsed), elapsed >= 0
	}
	if c.IsNextPhaseDue(elapsed, phaseElapsed, s) {
		return r.nextRecord(c.WithNextPhase(), elapsed), true
	}
	return r.nextRecord(c, elapsed), elapsed-c.Elapsed >= time.Duration(runtimeRecordPart*float64(c.Length))
}

// nextRecord returns a record that replaces the current one.
func (r *release) nextRecord(c rollout.Release, elapsed time.Duration) Record {
	c.Elapsed = max(c.Elapsed, elapsed)
	return Record{Release: c, Version: r.record.Version}
}

// releaseFor returns the state of the service's release, which is empty if there is none.
func (s *State) releaseFor(service string) *release {
	r, ok := s.releases[service]
	if !ok {
		r = &release{}
		s.releases[service] = r
	}
	return r
}

// applyOrder applies an operator's order if it is newer than the current one.
func (s *State) applyOrder(o rollout.Release, now time.Time) {
	r := s.releaseFor(o.Service)
	if o.Order <= r.order.Order {
		return
	}
	r.order, r.orderedAt = o, now
	s.log("release_ordered", "service", o.Service, "release", o.Target, "order", o.Order, "length", o.Length)
}

// applyRecord applies a recorded progress if it is newer than the current one.
func (s *State) applyRecord(n Record, now time.Time) {
	r := s.releaseFor(n.Release.Service)
	if n.Version <= r.record.Version {
		return
	}
	previous := r.record.Release
	r.record, r.recordedAt = n, now
	if previous.Order != n.Release.Order || previous.Phase != n.Release.Phase || previous.State != n.Release.State {
		r.phaseSince = now
	}
	s.log("release_progress", "service", n.Release.Service, "release", n.Release.Target, "order", n.Release.Order, "phase", n.Release.Phase, "state", n.Release.State)
}

// RecordDelay returns how long this instance leaves other instances to write a record of
// the release that is due, and its concerns about the release.
type RecordDelay func(rel rollout.Release) (wait time.Duration, s rollout.Concerns)

// DueRecords returns the records to write at now: the first record of a release, the next
// phase of a release whose phase has lasted long enough, and the time for which a release
// has run if that was recorded too long ago.
func (s *State) DueRecords(now time.Time, delay RecordDelay) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disconnected {
		return nil
	}
	var l []Record
	for _, r := range s.releases {
		if !r.isRunning() {
			continue
		}
		wait, concerns := delay(r.current())
		if n, ok := r.dueRecord(now, wait, concerns); ok {
			l = append(l, n)
		}
	}
	return l
}

// TripRecord returns the record that stops the release, if it is still running.
func (s *State) TripRecord(rel rollout.Release) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.releases[rel.Service]
	if !ok || r.order.Order != rel.Order || r.current().State != rollout.Running {
		return Record{}, false
	}
	return Record{Release: r.current().WithState(rollout.Tripped), Version: r.record.Version}, true
}
