package pace_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/pace"
)

var start = time.Unix(1000, 0)

// runOf returns the tracker of a run that sent n events at a constant interval, and the
// time of the last one.
func runOf(n int, interval time.Duration) (pace.Tracker, time.Time) {
	t, at := pace.New(start), start
	for range n {
		at = at.Add(interval)
		t = t.WithEvent(at)
	}
	return t, at
}

func ExamplePolicy() {
	t, now := runOf(20, 150*time.Millisecond)
	p := pace.Policy{AllowedPause: 2 * time.Second, Deadline: now.Add(10 * time.Second)}
	fmt.Println(p.Decide(t, 40, now), p.Decide(t, 100, now), p.Decide(t, 40, now.Add(2*time.Second)))
	// Output: keep slow silent
}

// Guards against thresholds that cut healthy streams, or that leave a request with a
// replica that stopped sending.
func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name     string
		events   int
		interval time.Duration
		pause    time.Duration
		timeLeft time.Duration
		left     float64
		silence  time.Duration
		want     pace.Verdict
	}{
		{"in time", 20, 100 * ms, 2000 * ms, 10000 * ms, 50, 0, pace.Keep},
		{"late at its rate", 20, 100 * ms, 2000 * ms, 10000 * ms, 131, 0, pace.Slow},
		{"late by less than rates vary", 20, 100 * ms, 2000 * ms, 10000 * ms, 129, 0, pace.Keep},
		{"late in the first half of its time", 20, 100 * ms, 2000 * ms, 13000 * ms, 900, 0, pace.Keep},
		{"late by too few intervals to tell", 16, 100 * ms, 2000 * ms, 10000 * ms, 131, 0, pace.Keep},
		{"late by just enough intervals", 17, 100 * ms, 2000 * ms, 10000 * ms, 131, 0, pace.Slow},
		{"stall within the allowed pause", 20, 100 * ms, 2000 * ms, 10000 * ms, 10, 1900 * ms, pace.Keep},
		{"longer than the allowed pause", 20, 100 * ms, 2000 * ms, 10000 * ms, 10, 2000 * ms, pace.Silent},
		{"long stall without an allowed pause", 20, 100 * ms, 0, 10000 * ms, 10, 1500 * ms, pace.Silent},
		{"silence explained by the interval", 20, 500 * ms, 0, 10000 * ms, 10, 2900 * ms, pace.Keep},
		{"silence not explained by the interval", 20, 500 * ms, 0, 10000 * ms, 10, 3000 * ms, pace.Silent},
		{"half of the time left", 20, 100 * ms, 4000 * ms, 4000 * ms, 2, 2000 * ms, pace.Silent},
		{"half of a short time left", 20, 100 * ms, 2000 * ms, 1000 * ms, 2, 500 * ms, pace.Slow},
		{"past the deadline", 20, 100 * ms, 2000 * ms, 1000 * ms, 2, 1000 * ms, pace.Keep},
	} {
		r, at := runOf(c.events, c.interval)
		p := pace.Policy{AllowedPause: c.pause, ArrivedAt: at.Add(-12 * time.Second), Deadline: at.Add(c.timeLeft)}
		if g := p.Decide(r, c.left, at.Add(c.silence)); g != c.want {
			t.Errorf("%s: %v, want %v", c.name, g, c.want)
		}
	}
}

// Guards against a fault of a replica being seen in a slow client: the time for writing an
// event is neither silence nor part of the interval.
func TestSlowClientIsNotASlowReplica(t *testing.T) {
	r, at := runOf(1, 50*time.Millisecond)
	for range 20 {
		at = at.Add(3 * time.Second)
		r = r.WithWait(at)
		at = at.Add(50 * time.Millisecond)
		r = r.WithEvent(at)
	}
	if g := r.Interval(); g != 50*time.Millisecond {
		t.Errorf("interval %v, want 50ms", g)
	}
}

// Guards against a silence that is found before it is too long, or not found when it is:
// timers are set to SilentAt.
func TestDecideAgreesWithSilentAt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, least int) time.Duration {
			return time.Duration(rapid.IntRange(least, 20000).Draw(t, name)) * time.Millisecond
		}
		r := pace.New(start).WithExpectedWait(ms("expected", 0))
		if rapid.Bool().Draw(t, "running") {
			r, _ = runOf(rapid.IntRange(1, 40).Draw(t, "events"), ms("interval", 0))
		}
		p := pace.Policy{AllowedPause: ms("pause", 0), Deadline: r.SilentSince().Add(ms("left", 1))}
		at := p.SilentAt(r)
		if v := p.Decide(r, 0, at.Add(-1)); at.After(r.SilentSince()) && v != pace.Keep {
			t.Fatalf("%v before the silence is too long", v)
		}
		if v := p.Decide(r, 0, at); v == pace.Keep {
			t.Fatal("a silence that is too long is not found")
		}
		if at.After(p.Deadline) {
			t.Fatal("the silence may last longer than the request")
		}
	})
}
