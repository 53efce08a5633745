package lease_test

import (
	"testing"
	"time"

	"fieldvale/lease"
)

// Under the strict rule keys must be honoured for exactly the length of the lease after the
// latest confirmed moment; an older confirmation that arrives late must not shorten it.
func TestStrictLease(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	l := lease.New(4*time.Second, 2*time.Second, lease.Strict, at(0))
	if l.AllowsKeys(at(0)) {
		t.Error("keys are honoured before any confirmation")
	}
	l.Confirm(at(1))
	if !l.AllowsKeys(at(4.9)) || l.AllowsKeys(at(5)) {
		t.Error("a confirmation at 1 s with a length of 4 s must allow keys until 5 s, not longer")
	}
	l.Confirm(at(0.5))
	if !l.AllowsKeys(at(4.9)) {
		t.Error("an older confirmation shortened the lease")
	}
	l.Confirm(at(6))
	if a, ok := l.Age(at(7)); !ok || a != time.Second {
		t.Errorf("age %s, ok %t, want 1s, ok", a, ok)
	}
}

// Under the lenient rule an outage longer than the lease must refuse no keys. Without any
// configuration no key may be honoured, and Age must return the actual age.
func TestLenientLease(t *testing.T) {
	start := time.Unix(1000, 0)
	l := lease.New(4*time.Second, 2*time.Second, lease.Lenient, start)
	if l.AllowsKeys(start) {
		t.Error("keys are honoured before any confirmation")
	}
	l.Confirm(start)
	later := start.Add(time.Hour)
	if !l.AllowsKeys(later) {
		t.Error("keys are not honoured an hour after the confirmation")
	}
	if l.Fresh(later, 1) {
		t.Error("the lease is fresh an hour after the confirmation")
	}
	if a, ok := l.Age(later); !ok || a != time.Hour {
		t.Errorf("age %s, ok %t, want 1h, ok", a, ok)
	}
}

// Denials must end once a newer configuration may be in force, under either rule for keys.
func TestDenials(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, r := range []lease.ExpiryRule{lease.Strict, lease.Lenient} {
		l := lease.New(4*time.Second, 2*time.Second, r, start)
		if l.AllowsDenials(start) {
			t.Errorf("rule %s: denials are allowed before the first confirmation", r)
		}
		l.Confirm(start)
		for _, c := range []struct {
			after time.Duration
			want  bool
		}{{0, true}, {1999 * time.Millisecond, true}, {2 * time.Second, false}, {time.Hour, false}} {
			if g := l.AllowsDenials(start.Add(c.after)); g != c.want {
				t.Errorf("rule %s, %s after the confirmation: denials allowed %t, want %t", r, c.after, g, c.want)
			}
		}
	}
}
