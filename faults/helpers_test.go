package faults

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/audit"
	"fieldvale/config"
	"fieldvale/entry"
	"fieldvale/outcome"
	"fieldvale/standin/world"
	"fieldvale/version"
)

// withDeployment calls f with a small system that has a policy in force but runs no
// script, and reports the violations.
func withDeployment(t *testing.T, f func(d *deployment, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startSystem()
		defer d.w.Close()
		d.waitUntil(1)
		if err := d.change(t.Context(), "a1", acceptChange("first", "first", config.AnyBase)); err != nil {
			t.Fatal(err)
		}
		d.waitUntil(4)
		f(d, t.Context())
		for _, b := range d.violations {
			t.Error(b)
		}
	})
}

// sendOne sends request n to the instance with that ID once.
func (d *deployment) sendOne(ctx context.Context, id, kind string, n int) (*clientRequest, error) {
	s := &clientRequest{n: n, id: fmt.Sprintf("r%03d", n), kind: kind}
	err := d.attempt(ctx, world.Client{W: d.w, P: &world.Proc{Name: "client"}}, d.instance(id), s)
	return s, err
}

// streamWithLongDeadline streams request n, whose customer is of the bronze tier, with a
// deadline of one minute.
func (d *deployment) streamWithLongDeadline(ctx context.Context, i *world.Instance, n int) (*clientRequest, error) {
	s := &clientRequest{n: n, id: fmt.Sprintf("r%03d", n), kind: "stream"}
	k := &streamRecorder{}
	_, err := world.CallEntry(ctx, world.Client{W: d.w, P: &world.Proc{Name: "client"}}, i, func(y context.Context, r *entry.Router, v *entry.View) (bool, error) {
		q, err := d.chatRequest(v, s, "long", "")
		if err != nil {
			return false, err
		}
		q.Deadline = time.Now().Add(time.Minute)
		return true, r.Stream(y, q, k)
	})
	s.complete = world.IsCompleteAnswer(strings.Join(k.text, ""), s.id)
	return s, err
}

// mustChange makes a change and waits two seconds, in which it takes effect on all
// reachable instances.
func (d *deployment) mustChange(ctx context.Context, c config.Change) {
	if err := d.change(ctx, "a1", c); err != nil {
		d.t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
}

// withdrawal returns the change that withdraws a version.
func withdrawal(v version.ID) config.Change {
	return config.Change{ID: "withdraw " + v.String(), Team: "t", Who: "op", Why: "test", Action: audit.Withdraw, Version: v}
}

// outcomeOf returns the outcome that the error of a request reports.
func outcomeOf(err error) outcome.Kind {
	var f *entry.Failure
	if errors.As(err, &f) {
		return f.Outcome
	}
	return outcome.Unknown
}

// checkRunCount checks that backend servers ran the request want times.
func (d *deployment) checkRunCount(id string, want int) {
	d.t.Helper()
	if g := len(d.runs()[id]); g != want {
		d.t.Errorf("%s ran %d times, want %d", id, g, want)
	}
}

// checkRanAfter checks that a backend server ran a request on the version after the
// given time.
func (d *deployment) checkRanAfter(v version.ID, after time.Time) {
	d.t.Helper()
	for _, l := range d.runs() {
		for _, r := range l {
			if r.Version == v && r.At.After(after) {
				return
			}
		}
	}
	d.t.Errorf("got no runs of %s after %s, want at least one", v, after)
}
