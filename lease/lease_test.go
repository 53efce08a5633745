package lease_test

import (
	"testing"
	"time"

	"fieldvale/lease"
)

func TestLease(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	l := lease.New(4*time.Second, 2*time.Second, lease.Strict, at(0))
	if l.AllowsKeys(at(0)) {
		t.Error("holds before any confirmation")
	}
	l.Confirm(at(1))
	if !l.AllowsKeys(at(4.9)) || l.AllowsKeys(at(5)) {
		t.Error("a confirmation at 1 s must hold until 5 s, not longer")
	}
	l.Confirm(at(0.5))
	if !l.AllowsKeys(at(4.9)) {
		t.Error("an older confirmation shortened the lease")
	}
	l.Confirm(at(6))
	if a, ok := l.Age(at(7)); !ok || a != time.Second {
		t.Errorf("age %s, %t, want 1s", a, ok)
	}
}

// An outage longer than the lease turns nobody away under the lenient rule,
// but an instance that never knew a configuration honours nothing, and the age
// goes on telling how old the knowledge is.
func TestLenientLease(t *testing.T) {
	start := time.Unix(1000, 0)
	l := lease.New(4*time.Second, 2*time.Second, lease.Lenient, start)
	if l.AllowsKeys(start) {
		t.Error("holds before any confirmation")
	}
	l.Confirm(start)
	later := start.Add(time.Hour)
	if !l.AllowsKeys(later) {
		t.Error("does not hold an hour after the confirmation")
	}
	if l.Fresh(later, 1) {
		t.Error("is fresh an hour after the confirmation")
	}
	if a, ok := l.Age(later); !ok || a != time.Hour {
		t.Errorf("age %s, %t, want 1h", a, ok)
	}
}

// Denials hold for as long as a change may take to be in force, whatever the operator says of keys.
func TestDenials(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, r := range []lease.ExpiryRule{lease.Strict, lease.Lenient} {
		l := lease.New(4*time.Second, 2*time.Second, r, start)
		if l.AllowsDenials(start) {
			t.Errorf("%s: denied before the first confirmation", r)
		}
		l.Confirm(start)
		for _, c := range []struct {
			after time.Duration
			want  bool
		}{{0, true}, {1999 * time.Millisecond, true}, {2 * time.Second, false}, {time.Hour, false}} {
			if g := l.AllowsDenials(start.Add(c.after)); g != c.want {
				t.Errorf("%s, %s after the confirmation: %t, want %t", r, c.after, g, c.want)
			}
		}
	}
}
