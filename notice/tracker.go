package notice

import (
	"fmt"
	"iter"
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Log writes an event with its fields, given as pairs of name and value.
type Log func(event string, fields ...any)

// ReplicaStates maps replica ids to states. Each incarnation of a replica has an id of its own.
type ReplicaStates map[string]ReplicaState

// Tracker keeps the states of all replicas. It is safe for concurrent use. A nil Tracker has no
// states, so that every replica is available.
type Tracker struct {
	mu sync.Mutex
	// states is replaced as a whole on each change, because every choice among thousands of
	// replicas reads it without a lock.
	states        atomic.Pointer[ReplicaStates]
	clock         func() time.Time
	lastResortFor time.Duration
	log           Log
	nextSweep     time.Time
	// nextInvalidLog is the earliest time for the next log line about an invalid header.
	nextInvalidLog time.Time
}

// lastResortPart is the fraction of the drain time during which a draining replica may still get
// requests as the last resort. The rest of the drain time is left for these requests to complete.
const lastResortPart = 0.5

// NewTracker returns a tracker without states. drainFor is how long a replica keeps serving after
// it reports that it is draining.
func NewTracker(clock func() time.Time, drainFor time.Duration, log Log) *Tracker {
	t := &Tracker{clock: clock, lastResortFor: time.Duration(lastResortPart * float64(drainFor)), log: log}
	t.states.Store(&ReplicaStates{})
	return t
}

// States returns the current states. The caller must not change the map.
func (t *Tracker) States() ReplicaStates {
	if t == nil {
		return nil
	}
	return *t.states.Load()
}

// Availability returns whether the replica may get a request now.
func (t *Tracker) Availability(replica string, now time.Time) Availability {
	s, ok := t.States()[replica]
	if !ok {
		return Available
	}
	return s.Availability(now, t.lastResortFor)
}

// IsBackingOff reports whether the replica wants no request now.
func (t *Tracker) IsBackingOff(replica string, now time.Time) bool {
	return t.Availability(replica, now) == BackingOff
}

// AdmitRequest reports whether a request may be sent to the replica now, and records it as sent if
// so. Callers check it last before each send, so that reports received since the replica was chosen
// are respected.
func (t *Tracker) AdmitRequest(replica string, now time.Time) bool {
	if len(t.States()) == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.States()[replica]
	allowed := before.Availability(now, t.lastResortFor).IsUsable()
	if after := before.WithTrial(now); allowed && after != before {
		t.put(replica, after)
	}
	return allowed
}

// put replaces the state of the replica. The caller holds t.mu.
func (t *Tracker) put(replica string, s ReplicaState) {
	m := maps.Clone(t.States())
	m[replica] = s
	if s.isEmpty() {
		delete(m, replica)
	}
	t.states.Store(&m)
}

// BackoffEndsAt returns the earliest time at which one of the replicas accepts requests again. It
// returns zero if one accepts requests now, or if all of them are draining. Draining replicas are
// ignored.
func (t *Tracker) BackoffEndsAt(replicas iter.Seq[string], now time.Time) time.Time {
	var first time.Time
	m := t.States()
	if len(m) == 0 {
		return first
	}
	for r := range replicas {
		s := m[r]
		switch {
		case s.IsDraining():
		case !s.IsBackingOff(now):
			return time.Time{}
		case first.IsZero() || s.BackoffUntil.Before(first):
			first = s.BackoffUntil
		}
	}
	return first
}

// ExclusionSummary returns how many of the replicas are draining and how many are backing off, for
// log lines; empty if none is.
func (t *Tracker) ExclusionSummary(replicas iter.Seq[string], now time.Time) string {
	m := t.States()
	if len(m) == 0 {
		return ""
	}
	draining, backingOff := 0, 0
	for r := range replicas {
		switch s := m[r]; {
		case s.IsDraining():
			draining++
		case s.Availability(now, t.lastResortFor) == BackingOff:
			backingOff++
		}
	}
	if draining+backingOff == 0 {
		return ""
	}
	return fmt.Sprintf("%d leave, %d rest", draining, backingOff)
}

// Observe updates the state of a replica by a notice. A notice that reports neither draining nor a
// backoff creates no state.
func (t *Tracker) Observe(n Notice) {
	before, after := t.update(n)
	if after.IsDraining() && !before.IsDraining() {
		t.log("replica_says_leaving", "replica", n.Replica, "service", n.Service, "request", n.Request)
	}
	if after.IsBackingOff(n.ReceivedAt) && !before.IsBackingOff(n.ReceivedAt) {
		t.log("replica_asks_rest", "replica", n.Replica, "service", n.Service, "request", n.Request, "for", after.BackoffUntil.Sub(n.ReceivedAt), "again", !before.BackoffUntil.IsZero())
	}
	if after.BackoffUntil.IsZero() && !before.BackoffUntil.IsZero() {
		t.log("replica_rested", "replica", n.Replica, "service", n.Service, "request", n.Request, "ended_ago", n.ReceivedAt.Sub(before.BackoffUntil))
	}
}

// update applies a notice, and returns the states before and after it.
func (t *Tracker) update(n Notice) (before, after ReplicaState) {
	if t.States()[n.Replica].isEmpty() && (ReplicaState{}).WithNotice(n).isEmpty() {
		return before, after
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.States()[n.Replica]
	after = before.WithNotice(n)
	t.put(n.Replica, after)
	return before, after
}

// Counts returns how many replicas are draining and how many requested a backoff that has not
// ended.
func (t *Tracker) Counts() (draining, backingOff int) {
	now := t.clock()
	for _, s := range t.States() {
		if s.IsDraining() {
			draining++
		}
		if s.IsBackingOff(now) {
			backingOff++
		}
	}
	return draining, backingOff
}

const (
	// sweepInterval is the minimum time between two sweeps.
	sweepInterval = 10 * time.Second
	// unlistedTTL is how long the state of an unlisted replica is kept after its last response. The
	// replica's entry may only have expired while the platform's store was unavailable.
	unlistedTTL = 10 * time.Minute
)

// Sweep deletes the states of replicas that are not listed and sent no response within unlistedTTL.
// It runs at most once per sweepInterval.
func (t *Tracker) Sweep(listed iter.Seq[string]) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.nextSweep) || len(t.States()) == 0 {
		return
	}
	t.nextSweep = now.Add(sweepInterval)
	m := maps.Clone(t.States())
	maps.DeleteFunc(m, func(_ string, s ReplicaState) bool { return now.Sub(s.LastReceivedAt) >= unlistedTTL })
	for r := range listed {
		if s, ok := t.States()[r]; ok {
			m[r] = s
		}
	}
	t.states.Store(&m)
}

// invalidLogInterval is the minimum time between two log lines about invalid headers.
const invalidLogInterval = time.Second

// LogInvalidHeader logs that a header in a response of the replica could not be parsed. Log lines are
// limited to one per invalidLogInterval.
func (t *Tracker) LogInvalidHeader(replica, header string, err error) {
	now := t.clock()
	t.mu.Lock()
	due := !now.Before(t.nextInvalidLog)
	if due {
		t.nextInvalidLog = now.Add(invalidLogInterval)
	}
	t.mu.Unlock()
	if due {
		t.log("answer_header_unreadable", "replica", replica, "header", header, "error", err)
	}
}
