// Package clock tells the time by a clock that counts the time for which the machine was
// suspended, and no steps of the time of day. Go's own steady reading stands still while
// the machine is suspended: a process that wakes after ten seconds takes what it was told
// before for fresh, and honours keys that were taken away meanwhile.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// noticed is how far the time of day may move against the steady reading before a
// suspension is looked for: much less than any bound on beliefs, and more than what
// slewing brings in a minute.
const noticed = 20 * time.Millisecond

// least is how long a suspension is at least; the two clocks are not read in one moment.
const least = 5 * time.Millisecond

// Reading is a moment by the steady clock and by the time of day.
type Reading struct {
	Steady time.Duration
	Wall   time.Duration
}

// Sources are what a clock reads. Boot is the time since the machine started, suspensions
// included.
type Sources struct {
	Read func() Reading
	Boot func() (time.Duration, error)
}

// Clock is safe for concurrent use. The moments that it returns carry Go's steady reading
// with all suspensions added, so that spans between them are right; a deadline among them
// is given to a timer as the span that is left.
type Clock struct {
	start   time.Time
	sources Sources
	boot    time.Duration
	first   Reading
	// suspended is for how long the machine was suspended since the start, and offset
	// the time of day less the steady reading, as last seen; both in nanoseconds.
	suspended, offset atomic.Int64

	mu sync.Mutex
}

// New returns a clock of this machine.
func New() *Clock {
	start := time.Now()
	return NewFrom(start, Sources{
		Read: func() Reading {
			t := time.Now()
			return Reading{Steady: t.Sub(start), Wall: time.Duration(t.UnixNano())}
		},
		Boot: bootTime,
	})
}

// NewFrom returns a clock that reads the sources; start is the moment at which its steady
// reading was 0.
func NewFrom(start time.Time, s Sources) *Clock {
	c := &Clock{start: start, sources: s, first: s.Read()}
	c.boot, _ = s.Boot()
	c.offset.Store(int64(c.first.Wall - c.first.Steady))
	return c
}

func bootTime() (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano()), err
}

// Now returns the time. Both readings of the time of day and the steady one come with one
// look; the machine's time since its start is read only where they have moved against each
// other, as a suspension and a step have them do.
func (c *Clock) Now() time.Time {
	r := c.sources.Read()
	if d := time.Duration(int64(r.Wall-r.Steady) - c.offset.Load()); d > noticed || d < -noticed {
		c.look(r)
	}
	return c.start.Add(r.Steady + time.Duration(c.suspended.Load()))
}

// Look finds a suspension that a step of the time of day has hidden, and returns for how
// long the machine was suspended since the last look.
func (c *Clock) Look() time.Duration {
	was := c.suspended.Load()
	c.look(c.sources.Read())
	return time.Duration(c.suspended.Load() - was)
}

func (c *Clock) look(r Reading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset.Store(int64(r.Wall - r.Steady))
	b, err := c.sources.Boot()
	if err != nil {
		// A kernel without this clock has no suspension that could be told.
		return
	}
	s := (b - c.boot) - (r.Steady - c.first.Steady)
	if s > time.Duration(c.suspended.Load())+least {
		c.suspended.Store(int64(s))
	}
}

// Suspended returns for how long the machine was suspended since the clock's start.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }
