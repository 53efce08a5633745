// Package clock provides a monotonic clock that includes the time for which the machine
// was suspended and ignores steps of the wall clock. Go's own monotonic clock stops while
// the machine is suspended: a process that resumes after ten seconds would treat the state
// it received before as fresh, and accept API keys that were revoked in the meantime.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// driftThreshold is how far the wall clock may move relative to the monotonic clock before
// Now checks for a suspension: much less than any limit on the age of cached state, and
// more than clock slewing causes within a minute.
const driftThreshold = 20 * time.Millisecond

// minSuspension is the shortest suspension that is recognised. Smaller differences arise
// because the two clocks are not read at the same instant.
const minSuspension = 5 * time.Millisecond

// Reading is a reading of the monotonic clock and of the wall clock at the same instant.
type Reading struct {
	Monotonic time.Duration
	Wall      time.Duration
}

// Sources are the system clocks that a clock reads. Boot returns the time since the
// machine booted, including suspensions.
type Sources struct {
	Read func() Reading
	Boot func() (time.Duration, error)
}

// Clock is a monotonic clock that includes suspensions. It is safe for concurrent use. The
// times that it returns contain Go's monotonic reading plus all suspensions, so that
// durations between them are correct. A timer for a deadline on this clock has to be
// given the remaining duration.
type Clock struct {
	start        time.Time
	sources      Sources
	firstBoot    time.Duration
	firstReading Reading
	// suspended is the total suspension since the start of the clock. offset is the last
	// observed difference of the wall clock and the monotonic clock. Both are in
	// nanoseconds.
	suspended, offset atomic.Int64

	mu sync.Mutex
}

// New returns a clock that reads the clocks of this machine.
func New() *Clock {
	start := time.Now()
	return NewFrom(start, Sources{
		Read: func() Reading {
			t := time.Now()
			return Reading{Monotonic: t.Sub(start), Wall: time.Duration(t.UnixNano())}
		},
		Boot: bootTime,
	})
}

// NewFrom returns a clock that reads the given sources; start is the time at which their
// monotonic reading was 0.
func NewFrom(start time.Time, s Sources) *Clock {
	c := &Clock{start: start, sources: s, firstReading: s.Read()}
	c.firstBoot, _ = s.Boot()
	c.offset.Store(int64(c.firstReading.Wall - c.firstReading.Monotonic))
	return c
}

func bootTime() (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano()), err
}

// Now returns the current time. The wall clock and the monotonic clock are read together.
// The boot-time clock is read only if they have moved relative to each other, as they do
// on a suspension or on a step of the wall clock.
func (c *Clock) Now() time.Time {
	r := c.sources.Read()
	if d := time.Duration(int64(r.Wall-r.Monotonic) - c.offset.Load()); d > driftThreshold || d < -driftThreshold {
		c.updateSuspended(r)
	}
	return c.start.Add(r.Monotonic + time.Duration(c.suspended.Load()))
}

// DetectSuspension reads the boot-time clock unconditionally. It detects a suspension that Now misses
// because a step of the wall clock cancels it out, and returns the duration of the
// suspensions that were not detected before.
func (c *Clock) DetectSuspension() time.Duration {
	was := c.suspended.Load()
	c.updateSuspended(c.sources.Read())
	return time.Duration(c.suspended.Load() - was)
}

func (c *Clock) updateSuspended(r Reading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset.Store(int64(r.Wall - r.Monotonic))
	b, err := c.sources.Boot()
	if err != nil {
		// On a kernel without a boot-time clock, suspensions can't be detected.
		return
	}
	s := (b - c.firstBoot) - (r.Monotonic - c.firstReading.Monotonic)
	if s > time.Duration(c.suspended.Load())+minSuspension {
		c.suspended.Store(int64(s))
	}
}

// Suspended returns the total duration of the suspensions detected since the clock was
// created.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }
