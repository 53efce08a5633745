package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/prompt"
)

const (
	// maxRefusals bounds how many replicas may turn a request away before the
	// client is told to come back.
	maxRefusals = 3
	// maxUnreached bounds how many replicas that can't be connected to are
	// tried; those reset at once or take a dial's time.
	maxUnreached = 8
	// refusedRetry is when a client should come back that no replica took.
	refusedRetry = 250 * time.Millisecond
)

// forwarding is one opaque request on its way.
type forwarding struct {
	r   *Router
	q   *OpaqueRequest
	out ForwardSink
	f   *ForwardResult

	tried    []string
	refusals int
	// unreached counts replicas that could not be connected to.
	unreached int
	// next is the replica for the next attempt, if it is chosen already.
	next *placed
	// model is an index into the route's models; below 0 the client's stays.
	model int
	// askedBy is the model whose answer was dropped for this one's; below 0
	// there was none.
	askedBy int
	// started says that the client has some of the answer.
	started bool
	// after is the last event that the client has.
	after string
	watch watch
	// hasBegun says that it was told that the request began to run.
	hasBegun bool
	// unknown says that some attempt may have run without an answer.
	unknown bool
	retryAt time.Time
	cause   error
	// failure is a whole answer of failure that a replica gave.
	failure *keptAnswer
}

// Forward routes a request to a replica of its service and passes the answer
// on. The error is a *Failure; if the sink had its head by then, the answer
// must be broken off.
func (r *Router) Forward(ctx context.Context, q *OpaqueRequest, out ForwardSink) (*ForwardResult, error) {
	x, cancel := context.WithTimeout(ctx, q.until().Sub(r.clock()))
	defer cancel()
	w := &forwarding{r: r, q: q, out: out, after: q.LastEventID, model: -1, askedBy: -1, watch: watch{quarantine: r.quarantine, content: q.Fingerprint}}
	w.f = &ForwardResult{Request: q, Service: q.Route.Service(q.ID), Confidence: -1}
	if len(q.Route.Models) > 0 && (q.Prompt.Model == prompt.AnyModel || q.Prompt.Model == "") {
		w.model = 0
	}
	r.underway.add(w, cancel)
	defer r.underway.remove(w)
	r.received(w.f.Service)
	err := w.run(x)
	w.f.EndedAt = r.clock()
	if err == nil {
		return w.f, nil
	}
	f := w.failed(ctx, err)
	w.f.Outcome, w.f.Code, w.f.Cause = f.Outcome, f.Code, f.Cause
	return w.f, f
}

// errGiveUp says that no further attempt may be made.
var errGiveUp = errors.New("no further attempt may be made")

// run makes one attempt after another until the request is over.
func (w *forwarding) run(ctx context.Context) error {
	for {
		err := w.attempt(ctx)
		if err == nil || w.over(ctx, err) {
			return err
		}
	}
}

// over decides whether the request ends with err or goes to another replica.
func (w *forwarding) over(ctx context.Context, err error) bool {
	if errors.Is(err, errPaid) {
		return false
	}
	if errors.Is(err, errGiveUp) {
		return w.ends(true, "no replica left")
	}
	if errors.Is(err, errQuarantined) {
		w.cause = errors.CombineErrors(err, w.cause)
		return w.ends(true, "quarantined: "+w.f.Verdict.Decision.String())
	}
	if errors.Is(err, errHopeless) {
		w.cause = err
		return w.ends(true, "too late already")
	}
	isLate := !w.r.clock().Before(w.q.until())
	if errors.Is(err, errCaller) || errors.Is(ctx.Err(), context.Canceled) && !isLate {
		return w.ends(true, "the client left")
	}
	w.cause = err
	if ctx.Err() != nil || isLate {
		return w.ends(true, "out of time")
	}
	switch {
	case isUnreached(err):
		return w.overUnreached()
	case outcome.Of(err) == outcome.NotRun:
		return w.overRefused()
	}
	return w.overRan(err)
}

// overUnreached counts a replica that could not be connected to.
func (w *forwarding) overUnreached() bool {
	w.unreached++
	return w.ends(w.unreached >= maxUnreached, "replicas out of reach")
}

// overRefused counts a replica that turned the request away.
func (w *forwarding) overRefused() bool {
	w.refusals++
	return w.ends(w.refusals >= maxRefusals, "replicas refused") || w.ends(!w.budget(), "no budget")
}

// overRan decides after an attempt that ran or may have run.
func (w *forwarding) overRan(err error) bool {
	if outcome.Of(err) == outcome.Unknown {
		w.unknown = true
	}
	return w.ends(!w.q.Route.Repeats(), "may run once") ||
		w.ends(w.f.Runs >= w.q.Route.MaxAttempts, "attempts used") ||
		w.ends(!w.budget(), "no budget")
}

// ends notes why no further attempt is made, if that is so.
func (w *forwarding) ends(over bool, why string) bool {
	if over {
		w.f.StopReason = why
	}
	return over
}

// isUnreached reports whether the replica was not connected to: nothing
// arrived there, so that no repeat is counted.
func isUnreached(err error) bool {
	o, ok := asOutcome(err)
	return ok && o.Kind == outcome.NotRun && o.Status == 0
}

// budget takes a repeat after a failure.
func (w *forwarding) budget() bool {
	return w.r.mayRepeat(w.f.Service, 0)
}

// attempt sends the request to one replica and passes its answer on.
func (w *forwarding) attempt(ctx context.Context) error {
	p := w.next
	w.next = nil
	if err := w.allowed(ctx); err != nil {
		if p != nil {
			w.giveBack(p)
		}
		return err
	}
	if p = w.begun(ctx, p); p == nil {
		w.watch.untried()
		return errors.CombineErrors(errGiveUp, w.cause)
	}
	if w.hopeless(p) {
		w.watch.untried()
		w.giveBack(p)
		return errHopeless
	}
	b := p.replica
	d := Dispatch{Request: w.q, LastEventID: w.after, Deadline: w.q.until(), Priority: w.q.priority()}
	if w.model >= 0 {
		d.Model = w.q.Route.Models[w.model]
	}
	w.f.Sends++
	w.f.Tried = append(w.f.Tried, b.ID)
	w.f.Replica, w.f.Release, w.f.Model = b.ID, b.Release, d.Model
	w.tried = append(w.tried, b.ID)
	a := &attempt{w: w, placed: p, replica: b, sent: w.r.clock(), kind: w.holdKey()}
	a.await()
	err := a.exchange(ctx, d)
	a.left = errors.Is(ctx.Err(), context.Canceled)
	a.done(err)
	return err
}

// take chooses a replica among those that the release allows.
func (w *forwarding) take(ctx context.Context) *placed {
	v := w.r.view.Get()
	l := w.inRegions(v.byService[w.f.Service])
	w.f.Excluded = w.r.notices.ExclusionSummary(pool.IDs(l), w.r.clock())
	rel, ok := v.Releases[w.f.Service]
	if !ok {
		return w.place(ctx, l)
	}
	passed := len(w.f.Skipped)
	p := w.place(ctx, w.ofRelease(l, rel))
	if p == nil && (len(w.f.Skipped) > passed || w.f.Excluded != "") && w.mayStay(rel) {
		return w.place(ctx, ofOld(l, rel))
	}
	return p
}

// modelName is the model that the request goes to.
func (w *forwarding) modelName() string {
	if w.model >= 0 {
		return w.q.Route.Models[w.model]
	}
	return w.q.Prompt.Model
}

// failed is the last word on the request.
func (w *forwarding) failed(ctx context.Context, err error) *Failure {
	f := &Failure{Code: Refused, Outcome: outcome.NotRun, RetryAt: w.retryAt, Message: "no replica took the request", Cause: err}
	if w.cause != nil {
		f.Cause = w.cause
	}
	if errors.Is(err, errQuarantined) {
		f.Code, f.Message = Quarantined, errQuarantined.Error()
	}
	switch {
	case w.unknown || w.started:
		f.Code, f.Outcome, f.Message = BackendFailed, outcome.Unknown, "the backend servers failed"
	case w.f.Runs > 0:
		f.Code, f.Outcome, f.Message = BackendFailed, outcome.Ran, "the backend servers failed"
	}
	if !w.r.clock().Before(w.q.until()) && ctx.Err() == nil {
		f.Code, f.Message = DeadlineExceeded, "the deadline passed"
	}
	if f.RetryAt.IsZero() {
		f.RetryAt = w.r.restedAt(w.r.view.Get().byService[w.f.Service])
	}
	if f.RetryAt.IsZero() {
		f.RetryAt = w.r.clock().Add(refusedRetry)
	}
	return f
}
