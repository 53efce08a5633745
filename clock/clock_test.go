package clock_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"fieldvale/clock"
)

// machine simulates the clocks of a machine.
type machine struct {
	steady, wall, boot time.Duration
	noBoot             bool
	bootReads          int
}

func (m *machine) run(d time.Duration)     { m.steady, m.wall, m.boot = m.steady+d, m.wall+d, m.boot+d }
func (m *machine) suspend(d time.Duration) { m.wall, m.boot = m.wall+d, m.boot+d }
func (m *machine) step(d time.Duration)    { m.wall += d }

func (m *machine) clock(start time.Time) *clock.Clock {
	return clock.NewFrom(start, clock.Sources{
		Read: func() clock.Reading { return clock.Reading{Monotonic: m.steady, Wall: m.wall} },
		Boot: func() (time.Duration, error) {
			m.bootReads++
			if m.noBoot {
				return 0, errors.New("no such clock")
			}
			return m.boot, nil
		},
	})
}

// The clock includes a suspension and ignores a step of the wall clock.
func ExampleClock_Now() {
	m := &machine{}
	c := m.clock(time.Now())
	t := c.Now()
	m.run(time.Second)
	m.suspend(10 * time.Second)
	fmt.Println(c.Now().Sub(t))
	m.step(-time.Hour)
	fmt.Println(c.Now().Sub(t))
	// Output:
	// 11s
	// 11s
}

// A clock that misses a suspension treats outdated state as fresh; one that follows steps
// of the wall clock lets deadlines pass too early or too late.
func TestNowCountsSuspensionsOnly(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(m *machine, c *clock.Clock)
		want time.Duration
	}{
		"running":             {func(m *machine, _ *clock.Clock) { m.run(time.Minute) }, time.Minute},
		"step forward":        {func(m *machine, _ *clock.Clock) { m.step(2 * time.Second) }, 0},
		"suspension":          {func(m *machine, _ *clock.Clock) { m.suspend(3 * time.Second) }, 3 * time.Second},
		"suspension and step": {func(m *machine, _ *clock.Clock) { m.suspend(3 * time.Second); m.step(time.Second) }, 3 * time.Second},
		"two suspensions":     {func(m *machine, c *clock.Clock) { m.suspend(time.Second); c.Now(); m.run(1); m.suspend(time.Second) }, 2*time.Second + 1},
		"suspension hidden by a step, until checked": {func(m *machine, c *clock.Clock) { m.suspend(time.Second); m.step(-time.Second); c.DetectSuspension() }, time.Second},
		"no boot-time clock":                         {func(m *machine, _ *clock.Clock) { m.noBoot = true; m.suspend(time.Second) }, 0},
	} {
		m := &machine{boot: time.Hour}
		k := m.clock(time.Now())
		from := k.Now()
		c.do(m, k)
		if got := k.Now().Sub(from); got != c.want {
			t.Errorf("%s: got %s elapsed, want %s", name, got, c.want)
		}
	}
}

// The boot-time clock must be read only if the wall clock and the monotonic clock have
// diverged; otherwise each call of Now would cost a further system call.
func TestNowDoesNotReadBootTimeNeedlessly(t *testing.T) {
	m := &machine{}
	c := m.clock(time.Now())
	before := m.bootReads
	for range 100 {
		m.run(time.Second)
		c.Now()
	}
	if m.bootReads != before {
		t.Errorf("got %d reads of the boot-time clock, want none", m.bootReads-before)
	}
}

func TestSystemClock(t *testing.T) {
	c := clock.New()
	a := c.Now()
	time.Sleep(5 * time.Millisecond)
	if d := c.Now().Sub(a); d < 5*time.Millisecond || d > time.Minute {
		t.Errorf("got %s elapsed after a sleep of 5 ms, want between 5 ms and a minute", d)
	}
	if d := time.Until(c.Now()); d < -time.Minute || d > time.Minute {
		t.Errorf("got a clock %s away from the system time, want less than a minute", d)
	}
}
