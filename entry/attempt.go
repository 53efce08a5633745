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

// errRetryGranted marks failures after which the next attempt has its place in the
// budget already, or was chosen in favour of a larger model's answer.
var errRetryGranted = errors.New("the next attempt is paid for")

// attempt is one dispatch of an opaque request.
type attempt struct {
	w          *forwarding
	assignment *assignment
	replica    *pool.Replica
	sentAt     time.Time
	// slotTimeKey is what the run's time is learnt by.
	slotTimeKey string
	// promptRead says that the replica has promptRead the prompt, at readAt.
	promptRead   bool
	promptReadAt time.Time
	// succeeded says that the answer was whole and a success.
	succeeded bool
	// escalated says that its answer was dropped for a larger model's.
	escalated bool
	// events is how many were passed on, and bytes what they had.
	events int
	bytes  int
	// clientLeft says that the client clientLeft meanwhile: what broke off then was no
	// fault of the replica.
	clientLeft bool
	// mayHaveRun says that the replica worked on the request, and began that its answer's head
	// came: an engine sends it as the run begins, a plain service at its end.
	mayHaveRun   bool
	headReceived bool
	// serverError says that the replica answered with a failure, refusedWhole that this came
	// whole.
	serverError     bool
	failureComplete bool
	// headWait is counted where two releases are compared; nil elsewhere and once the
	// answer's head is there.
	headWait *headWait
}

// exchange sends and passes the answer on.
func (a *attempt) exchange(ctx context.Context, d Dispatch) error {
	x, heard, end := a.withHangTimeout(ctx)
	defer end()
	reply, err := a.w.r.upstream.Send(x, a.replica, d)
	if err != nil {
		if errors.Is(context.Cause(x), errHung) {
			err = outcome.New(outcome.Unknown, "wait", a.replica.ID, errHung)
		}
		a.mayHaveRun = outcome.Of(err) != outcome.NotRun
		a.recordUnanswered(err)
		return err
	}
	defer reply.Close()
	a.mayHaveRun, a.headReceived = true, true
	a.w.result.Runs++
	if !reply.Head().IsSuccess() {
		a.serverError = reply.Head().Status >= 500
		return a.handleFailureAnswer(reply)
	}
	a.endHeadWait(true)
	if err := a.maybeEscalate(ctx, reply); err != nil {
		return err
	}
	if a.w.q.Route.Kind == route.Stream {
		return a.relayEvents(reply, heard)
	}
	return a.relayBody(reply)
}

// recordUnanswered keeps when a refusing replica wants to be asked again, unless that is one of its
// notices, and counts a run of which no word came.
func (a *attempt) recordUnanswered(err error) {
	if a.mayHaveRun {
		a.w.result.Runs++
	}
	if o, ok := asOutcome(err); ok && !a.w.r.notices.IsBackingOff(a.replica.ID, a.w.r.clock()) {
		a.w.retryNoLaterThan(o.RetryAt)
	}
}

// done gives the replica back and counts the outcome for its breaker and for
// its release.
func (a *attempt) done(err error) {
	w := a.w
	r := w.r
	a.recordSlotTime()
	a.endHeadWait(false)
	failed := err != nil && !a.succeeded && !a.clientLeft && !errors.Is(err, errCallerGone)
	bad := a.mayHaveRun && !a.succeeded && (failed || w.result.Status >= 500)
	w.abandonPrompt(a.assignment, a.placementFault(err, bad))
	if isUnreachable(err) {
		r.quota.Return(a.assignment.permit)
		if w.coldPerSecond() > 0 {
			r.quota.Unreached(w.result.Service, a.replica.ID)
		}
	}
	r.backends.doneOpaque(a.replica.ID, bad, isUnreachable(err), r.clock())
	if failed && !errors.Is(err, errRetryGranted) || bad {
		w.result.Fingerprint = w.q.Fingerprint().String()
		r.hooks.attemptFailed(FailedAttempt{
			Request: w.q.ID, Service: w.result.Service, Replica: a.replica.ID, Fingerprint: w.result.Fingerprint,
			AnswerStarted: a.headReceived, Events: a.events, Err: errorOrStatus(err, w.result.Status),
		})
	}
	came := a.quarantineOutcome(err)
	a.judgeRelease(bad, came)
	w.quarantineCheck.report(came, a.replica.ID)
}

// placementFault is what the attempt shows of its replica, if its prompt was not read.
func (a *attempt) placementFault(err error, bad bool) placement.Fault {
	o, ok := asOutcome(err)
	switch {
	case a.clientLeft || err == nil && !bad:
		return placement.NoFault
	case isUnreachable(err):
		return placement.Unreachable
	case ok && o.Kind == outcome.NotRun:
		return placement.Rejected
	case bad:
		return placement.Failed
	}
	return placement.NoFault
}

// recordSlotTime learns how long the run recordSlotTime its slot after its prompt was read.
func (a *attempt) recordSlotTime() {
	switch {
	case a.escalated:
		a.w.r.slotTimes.Observe(a.slotTimeKey, 0)
	case a.succeeded && a.promptRead:
		a.w.r.slotTimes.Observe(a.slotTimeKey, a.w.r.clock().Sub(a.promptReadAt))
	}
}

func errorOrStatus(err error, status int) error {
	if err != nil {
		return err
	}
	return errors.Newf("status %d", status)
}
