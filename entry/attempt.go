package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/outcome"
	"fieldvale/placement"
	"fieldvale/pool"
	"fieldvale/route"
)

// errPaid marks failures after which the next attempt has its place in the
// budget already, or was chosen in favour of a larger model's answer.
var errPaid = errors.New("the next attempt is paid for")

// attempt is one dispatch of an opaque request.
type attempt struct {
	w       *forwarding
	placed  *placed
	replica *pool.Replica
	sent    time.Time
	// kind is what the run's time is learnt by.
	kind string
	// read says that the replica has read the prompt, at readAt.
	read   bool
	readAt time.Time
	// served says that the answer was whole and a success.
	served bool
	// escalated says that its answer was dropped for a larger model's.
	escalated bool
	// events is how many were passed on, and bytes what they had.
	events int
	bytes  int
	// left says that the client left meanwhile: what broke off then was no
	// fault of the replica.
	left bool
	// ran says that the replica worked on the request, and began that its answer's head
	// came: an engine sends it as the run begins, a plain service at its end.
	ran   bool
	began bool
	// failed says that the replica answered with a failure, refusedWhole that this came
	// whole.
	failed       bool
	refusedWhole bool
	// wait is counted where two releases are compared; nil elsewhere and once the
	// answer's head is there.
	wait *wait
}

// exchange sends and passes the answer on.
func (a *attempt) exchange(ctx context.Context, d Dispatch) error {
	x, heard, end := a.watch(ctx)
	defer end()
	reply, err := a.w.r.upstream.Send(x, a.replica, d)
	if err != nil {
		if errors.Is(context.Cause(x), errHung) {
			err = outcome.New(outcome.Unknown, "wait", a.replica.ID, errHung)
		}
		a.ran = outcome.Of(err) != outcome.NotRun
		a.count(err)
		return err
	}
	defer reply.Close()
	a.ran, a.began = true, true
	a.w.f.Runs++
	if !reply.Head().IsSuccess() {
		a.failed = reply.Head().Status >= 500
		return a.keepFailure(reply)
	}
	a.answered(true)
	if err := a.doubt(ctx, reply); err != nil {
		return err
	}
	if a.w.q.Route.Kind == route.Stream {
		return a.relay(reply, heard)
	}
	return a.whole(reply)
}

// count keeps when a refusing replica wants to be asked again, unless that is one of its
// notices, and counts a run of which no word came.
func (a *attempt) count(err error) {
	if a.ran {
		a.w.f.Runs++
	}
	if o, ok := asOutcome(err); ok && !a.w.r.notices.IsBackingOff(a.replica.ID, a.w.r.clock()) {
		a.w.retryBy(o.RetryAt)
	}
}

// done gives the replica back and counts the outcome for its breaker and for
// its release.
func (a *attempt) done(err error) {
	w := a.w
	r := w.r
	a.held()
	a.answered(false)
	failed := err != nil && !a.served && !a.left && !errors.Is(err, errCaller)
	bad := a.ran && !a.served && (failed || w.f.Status >= 500)
	w.unplace(a.placed, a.fault(err, bad))
	if isUnreached(err) {
		r.quota.Return(a.placed.right)
		if w.coldPerSecond() > 0 {
			r.quota.Unreached(w.f.Service, a.replica.ID)
		}
	}
	r.backends.doneOpaque(a.replica.ID, bad, isUnreached(err), r.clock())
	if failed && !errors.Is(err, errPaid) || bad {
		w.f.Fingerprint = w.q.Fingerprint().String()
		r.events.attempt(FailedAttempt{
			Request: w.q.ID, Service: w.f.Service, Replica: a.replica.ID, Fingerprint: w.f.Fingerprint,
			AnswerStarted: a.began, Events: a.events, Err: orFailure(err, w.f.Status),
		})
	}
	came := a.cameTo(err)
	a.judge(bad, came)
	w.watch.report(came, a.replica.ID)
}

// fault is what the attempt shows of its replica, if its prompt was not read.
func (a *attempt) fault(err error, bad bool) placement.Fault {
	o, ok := asOutcome(err)
	switch {
	case a.left || err == nil && !bad:
		return placement.NoFault
	case isUnreached(err):
		return placement.Unreachable
	case ok && o.Kind == outcome.NotRun:
		return placement.Rejected
	case bad:
		return placement.Failed
	}
	return placement.NoFault
}

// held learns how long the run held its slot after its prompt was read.
func (a *attempt) held() {
	switch {
	case a.escalated:
		a.w.r.holds.Observe(a.kind, 0)
	case a.served && a.read:
		a.w.r.holds.Observe(a.kind, a.w.r.clock().Sub(a.readAt))
	}
}

func orFailure(err error, status int) error {
	if err != nil {
		return err
	}
	return errors.Newf("status %d", status)
}
