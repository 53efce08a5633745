package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/route"
)

// errEscalate says that the answer was dropped in favour of a larger model's.
var errEscalate = errors.New("the answer is doubtful")

// errHung marks a replica that gave no word in the time in which another can
// still be asked.
var errHung = errors.New("the replica gave no word")

// attempt is one dispatch of an opaque request.
type attempt struct {
	w       *forwarding
	placed  *placed
	replica *pool.Replica
	sent    time.Time
	// read says that the replica has read the prompt.
	read bool
	// served says that the answer was whole and a success.
	served bool
	// escalated says that its answer was dropped for a larger model's.
	escalated bool
	// events is how many were passed on.
	events int
	// ran says that the replica worked on the request.
	ran bool
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
	a.ran = true
	a.w.f.Runs++
	if !reply.Head().IsSuccess() {
		return a.keepFailure(reply)
	}
	if err := a.doubt(ctx, reply); err != nil {
		return err
	}
	if a.w.q.Route.Kind == route.Stream {
		return a.relay(reply, heard)
	}
	return a.whole(reply)
}

// count keeps when a refusing replica wants to be asked again, and counts a
// run of which no word came.
func (a *attempt) count(err error) {
	if a.ran {
		a.w.f.Runs++
	}
	if o, ok := asOutcome(err); ok && !o.RetryAt.IsZero() {
		a.w.retryAt = o.RetryAt
	}
}

// watch bounds the wait for the replica's first word where another replica
// can still be asked. heard ends the bound; end ends the attempt's context.
func (a *attempt) watch(ctx context.Context) (x context.Context, heard, end func()) {
	x, cancel := context.WithCancelCause(ctx)
	q := a.w.q
	if !q.Route.Repeats() || a.w.f.Runs+1 >= q.Route.MaxAttempts || q.Route.Target <= 0 {
		return x, func() {}, func() { cancel(nil) }
	}
	t := time.AfterFunc(a.patience(), func() { cancel(errHung) })
	return x, func() { t.Stop() }, func() {
		t.Stop()
		cancel(nil)
	}
}

// patience is how long the replica may take to its first word: several times
// what its work before the prompt says, where that is known.
func (a *attempt) patience() time.Duration {
	most := hangFactor * a.w.q.Route.Target
	if a.placed == nil || a.placed.ready == 0 {
		return most
	}
	e := a.w.r.delays.expect(a.w.f.Service, a.placed.ready)
	return min(most, max(minPatience, patienceFactor*e))
}

// doubt drops the answer of a small model that does not trust it itself, as
// long as a larger one may be asked and would answer in time.
func (a *attempt) doubt(ctx context.Context, reply Reply) error {
	w := a.w
	c, ok := reply.Confidence()
	if ok {
		w.f.Confidence = c
	}
	last := len(w.q.Route.Models) - 1
	if !ok || w.model < 0 || w.model >= last || w.started || c >= w.r.acceptConfidence {
		return nil
	}
	if w.f.Runs >= w.q.Route.MaxAttempts || !w.escalate(ctx, c) {
		return nil
	}
	a.served, a.escalated = true, true
	return errEscalate
}

// keepFailure reads a replica's own answer of failure. It is passed on unless
// another replica may be asked.
func (a *attempt) keepFailure(reply Reply) error {
	b, err := reply.Body()
	h := reply.Head()
	if err != nil {
		return outcome.New(outcome.Unknown, "read", a.replica.ID, err)
	}
	w := a.w
	w.f.Status = h.Status
	w.failure = &keptAnswer{head: h, body: b}
	if w.started {
		return outcome.New(outcome.Unknown, stepAnswer, a.replica.ID, errors.Newf("status %d for a stream that is resumed", h.Status)).WithStatus(h.Status)
	}
	if w.q.Route.Repeats() && w.f.Runs < w.q.Route.MaxAttempts && h.Status >= 500 && w.budget() {
		w.unknown = true
		return w.again(outcome.New(outcome.Unknown, stepAnswer, a.replica.ID, errors.Newf("status %d", h.Status)).WithStatus(h.Status))
	}
	return a.passFailure()
}

// again marks an error after which the next attempt is paid for already.
func (w *forwarding) again(err error) error {
	w.cause = err
	return errors.Mark(err, errEscalate)
}

// passFailure hands the replica's failure to the client.
func (a *attempt) passFailure() error {
	k := a.w.failure
	if err := a.w.out.Head(k.head); err != nil {
		return callerGone(err)
	}
	a.w.started = true
	if err := a.w.out.Body(k.body); err != nil {
		return callerGone(err)
	}
	return nil
}

// whole passes an answer on that must be had whole first.
func (a *attempt) whole(reply Reply) error {
	b, err := reply.Body()
	if err != nil {
		return outcome.New(outcome.Unknown, "read", a.replica.ID, err)
	}
	w := a.w
	w.f.FirstAt = w.r.clock()
	w.f.Status = reply.Head().Status
	w.started = true
	a.served = true
	if err := w.out.Head(reply.Head()); err != nil {
		return callerGone(err)
	}
	if err := w.out.Body(b); err != nil {
		return callerGone(err)
	}
	return nil
}

// relay passes events on as they come.
func (a *attempt) relay(reply Reply, heard func()) error {
	for {
		e, err := reply.Next()
		if err != nil && !isEnd(err) {
			return outcome.New(outcome.Unknown, "read", a.replica.ID, err)
		}
		if !a.read {
			heard()
			a.heard()
		}
		if isEnd(err) {
			a.served = true
			return a.begin(reply)
		}
		if err := a.pass(reply, e); err != nil {
			return err
		}
	}
}

// heard notes that the prompt is read: the replica's time for it is over.
func (a *attempt) heard() {
	a.read = true
	if a.w.f.FirstAt.IsZero() {
		a.w.f.FirstAt = a.w.r.clock()
	}
	a.w.read(a.placed, a.sent)
}

// begin hands the head on once.
func (a *attempt) begin(reply Reply) error {
	w := a.w
	if w.started {
		return nil
	}
	w.started = true
	w.f.Status = reply.Head().Status
	if err := w.out.Head(reply.Head()); err != nil {
		return callerGone(err)
	}
	return nil
}

func (a *attempt) pass(reply Reply, e Event) error {
	if err := a.begin(reply); err != nil {
		return err
	}
	if err := a.w.out.Event(e.Data); err != nil {
		return callerGone(err)
	}
	a.w.f.Events++
	a.events++
	if e.ID != "" {
		a.w.after = e.ID
	}
	return nil
}

// done gives the replica back and counts the outcome for its breaker and for
// its release.
func (a *attempt) done(err error) {
	w := a.w
	r := w.r
	w.unplace(a.placed)
	failed := err != nil && !a.served && !errors.Is(err, errCaller)
	bad := a.ran && !a.served && (failed || w.f.Status >= 500)
	r.backends.doneOpaque(a.replica.ID, bad, isUnreached(err), r.clock())
	if failed && !errors.Is(err, errEscalate) || bad {
		r.events.attempt(w.q.ID, a.replica.ID, orFailure(err, w.f.Status))
	}
	a.judge(bad)
}

func orFailure(err error, status int) error {
	if err != nil {
		return err
	}
	return errors.Newf("status %d", status)
}
