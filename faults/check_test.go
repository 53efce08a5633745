package faults

import (
	"context"
	"slices"
	"strings"
	"time"

	"fieldvale/pool"
	"fieldvale/standin/world"
)

// check looks whether every promise was kept.
func (d *day) check(ctx context.Context) {
	runs := d.runs()
	d.checkAnswers(runs)
	d.checkOnce(runs)
	d.checkVersions(runs)
	d.checkLeaving()
	d.checkSessions()
	d.checkBills(ctx, runs)
	d.checkConfiguration(ctx)
}

// runs returns the work that backend servers started, by request id.
func (d *day) runs() map[string][]world.Run {
	r := map[string][]world.Run{}
	for _, b := range d.w.Backends() {
		for _, x := range b.Runs() {
			id := x.Marker[strings.LastIndex(x.Marker, "/")+1:]
			r[id] = append(r[id], x)
		}
	}
	return r
}

// checkAnswers: a caller gets the whole answer to its own request, and a
// refusal that says "not run" is true.
func (d *day) checkAnswers(runs map[string][]world.Run) {
	n := 0
	for _, s := range d.sent {
		if s.answered {
			n++
		}
		if s.answered && !s.whole {
			d.fail("%s (%s): the answer is not whole or not its own", s.id, s.kind)
		}
		if s.denied && len(runs[s.id]) > 0 {
			d.fail("%s (%s): told not run %d times by %v, ran %d times: %v", s.id, s.kind, s.tries, s.entries, len(runs[s.id]), s.last)
		}
	}
	if n < requests*6/10 {
		d.fail("only %d of %d requests were answered", n, requests)
	}
}

// checkOnce: a request that may not be repeated runs at most once.
func (d *day) checkOnce(runs map[string][]world.Run) {
	for _, s := range d.sent {
		if s.kind == "once" && len(runs[s.id]) > 1 {
			d.fail("%s ran %d times: %v", s.id, len(runs[s.id]), runs[s.id])
		}
	}
}

// checkVersions: a request runs only on what its customer allows, and a
// withdrawn version gets no new work after seconds.
func (d *day) checkVersions(runs map[string][]world.Run) {
	for _, s := range d.sent {
		for _, r := range runs[s.id] {
			if bronze(s.n) && r.Version.Model == "large" {
				d.fail("%s of a bronze customer ran on %s", s.id, r.Version)
			}
			if r.Version == cheap1 && !d.withdrawnAt.IsZero() && r.At.After(d.withdrawnAt.Add(spreadBy)) {
				d.fail("%s ran on withdrawn %s on %s, %s after", s.id, r.Version, r.Backend, r.At.Sub(d.withdrawnAt))
			}
		}
	}
}

// checkLeaving: a leaving backend server gets no new work after seconds.
func (d *day) checkLeaving() {
	if d.leavingAt.IsZero() {
		return
	}
	for _, id := range leavers {
		for _, r := range d.w.Backend(id).Runs() {
			if r.At.After(d.leavingAt.Add(leavingBy)) && !d.exempt(r.At) {
				d.fail("leaving %s got %s after %s", id, r.Marker, r.At.Sub(d.leavingAt))
			}
		}
	}
}

// exempt reports whether a fault held some instance at that time: one that is
// cut off or paused can't know.
func (d *day) exempt(t time.Time) bool {
	for _, e := range d.touched {
		if t.Before(e.Add(leavingBy)) {
			return true
		}
	}
	return false
}

// checkSessions: a session keeps its version until it is withdrawn; the only
// move that a day allows is away from cheap@1 after the withdrawal, or away
// from cheap@2 if it was found bad.
func (d *day) checkSessions() {
	for k, l := range d.versions {
		if len(l) > 2 || len(l) == 2 && l[0] == cheap1 && d.withdrawnAt.IsZero() {
			d.fail("session %s went through %v", k, l)
		}
	}
}

// checkBills: each request is billed once.
func (d *day) checkBills(ctx context.Context, runs map[string][]world.Run) {
	b := d.lines(ctx)
	for _, s := range d.sent {
		n := b[customer(s.n)]
		switch {
		case n > 1:
			d.fail("%s (%s) is billed %d times, tries %d, by %v", s.id, s.kind, n, s.tries, s.entries)
		case n == 0 && s.answered && !s.replayed:
			d.fail("%s (%s) was answered by %v and is not billed", s.id, s.kind, s.entries)
		case n == 1 && len(runs[s.id]) == 0:
			d.fail("%s (%s) is billed and never ran", s.id, s.kind)
		}
	}
}

// checkConfiguration: all accepted changes are in force on all living
// instances and in the store, and all are in the trail.
func (d *day) checkConfiguration(ctx context.Context) {
	for _, i := range d.w.Instances() {
		if !i.Entry.Alive() || !i.Control.Alive() || i == d.stop {
			continue
		}
		a := i.View.Get().Active
		if a == nil {
			d.fail("%s has no configuration", i.ID)
			continue
		}
		if a.Revision() < d.revision {
			d.fail("%s has revision %d, %d was accepted", i.ID, a.Revision(), d.revision)
		}
	}
	for _, id := range []string{"first", "roll", "withdraw"} {
		if !d.recorded(ctx, id) {
			d.fail("the trail has no entry of change %s", id)
		}
	}
}

func (d *day) recorded(ctx context.Context, id string) bool {
	for _, i := range d.w.Instances() {
		if !i.Control.Alive() {
			continue
		}
		l, err := i.Node.Audit(ctx, "", 0)
		if err != nil {
			continue
		}
		for _, e := range l {
			if e.ChangeID == id {
				return true
			}
		}
		return slices.ContainsFunc(l, func(e auditEntry) bool { return e.Action == "restore" })
	}
	return false
}

// engines returns the model engines.
func (d *day) engines() []*world.Backend {
	var r []*world.Backend
	for _, b := range d.w.Backends() {
		if b.Kind == pool.Engine {
			r = append(r, b)
		}
	}
	return r
}
