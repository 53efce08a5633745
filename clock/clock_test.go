package clock_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"fieldvale/clock"
)

// machine is a machine whose clocks are moved by hand.
type machine struct {
	steady, wall, boot time.Duration
	noBoot             bool
	reads              int
}

func (m *machine) run(d time.Duration)     { m.steady, m.wall, m.boot = m.steady+d, m.wall+d, m.boot+d }
func (m *machine) suspend(d time.Duration) { m.wall, m.boot = m.wall+d, m.boot+d }
func (m *machine) step(d time.Duration)    { m.wall += d }

func (m *machine) clock(start time.Time) *clock.Clock {
	return clock.NewFrom(start, clock.Sources{
		Read: func() clock.Reading { return clock.Reading{Steady: m.steady, Wall: m.wall} },
		Boot: func() (time.Duration, error) {
			m.reads++
			if m.noBoot {
				return 0, errors.New("no such clock")
			}
			return m.boot, nil
		},
	})
}

// A suspension counts, a step of the time of day does not.
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

func TestClock(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(m *machine, c *clock.Clock)
		want time.Duration
	}{
		"runs on":                        {func(m *machine, _ *clock.Clock) { m.run(time.Minute) }, time.Minute},
		"a step ahead":                   {func(m *machine, _ *clock.Clock) { m.step(2 * time.Second) }, 0},
		"a suspension":                   {func(m *machine, _ *clock.Clock) { m.suspend(3 * time.Second) }, 3 * time.Second},
		"a suspension within a step":     {func(m *machine, _ *clock.Clock) { m.suspend(3 * time.Second); m.step(time.Second) }, 3 * time.Second},
		"two suspensions":                {func(m *machine, c *clock.Clock) { m.suspend(time.Second); c.Now(); m.run(1); m.suspend(time.Second) }, 2*time.Second + 1},
		"hidden by a step, until a look": {func(m *machine, c *clock.Clock) { m.suspend(time.Second); m.step(-time.Second); c.Look() }, time.Second},
		"no such clock":                  {func(m *machine, _ *clock.Clock) { m.noBoot = true; m.suspend(time.Second) }, 0},
	} {
		m := &machine{boot: time.Hour}
		k := m.clock(time.Now())
		from := k.Now()
		c.do(m, k)
		if got := k.Now().Sub(from); got != c.want {
			t.Errorf("%s: %s went by, want %s", name, got, c.want)
		}
	}
}

// The time of day and the steady reading agree as a rule; then nothing else is read.
func TestClockReadsLittle(t *testing.T) {
	m := &machine{}
	c := m.clock(time.Now())
	before := m.reads
	for range 100 {
		m.run(time.Second)
		c.Now()
	}
	if m.reads != before {
		t.Errorf("the machine's own time was read %d times", m.reads-before)
	}
}

func TestThisMachine(t *testing.T) {
	c := clock.New()
	a := c.Now()
	time.Sleep(5 * time.Millisecond)
	if d := c.Now().Sub(a); d < 5*time.Millisecond || d > time.Minute {
		t.Errorf("%s went by, want some 5 ms", d)
	}
	if d := time.Until(c.Now()); d < -time.Minute || d > time.Minute {
		t.Errorf("the clock is %s away from the time", d)
	}
}
