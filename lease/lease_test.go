package lease_test

import (
	"testing"
	"time"

	"fieldvale/lease"
)

func TestLease(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	l := lease.New(4*time.Second, at(0))
	if l.Holds(at(0)) {
		t.Error("holds before any confirmation")
	}
	l.Confirm(at(1))
	if !l.Holds(at(4.9)) || l.Holds(at(5)) {
		t.Error("a confirmation at 1 s must hold until 5 s, not longer")
	}
	l.Confirm(at(0.5))
	if !l.Holds(at(4.9)) {
		t.Error("an older confirmation shortened the lease")
	}
	l.Confirm(at(6))
	if a, ok := l.Age(at(7)); !ok || a != time.Second {
		t.Errorf("age %s, %t, want 1s", a, ok)
	}
}
