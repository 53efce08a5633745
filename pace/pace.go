// Package pace decides whether a running stream is better continued on another replica.
// Under heavy load some replicas stop sending without closing the connection, and others
// generate so slowly that an answer misses its deadline while replicas with less work
// would complete it. A Tracker holds what was observed of one run of a stream, a Policy
// decides by it. Neither keeps other state, reads a clock or starts a timer.
package pace

import "time"

const (
	// intervalWindow is the number of intervals over which the mean extends. Replicas
	// slow down for 0.6 s at a time, which is four to eight events, so that a shorter
	// window would take each such phase for the rate of the stream.
	intervalWindow = 16
	// minIntervals is the number of intervals from which their mean is used as a rate.
	// A stream's first events are often delayed by the prefill of prompts that were
	// placed with it, which ends within a second or two.
	minIntervals = intervalWindow
	// slowFactor is the multiple of the time left that the rest of a stream has to take at
	// its current rate for it to count as too slow. To continue it elsewhere has the
	// prompt prefilled again, which slows the streams there, and streams often speed up
	// again when a peak of the load is over.
	slowFactor = 1.3
	// silenceFactor is the number of mean intervals that explain a silence. The wait for
	// the first event is bounded by the same factor: the slowest of a hundred healthy
	// replicas take four times the expected time.
	silenceFactor = 6
	// minSilence is the shortest silence that counts as a fault of the replica. Streams
	// stall while a replica prefills a long prompt of another request, which takes about a
	// second for 12,000 tokens on a large model.
	minSilence = 1500 * time.Millisecond
	// silencePart is the part of the time left that a silence may use up. The rest has
	// to suffice for another replica.
	silencePart = 0.5
)

// Tracker holds what was observed of one run of a stream. It is immutable.
type Tracker struct {
	events    int
	intervals int
	interval  time.Duration
	// waitingSince is when the wait for the next event began.
	waitingSince time.Time
}

// New returns the tracker of a run that was started at now and has sent no event.
func New(now time.Time) Tracker { return Tracker{waitingSince: now} }

// WithExpectedWait returns a tracker that uses d as the interval until the first event
// has arrived. It is the expected time to the first event.
func (t Tracker) WithExpectedWait(d time.Duration) Tracker {
	if t.events == 0 {
		t.interval = d
	}
	return t
}

// WithWait returns a tracker whose wait for the next event began at from. The wait begins
// once the previous event was written to the client, so that a slow client doesn't make
// the replica appear slow.
func (t Tracker) WithWait(from time.Time) Tracker {
	t.waitingSince = from
	return t
}

// WithEvent returns a tracker with one more event. The wait for the first event includes
// prefill, so that it doesn't count as an interval.
func (t Tracker) WithEvent(at time.Time) Tracker {
	switch {
	case t.events == 0:
		t.interval = 0
	case t.intervals == 0:
		t.interval, t.intervals = at.Sub(t.waitingSince), 1
	default:
		t.intervals = min(intervalWindow, t.intervals+1)
		t.interval += (at.Sub(t.waitingSince) - t.interval) / time.Duration(t.intervals)
	}
	t.events++
	t.waitingSince = at
	return t
}

// Events returns the number of events of the run.
func (t Tracker) Events() int { return t.events }

// Interval returns the mean wait for an event over the latest events, or the expected
// wait for the first one; 0 if neither is known.
func (t Tracker) Interval() time.Duration { return t.interval }

// SilentSince returns when the wait for the next event began.
func (t Tracker) SilentSince() time.Time { return t.waitingSince }

// EndsAt returns when the stream ends at its current rate. An event that is overdue is
// expected at once.
func (t Tracker) EndsAt(eventsLeft float64, now time.Time) time.Time {
	end := t.waitingSince.Add(time.Duration(eventsLeft * float64(t.interval)))
	if end.Before(now) {
		return now
	}
	return end
}

// Verdict is a decision about a running stream.
type Verdict int

const (
	// Keep leaves the stream where it runs.
	Keep Verdict = iota
	// Silent says that the replica has stopped sending. Any other replica is better.
	Silent
	// Slow says that the stream will miss its deadline at its replica. It should be
	// continued on a replica that is expected to complete it in time, if there is one.
	Slow
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string { return [...]string{"keep", "silent", "slow"}[v] }

// Policy decides about the streams of one request.
type Policy struct {
	// AllowedPause is the longest pause between two events that the callers of the route
	// accept.
	AllowedPause time.Duration
	// ArrivedAt is when the request arrived, Deadline when its answer has to be complete.
	ArrivedAt, Deadline time.Time
}

// SilentAt returns when the stream's current silence becomes too long. That is after
// minSilence, silenceFactor intervals or the allowed pause, whichever is longest, but
// before more than silencePart of the time left at its start is used up.
func (p Policy) SilentAt(t Tracker) time.Time {
	explained := max(minSilence, silenceFactor*t.interval, p.AllowedPause)
	affordable := time.Duration(silencePart * float64(p.Deadline.Sub(t.waitingSince)))
	return t.waitingSince.Add(min(explained, affordable))
}

// Decide returns the verdict for the stream, of which eventsLeft more events are expected.
//
// A silence that is too long for the time left but shorter than minSilence gives Slow: at
// that rate the stream misses its deadline, but the silence doesn't show a fault.
func (p Policy) Decide(t Tracker, eventsLeft float64, now time.Time) Verdict {
	switch {
	case !now.Before(p.Deadline):
		return Keep
	case !now.Before(p.SilentAt(t)):
		if now.Sub(t.waitingSince) >= minSilence {
			return Silent
		}
		return Slow
	case t.intervals >= minIntervals && p.misses(t, eventsLeft, now):
		return Slow
	}
	return Keep
}

// misses reports whether the stream is far from meeting its deadline at its current rate. That is
// not decided in the first half of the time: most streams that look late then speed up when
// a peak of the load is over, and the second half suffices for another replica.
func (p Policy) misses(t Tracker, eventsLeft float64, now time.Time) bool {
	isFirstHalf := now.Sub(p.ArrivedAt) < p.Deadline.Sub(now)
	return !isFirstHalf && t.EndsAt(eventsLeft/slowFactor, now).After(p.Deadline)
}
