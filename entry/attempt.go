package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/outcome"
	"fieldvale/placement"
	"fieldvale/pool"
	"fieldvale/quarantine"
	"fieldvale/route"
)

// errRetryGranted marks errors after which the next attempt was already taken from the retry
// budget, or was chosen to replace the answer by a larger model's.
var errRetryGranted = errors.New("a further attempt was already granted")

// attempt is one dispatch of an opaque request.
type attempt struct {
	w          *forwarding
	assignment *assignment
	replica    *pool.Replica
	sentAt     time.Time
	// slotTimeKey is the key under which the time for which the run holds its slot is averaged.
	slotTimeKey string
	// promptRead is set once the replica has read the prompt, at promptReadAt.
	promptRead   bool
	promptReadAt time.Time
	// succeeded is set if the answer was complete and a success.
	succeeded bool
	// escalated is set if the answer was dropped for a larger model's.
	escalated bool
	// events is the number of events relayed, bytes their total size.
	events int
	bytes  int
	// comments are the comments and blank lines of the stream since its last event.
	comments comments
	// clientWait is the time for which events waited until the client, or its buffer, had taken
	// them. The replica is not slow for that.
	clientWait time.Duration
	// clientLeft is set if the client disconnected during the attempt; a broken connection is
	// then not the replica's fault.
	clientLeft bool
	// mayHaveRun is set unless the replica is known not to have run the request. headReceived is
	// set once the answer's head arrived, at headAt: an engine sends it when the run starts, a plain
	// service at its end.
	mayHaveRun   bool
	headReceived bool
	headAt       time.Time
	// survived is set once the answer has gone on for so long that its begin crashed no replica.
	survived bool
	// serverError is set if the replica answered with a status of 500 or above, failureComplete
	// if an error response of any status arrived completely.
	serverError     bool
	failureComplete bool
	// headWait measures the wait for the answer's head where two releases are compared; nil
	// otherwise and once the head arrived.
	headWait *headWait
	// monitor follows the stream if it may be moved to another replica; nil otherwise.
	monitor *streamMonitor
	// movedForSlowness is set if the attempt was ended because the stream was too slow for the time
	// left, which is no fault of the replica.
	movedForSlowness bool
}

// exchange sends the request and relays the answer.
func (a *attempt) exchange(ctx context.Context, d Dispatch) error {
	x, responded, end := a.withHangTimeout(ctx)
	defer end()
	x, endMonitor := a.monitorStream(x, ctx)
	defer endMonitor()
	reply, err := a.monitor.send(func() (Reply, error) { return a.w.r.upstream.Send(x, a.replica, d) })
	if err != nil {
		if errors.Is(context.Cause(x), errHung) {
			err = outcome.New(outcome.Unknown, "wait", a.replica.ID, errHung)
		}
		a.mayHaveRun = outcome.KindOf(err) != outcome.NotRun
		a.recordUnanswered(err)
		return err
	}
	defer reply.Close()
	a.mayHaveRun, a.headReceived, a.headAt = true, true, a.w.r.clock()
	a.w.result.Runs++
	a.w.result.recordVia(reply.Head().Via)
	if !reply.Head().IsSuccess() {
		a.serverError = reply.Head().Status >= 500
		return a.handleFailureAnswer(reply)
	}
	a.endHeadWait(true)
	if err := a.maybeEscalate(ctx, reply); err != nil {
		return err
	}
	if a.w.q.Route.Kind == route.Stream {
		return a.relayEvents(reply, responded)
	}
	return a.relayBody(reply)
}

// recordUnanswered counts an attempt that ran without an answer. It also keeps the retry time
// given by a refusing replica, unless the replica's requested backoff already covers it.
func (a *attempt) recordUnanswered(err error) {
	if a.mayHaveRun {
		a.w.result.Runs++
	}
	if o, ok := asOutcome(err); ok && !a.w.r.notices.IsBackingOff(a.replica.ID, a.w.r.clock()) {
		a.w.retryNoLaterThan(o.RetryAt)
	}
}

// done releases the replica and records the outcome for its breaker, release and quarantine.
func (a *attempt) done(err error) {
	w := a.w
	r := w.r
	a.recordSlotTime()
	a.recordOutput()
	a.recordFinish()
	a.endHeadWait(false)
	failed := err != nil && !a.succeeded && !a.clientLeft && !errors.Is(err, errCallerGone)
	bad := a.mayHaveRun && !a.succeeded && !a.movedForSlowness && (failed || w.result.Status >= 500)
	w.abandonPrompt(a.assignment, a.placementFault(err, bad))
	if isUnreachable(err) && w.coldPerSecond() > 0 {
		r.quota.ReportUnreachable(w.result.Service, a.replica.ID)
	}
	a.endPermit(err)
	r.backends.doneOpaque(a.replica.ID, bad, isUnreachable(err), r.clock())
	observed := a.quarantineOutcome(err)
	if failed && !errors.Is(err, errRetryGranted) || bad {
		w.result.Fingerprint = w.q.Fingerprint().String()
		r.hooks.attemptFailed(FailedAttempt{
			Request: w.q.ID, Service: w.result.Service, Replica: a.replica.ID, Fingerprint: w.result.Fingerprint,
			SharedParts: w.q.Prompt.SharedPartIDs(), AnswerStarted: a.headReceived, HeadAt: a.headAt, Events: a.events,
			ReplicaCrashed: observed == quarantine.ReplicaCrashed, Err: errorOrStatus(err, w.result.Status),
		})
	}
	a.judgeRelease(bad, observed)
	if a.succeeded && !a.escalated {
		a.recordSurvival()
	}
	w.guard.Report(a.quarantineResult(observed))
}

// endPermit returns the permit of a request that did not reach the replica, and reports the end of
// another one.
func (a *attempt) endPermit(err error) {
	if isUnreachable(err) {
		a.w.r.quota.ReleasePermit(a.assignment.permit)
		return
	}
	o, ok := asOutcome(err)
	isRejected := ok && o.Kind == outcome.NotRun && o.Status == http.StatusServiceUnavailable
	a.w.r.quota.ReportEnd(a.assignment.permit, isRejected)
}

// placementFault is the fault reported to the placer if the prompt was not read.
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

// recordSlotTime records how long the run held its slot after its prompt was read.
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
	return errors.Newf("the replica answered with status %d", status)
}
