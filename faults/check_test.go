package faults

import (
	"context"
	"slices"
	"strings"
	"time"

	"fieldvale/pool"
	"fieldvale/standin/world"
)

// checkInvariants checks the guarantees of the system at the end of the script.
func (d *deployment) checkInvariants(ctx context.Context) {
	runs := d.runs()
	d.checkAnswers(runs)
	d.checkOnce(runs)
	d.checkVersions(runs)
	d.checkDraining()
	d.checkSessions()
	d.checkBills(ctx, runs)
	d.checkConfiguration(ctx)
}

// runs returns the runs of all backend servers by request ID.
func (d *deployment) runs() map[string][]world.Run {
	r := map[string][]world.Run{}
	for _, b := range d.w.Backends() {
		for _, x := range b.Runs() {
			id := x.Marker[strings.LastIndex(x.Marker, "/")+1:]
			r[id] = append(r[id], x)
		}
	}
	return r
}

// checkAnswers checks that answers are complete and belong to their requests, that a
// request whose attempts were all reported as not run did not run, and that at least 60 % of
// the requests were answered.
func (d *deployment) checkAnswers(runs map[string][]world.Run) {
	n := 0
	for _, s := range d.sent {
		if s.answered {
			n++
		}
		if s.answered && !s.complete {
			d.reportViolation("%s (%s): the answer is incomplete or belongs to another request", s.id, s.kind)
		}
		if s.allNotRun && len(runs[s.id]) > 0 {
			d.reportViolation("%s (%s): reported as not run in %d attempts by %v, but ran %d times: %v", s.id, s.kind, s.attempts, s.entries, len(runs[s.id]), s.lastErr)
		}
	}
	if n < requestCount*6/10 {
		d.reportViolation("only %d of %d requests were answered", n, requestCount)
	}
}

// checkOnce checks that a request of kind "once" ran at most once.
func (d *deployment) checkOnce(runs map[string][]world.Run) {
	for _, s := range d.sent {
		if s.kind == "once" && len(runs[s.id]) > 1 {
			d.reportViolation("%s ran %d times, want at most 1: %v", s.id, len(runs[s.id]), runs[s.id])
		}
	}
}

// checkVersions checks that requests ran only on versions that their customer may use,
// and that no request ran on the withdrawn version once the withdrawal had propagated.
func (d *deployment) checkVersions(runs map[string][]world.Run) {
	for _, s := range d.sent {
		for _, r := range runs[s.id] {
			if isBronze(s.n) && r.Version.Model == "large" {
				d.reportViolation("%s of a bronze customer ran on %s", s.id, r.Version)
			}
			if r.Version == cheap1 && !d.withdrawalAt.IsZero() && r.At.After(d.withdrawalAt.Add(configPropagation)) {
				d.reportViolation("%s ran on withdrawn %s on %s, %s after", s.id, r.Version, r.Backend, r.At.Sub(d.withdrawalAt))
			}
		}
	}
}

// checkDraining checks that draining backend servers received no requests once the
// draining had propagated.
func (d *deployment) checkDraining() {
	if d.drainingAt.IsZero() {
		return
	}
	for _, id := range drainingBackends {
		for _, r := range d.w.Backend(id).Runs() {
			if r.At.After(d.drainingAt.Add(drainPropagation)) && !d.mayBeUninformed(r.At) {
				d.reportViolation("draining %s received %s, %s after it started to drain", id, r.Marker, r.At.Sub(d.drainingAt))
			}
		}
	}
}

// mayBeUninformed reports whether t is within drainPropagation of the end of a fault that
// pauses or partitions a process, or earlier: the process may then lack an update.
func (d *deployment) mayBeUninformed(t time.Time) bool {
	for _, e := range d.isolatedUntil {
		if t.Before(e.Add(drainPropagation)) {
			return true
		}
	}
	return false
}

// checkSessions checks that sessions kept their version. The script allows one change of
// the version: from cheap@1 after its withdrawal, or from cheap@2 if it was tripped.
func (d *deployment) checkSessions() {
	for k, l := range d.sessionVersions {
		if len(l) > 2 || len(l) == 2 && l[0] == cheap1 && d.withdrawalAt.IsZero() {
			d.reportViolation("session %s used the versions %v, want no change without a withdrawal", k, l)
		}
	}
}

// checkBills checks that each answered request is billed once, except replayed ones, and
// that no request is billed that did not run.
func (d *deployment) checkBills(ctx context.Context, runs map[string][]world.Run) {
	b := d.billedRequests(ctx)
	for _, s := range d.sent {
		n := b[customerName(s.n)]
		switch {
		case n > 1:
			d.reportViolation("%s (%s) is billed %d times after %d attempts by %v, want at most 1", s.id, s.kind, n, s.attempts, s.entries)
		case n == 0 && s.answered && !s.replayed:
			d.reportViolation("%s (%s) was answered by %v but not billed", s.id, s.kind, s.entries)
		case n == 1 && len(runs[s.id]) == 0:
			d.reportViolation("%s (%s) was billed but did not run", s.id, s.kind)
		}
	}
}

// checkConfiguration checks that all accepted changes are in force on all running
// instances, and that the audit trail has them.
func (d *deployment) checkConfiguration(ctx context.Context) {
	for _, i := range d.w.Instances() {
		if !i.Entry.Alive() || !i.Control.Alive() || i == d.stopped {
			continue
		}
		a := i.View.Get().Active
		if a == nil {
			d.reportViolation("%s has no configuration", i.ID)
			continue
		}
		if a.Revision() < d.revision {
			d.reportViolation("%s has revision %d, want at least %d", i.ID, a.Revision(), d.revision)
		}
	}
	for _, id := range []string{"first", "roll", "withdraw"} {
		if !d.isAudited(ctx, id) {
			d.reportViolation("the audit trail has no entry of change %s", id)
		}
	}
}

// isAudited reports whether the audit trail has the change. An entry of a restore
// also counts: the audit entries that the older store lacked are then lost.
func (d *deployment) isAudited(ctx context.Context, id string) bool {
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
func (d *deployment) engines() []*world.Backend {
	var r []*world.Backend
	for _, b := range d.w.Backends() {
		if b.Kind == pool.Engine {
			r = append(r, b)
		}
	}
	return r
}
