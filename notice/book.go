package notice

import (
	"fmt"
	"iter"
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Log takes one event with its fields, in pairs of name and value.
type Log func(event string, fields ...any)

// Beliefs are those of replicas by their ids, each of which is one life's.
type Beliefs map[string]Belief

// Tracker keeps the beliefs of all replicas. It is safe for concurrent use. A nil Tracker believes
// nothing.
type Tracker struct {
	mu sync.Mutex
	// m is replaced as a whole: each choice among thousands of replicas reads it.
	m         atomic.Pointer[Beliefs]
	clock     func() time.Time
	servesFor time.Duration
	log       Log
	sweepAt   time.Time
	// complainAt is when the next line on what can't be read may be logged.
	complainAt time.Time
}

// servesPart of the time for which leaving replicas drain is how long they may get requests as
// the last resort; the rest is for what these take.
const servesPart = 0.5

// NewTracker returns a book in which nothing is believed. drainFor is how long after its word a
// replica that leaves serves on.
func NewTracker(clock func() time.Time, drainFor time.Duration, l Log) *Tracker {
	b := &Tracker{clock: clock, servesFor: time.Duration(servesPart * float64(drainFor)), log: l}
	b.m.Store(&Beliefs{})
	return b
}

// States returns what is believed now. It must not be changed.
func (b *Tracker) States() Beliefs {
	if b == nil {
		return nil
	}
	return *b.m.Load()
}

// Availability returns whether the replica may get a request now.
func (b *Tracker) Availability(replica string, now time.Time) Availability {
	x, ok := b.States()[replica]
	if !ok {
		return Available
	}
	return x.Verdict(now, b.servesFor)
}

// IsBackingOff reports whether the replica wants no request now.
func (b *Tracker) IsBackingOff(replica string, now time.Time) bool {
	return b.Availability(replica, now) == Resting
}

// AdmitRequest reports whether the replica may get a request in this moment, and counts that as sent.
// Each send asks it last: what the replica says meanwhile counts.
func (b *Tracker) AdmitRequest(replica string, now time.Time) bool {
	if len(b.States()) == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.States()[replica]
	may := was.Verdict(now, b.servesFor).May()
	if is := was.WithTrial(now); may && is != was {
		b.put(replica, is)
	}
	return may
}

// put replaces the belief of the replica. The caller holds the lock.
func (b *Tracker) put(replica string, x Belief) {
	m := maps.Clone(b.States())
	m[replica] = x
	if x.isEmpty() {
		delete(m, replica)
	}
	b.m.Store(&m)
}

// BackoffEndsAt returns when the first of the replicas takes requests again; zero if one does now, or
// none that rests is among them.
func (b *Tracker) BackoffEndsAt(replicas iter.Seq[string], now time.Time) time.Time {
	var first time.Time
	m := b.States()
	if len(m) == 0 {
		return first
	}
	for r := range replicas {
		x := m[r]
		switch {
		case x.IsDraining():
		case !x.IsResting(now):
			return time.Time{}
		case first.IsZero() || x.RestUntil.Before(first):
			first = x.RestUntil
		}
	}
	return first
}

// ExclusionSummary counts the replicas that leave and that rest, for logs; empty if none does.
func (b *Tracker) ExclusionSummary(replicas iter.Seq[string], now time.Time) string {
	m := b.States()
	if len(m) == 0 {
		return ""
	}
	leaving, resting := 0, 0
	for r := range replicas {
		switch x := m[r]; {
		case x.IsDraining():
			leaving++
		case x.Verdict(now, b.servesFor) == Resting:
			resting++
		}
	}
	if leaving+resting == 0 {
		return ""
	}
	return fmt.Sprintf("%d leave, %d rest", leaving, resting)
}

// Hear counts a notice. Of a replica that says nothing of itself nothing is kept.
func (b *Tracker) Observe(n Notice) {
	was, is := b.change(n)
	if is.IsDraining() && !was.IsDraining() {
		b.log("replica_says_leaving", "replica", n.Replica, "service", n.Service, "request", n.Request)
	}
	if is.IsResting(n.ReceivedAt) && !was.IsResting(n.ReceivedAt) {
		b.log("replica_asks_rest", "replica", n.Replica, "service", n.Service, "request", n.Request, "for", is.RestUntil.Sub(n.ReceivedAt), "again", !was.RestUntil.IsZero())
	}
	if is.RestUntil.IsZero() && !was.RestUntil.IsZero() {
		b.log("replica_rested", "replica", n.Replica, "service", n.Service, "request", n.Request, "ended_ago", n.ReceivedAt.Sub(was.RestUntil))
	}
}

func (b *Tracker) change(n Notice) (was, is Belief) {
	if b.States()[n.Replica].isEmpty() && (Belief{}).With(n).isEmpty() {
		return was, is
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	was = b.States()[n.Replica]
	is = was.With(n)
	b.put(n.Replica, is)
	return was, is
}

// Counts returns how many replicas said that they leave, and how many want no request now.
func (b *Tracker) Counts() (leaving, resting int) {
	now := b.clock()
	for _, x := range b.States() {
		if x.IsDraining() {
			leaving++
		}
		if x.IsResting(now) {
			resting++
		}
	}
	return leaving, resting
}

const (
	// sweepEvery is between looks for replicas that are gone.
	sweepEvery = 10 * time.Second
	// keptFor is how long something is believed of a replica that is not listed: its entry may
	// have lapsed while the platform's store was away.
	keptFor = 10 * time.Minute
)

// Sweep forgets, from time to time, the replicas that are neither listed nor were heard of for long.
func (b *Tracker) Sweep(listed iter.Seq[string]) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.sweepAt) || len(b.States()) == 0 {
		return
	}
	b.sweepAt = now.Add(sweepEvery)
	m := maps.Clone(b.States())
	maps.DeleteFunc(m, func(_ string, x Belief) bool { return now.Sub(x.HeardAt) >= keptFor })
	for r := range listed {
		if x, ok := b.States()[r]; ok {
			m[r] = x
		}
	}
	b.m.Store(&m)
}

// complainEvery is between lines on what can't be read.
const complainEvery = time.Second

// Unreadable says that a header of an answer of the replica has no meaning.
func (b *Tracker) Unreadable(replica, header string, err error) {
	now := b.clock()
	b.mu.Lock()
	isDue := !now.Before(b.complainAt)
	if isDue {
		b.complainAt = now.Add(complainEvery)
	}
	b.mu.Unlock()
	if isDue {
		b.log("answer_header_unreadable", "replica", replica, "header", header, "error", err)
	}
}
