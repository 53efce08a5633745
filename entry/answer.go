package entry

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/outcome"
)

// keptAnswer is a whole answer of failure that a replica gave.
type keptAnswer struct {
	head Head
	body []byte
}

// keepFailure reads a replica's own answer of failure. It is passed on unless
// another replica may be asked.
func (a *attempt) keepFailure(reply Reply) error {
	b, err := reply.Body()
	h := reply.Head()
	if err != nil {
		return outcome.New(outcome.Unknown, "read", a.replica.ID, err)
	}
	a.refusedWhole = true
	w := a.w
	w.f.Status = h.Status
	w.failure = &keptAnswer{head: h, body: b}
	w.began(a.sent)
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
	return errors.Mark(err, errPaid)
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
	w.f.FirstByteAt = w.r.clock()
	w.began(a.sent)
	w.f.Status = reply.Head().Status
	w.started = true
	a.served = true
	w.r.answers.saw(w.q.Route.Name, len(b))
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
			a.w.r.answers.saw(a.w.q.Route.Name, a.bytes)
			return a.begin(reply)
		}
		if err := a.pass(reply, e); err != nil {
			return err
		}
	}
}

// heard notes that the prompt is read: the replica's time for it is over.
func (a *attempt) heard() {
	a.read, a.readAt = true, a.w.r.clock()
	a.w.began(a.readAt)
	if a.w.f.FirstByteAt.IsZero() {
		a.w.f.FirstByteAt = a.readAt
	}
	a.w.read(a.placed, a.sent)
}

// began tells once that the request began to run.
func (w *forwarding) began(at time.Time) {
	if f := w.r.events.RequestStarted; f != nil && !w.hasBegun {
		w.hasBegun = true
		f(w.q.Customer.Name, at)
	}
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

// pass passes one event on.
func (a *attempt) pass(reply Reply, e Event) error {
	if err := a.begin(reply); err != nil {
		return err
	}
	if err := a.w.out.Event(e.Data); err != nil {
		return callerGone(err)
	}
	a.w.f.Events++
	a.events++
	a.bytes += len(e.Data)
	if e.ID != "" {
		a.w.after = e.ID
	}
	return nil
}

// isEnd reports whether a stream ended as it should.
func isEnd(err error) bool { return errors.Is(err, io.EOF) }
