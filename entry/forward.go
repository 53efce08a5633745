package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/budget"
	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/prompt"
	"fieldvale/quarantine"
)

const (
	// maxRefusals bounds how many replicas may refuse a request before the client is asked to
	// retry later.
	maxRefusals = 3
	// maxUnreachable bounds the attempts at replicas that can't be connected to. Each of them
	// resets at once or takes one dial timeout.
	maxUnreachable = 8
	// refusalRetryDelay is the delay after which a client refused by all replicas should retry.
	refusalRetryDelay = 250 * time.Millisecond
)

// forwarding is the state of one opaque request being forwarded.
type forwarding struct {
	r      *Router
	q      *OpaqueRequest
	out    ForwardSink
	result *ForwardResult
	// clientWriter buffers the answer for the client; nil if answers are not buffered.
	clientWriter *clientWriter

	tried    []string
	refusals int
	// unreachable counts the replicas that could not be connected to.
	unreachable int
	// nextAssignment is the replica for the next attempt, if it was chosen already.
	nextAssignment *assignment
	// grant is the retry that the next attempt uses.
	grant retryGrant
	// modelIndex is an index into the route's models; if negative, the client's model is kept.
	modelIndex int
	// escalatedFrom is the index of the model whose answer was dropped for this one's; negative
	// if there is none.
	escalatedFrom int
	// movedForSlowness is set once the stream was moved to another replica because it was too slow.
	movedForSlowness bool
	// answerStarted is set once a part of the answer was written to the client.
	answerStarted bool
	// lastEventID is the id of the last event written to the client or buffered for it.
	lastEventID string
	guard       quarantine.Guard
	// startReported is set once the RequestStarted hook was called.
	startReported bool
	// mayHaveRun is set if an attempt may have run without an answer.
	mayHaveRun bool
	retryAt    time.Time
	cause      error
	// failureAnswer is the last complete error response of a replica.
	failureAnswer *failureAnswer
}

// Forward routes a request to a replica of its service and relays the answer to out. The error is
// a *Failure; if out had received its head by then, the caller must abort the answer.
func (r *Router) Forward(ctx context.Context, q *OpaqueRequest, out ForwardSink) (*ForwardResult, error) {
	x, cancel := context.WithTimeout(ctx, q.EffectiveDeadline().Sub(r.clock()))
	defer cancel()
	w := &forwarding{r: r, q: q, out: out, lastEventID: q.LastEventID, modelIndex: -1, escalatedFrom: -1}
	w.result = &ForwardResult{Request: q, Service: q.Route.SelectService(q.ID), Confidence: -1}
	w.guard = quarantine.NewGuard(r.quarantine, q.subjects(w.result.Service))
	if len(q.Route.Models) > 0 && (q.Prompt.Model == prompt.AnyModel || q.Prompt.Model == "") {
		w.modelIndex = 0
	}
	r.activeForwards.add(w, cancel)
	defer r.activeForwards.remove(w)
	r.retries.RecordRequest(w.result.Service)
	w.bufferAnswer(ctx, x, cancel)
	err := w.endAnswer(w.run(x))
	w.result.EndedAt = r.clock()
	if err == nil {
		return w.result, nil
	}
	f := w.failure(ctx, err)
	w.result.Outcome, w.result.Code, w.result.Cause = f.Outcome, f.Code, f.Cause
	return w.result, f
}

// errNoAttemptLeft reports that no replica was left for another attempt.
var errNoAttemptLeft = errors.New("no further attempt may be made")

// run makes attempts until the request is answered or no further attempt is allowed.
func (w *forwarding) run(ctx context.Context) error {
	defer w.returnGrant()
	defer w.releaseNextAssignment()
	for {
		err := w.attempt(ctx)
		if err == nil || w.isOver(ctx, err) {
			return err
		}
	}
}

// isOver decides whether the request ends with err or is sent to another replica.
func (w *forwarding) isOver(ctx context.Context, err error) bool {
	if errors.Is(err, errRetryGranted) && (ctx.Err() == nil || !isStreamMove(err)) {
		return false
	}
	if errors.Is(err, errNoAttemptLeft) {
		return w.stopIf(true, "no replica left")
	}
	if errors.Is(err, quarantine.ErrQuarantined) {
		w.cause = errors.CombineErrors(err, w.cause)
		return w.stopIf(true, "quarantined: "+w.result.Verdict.Decision.String())
	}
	if errors.Is(err, errTooLateAlready) {
		w.cause = err
		return w.stopIf(true, "too late already")
	}
	if errors.Is(err, errOverShare) {
		w.cause = err
		return w.stopIf(true, "over its share")
	}
	if w.r.activeForwards.isEnded() {
		w.cause = err
		return w.stopIf(true, "the instance stops")
	}
	isLate := !w.r.clock().Before(w.q.EffectiveDeadline())
	if errors.Is(err, errCallerGone) || errors.Is(ctx.Err(), context.Canceled) && !isLate {
		return w.stopIf(true, "the client left")
	}
	w.cause = err
	if ctx.Err() != nil || isLate {
		return w.stopIf(true, "out of time")
	}
	switch {
	case isUnreachable(err):
		return w.isOverUnreachable()
	case outcome.KindOf(err) == outcome.NotRun:
		return w.isOverRefused()
	}
	return w.isOverRan(err)
}

// isOverUnreachable counts a replica that could not be connected to, up to maxUnreachable.
func (w *forwarding) isOverUnreachable() bool {
	w.unreachable++
	return w.stopIf(w.unreachable >= maxUnreachable, "replicas out of reach")
}

// isOverRefused counts a replica that refused the request, up to maxRefusals and the retry budget.
func (w *forwarding) isOverRefused() bool {
	w.refusals++
	return w.stopIf(w.refusals >= maxRefusals, "replicas refused") || w.stopIf(!w.takeRetry(budget.Failure), "no budget")
}

// isOverRan decides after an attempt that ran or may have run.
func (w *forwarding) isOverRan(err error) bool {
	if outcome.KindOf(err) == outcome.Unknown {
		w.mayHaveRun = true
	}
	return w.stopIf(!w.q.Route.AllowsRetry(), "may run once") ||
		w.stopIf(w.result.Runs >= w.q.Route.MaxAttempts, "attempts used") ||
		w.stopIf(!w.takeRetry(budget.Failure), "no budget")
}

// stopIf records why no further attempt is made if over is set, and returns over.
func (w *forwarding) stopIf(over bool, reason string) bool {
	if over {
		w.result.StopReason = reason
	}
	return over
}

// isUnreachable reports whether no connection to the replica was made. The request did not arrive
// there, so the attempt does not use up the retry budget.
func isUnreachable(err error) bool {
	o, ok := asOutcome(err)
	return ok && o.Kind == outcome.NotRun && o.Status == 0
}

// attempt sends the request to one replica and relays its answer.
func (w *forwarding) attempt(ctx context.Context) error {
	p := w.nextAssignment
	w.nextAssignment = nil
	if err := w.checkQuarantine(ctx); err != nil {
		if p != nil {
			w.releaseAssignment(p)
		}
		return err
	}
	if p = w.acquireReplica(ctx, p); p == nil {
		w.guard.CancelTrial()
		return errors.CombineErrors(errNoAttemptLeft, w.cause)
	}
	if err := w.refusal(p); err != nil {
		w.guard.CancelTrial()
		w.releaseAssignment(p)
		return err
	}
	b := p.replica
	d := Dispatch{Request: w.q, LastEventID: w.lastEventID, Deadline: w.q.EffectiveDeadline(), Priority: w.dispatchPriority(p)}
	if w.modelIndex >= 0 {
		d.Model = w.q.Route.Models[w.modelIndex]
	}
	w.result.Sends++
	w.result.Tried = append(w.result.Tried, b.ID)
	w.result.Replica, w.result.Release, w.result.Model = b.ID, b.Release, d.Model
	w.result.recordExpectation(p)
	w.tried = append(w.tried, b.ID)
	a := &attempt{w: w, assignment: p, replica: b, sentAt: w.r.clock(), slotTimeKey: w.slotTimeKey()}
	a.startHeadWait()
	g := w.grant
	w.grant = retryGrant{}
	err := a.exchange(ctx, d)
	if isUnreachable(err) {
		w.returnGrant()
		w.grant = g
	}
	a.clientLeft = errors.Is(ctx.Err(), context.Canceled)
	a.done(err)
	return err
}

// assignReplica chooses a replica among those that the service's release allows.
func (w *forwarding) assignReplica(ctx context.Context) *assignment {
	v := w.r.view.Get()
	l := w.inAllowedRegions(v.byService[w.result.Service])
	w.result.Excluded = w.r.notices.ExclusionSummary(pool.IDs(l), w.r.clock())
	rel, ok := v.Releases[w.result.Service]
	if !ok {
		return w.assignAmong(ctx, l)
	}
	skipped := len(w.result.Skipped)
	p := w.assignAmong(ctx, w.replicasByRelease(l, rel))
	if p == nil && (len(w.result.Skipped) > skipped || w.result.Excluded != "") && w.mayUseOldRelease(rel) {
		return w.assignAmong(ctx, oldReplicas(l, rel))
	}
	return p
}

// modelName is the model that the request is sent to.
func (w *forwarding) modelName() string {
	if w.modelIndex >= 0 {
		return w.q.Route.Models[w.modelIndex]
	}
	return w.q.Prompt.Model
}

// failure is the final error of the request.
func (w *forwarding) failure(ctx context.Context, err error) *Failure {
	f := &Failure{Code: Refused, Outcome: outcome.NotRun, RetryAt: w.retryAt, Message: "no replica took the request", Cause: err}
	if w.cause != nil {
		f.Cause = w.cause
	}
	if errors.Is(err, quarantine.ErrQuarantined) {
		f.Code, f.Message = Quarantined, quarantine.ErrQuarantined.Error()
	}
	switch {
	case w.mayHaveRun || w.answerStarted:
		f.Code, f.Outcome, f.Message = BackendFailed, outcome.Unknown, "the backend servers failed"
	case w.result.Runs > 0:
		f.Code, f.Outcome, f.Message = BackendFailed, outcome.Ran, "the backend servers failed"
	}
	if !w.r.clock().Before(w.q.EffectiveDeadline()) && ctx.Err() == nil {
		f.Code, f.Message = DeadlineExceeded, "the deadline passed"
	}
	if f.RetryAt.IsZero() {
		f.RetryAt = w.r.backoffEndsAt(w.r.view.Get().byService[w.result.Service])
	}
	if f.RetryAt.IsZero() {
		f.RetryAt = w.r.clock().Add(refusalRetryDelay)
	}
	return f
}
