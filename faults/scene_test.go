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

// scene runs a test against a small system with a policy in force, in which
// nothing happens by itself.
func scene(t *testing.T, f func(d *day, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDay(t)
		d.build()
		defer d.w.Close()
		d.at(1)
		if err := d.change(t.Context(), "a1", acceptChange("first", "first", config.AnyBase)); err != nil {
			t.Fatal(err)
		}
		d.at(4)
		f(d, t.Context())
		for _, b := range d.bad {
			t.Error(b)
		}
	})
}

// one sends one request to the instance.
func (d *day) one(ctx context.Context, id, kind string, n int) (*sent, error) {
	s := &sent{n: n, id: fmt.Sprintf("r%03d", n), kind: kind}
	err := d.try(ctx, world.Client{W: d.w, P: &world.Proc{Name: "client"}}, d.instance(id), s)
	return s, err
}

// patient streams a request of a bronze customer with a minute to its
// deadline.
func (d *day) patient(ctx context.Context, i *world.Instance, n int) (*sent, error) {
	s := &sent{n: n, id: fmt.Sprintf("r%03d", n), kind: "stream"}
	k := &sink{}
	_, err := world.Do(ctx, world.Client{W: d.w, P: &world.Proc{Name: "client"}}, i, func(y context.Context, r *entry.Router, v *entry.View) (bool, error) {
		q, err := d.chatRequest(v, s, "long", "")
		if err != nil {
			return false, err
		}
		q.Deadline = time.Now().Add(time.Minute)
		return true, r.Stream(y, q, k)
	})
	s.whole = world.WholeAnswer(strings.Join(k.text, ""), s.id)
	return s, err
}

func (d *day) must(ctx context.Context, c config.Change) {
	if err := d.change(ctx, "a1", c); err != nil {
		d.t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
}

func withdrawal(v version.ID) config.Change {
	return config.Change{ID: "withdraw " + v.String(), Team: "t", Who: "op", Why: "test", Action: audit.Withdraw, Version: v}
}

func runOf(err error) outcome.Kind {
	var f *entry.Failure
	if errors.As(err, &f) {
		return f.Outcome
	}
	return outcome.Unknown
}

func (d *day) wantRuns(id string, want int) {
	d.t.Helper()
	if g := len(d.runs()[id]); g != want {
		d.t.Errorf("%s ran %d times, want %d", id, g, want)
	}
}

// hasRun checks that the version got work after the given time.
func (d *day) hasRun(v version.ID, after time.Time) {
	d.t.Helper()
	for _, l := range d.runs() {
		for _, r := range l {
			if r.Version == v && r.At.After(after) {
				return
			}
		}
	}
	d.t.Errorf("%s got no work", v)
}
