package entry

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/outcome"
)

// failureAnswer is a whole answer of failure that a replica gave.
type failureAnswer struct {
	head Head
	body []byte
}

// handleFailureAnswer reads a replica's own answer of failure. It is passed on unless
// another replica may be asked.
func (a *attempt) handleFailureAnswer(reply Reply) error {
	b, err := reply.Body()
	h := reply.Head()
	if err != nil {
		return outcome.New(outcome.Unknown, "read", a.replica.ID, err)
	}
	a.failureComplete = true
	w := a.w
	w.result.Status = h.Status
	w.failureAnswer = &failureAnswer{head: h, body: b}
	w.reportStarted(a.sentAt)
	if w.answerStarted {
		return outcome.New(outcome.Unknown, stepAnswer, a.replica.ID, errors.Newf("status %d for a stream that is resumed", h.Status)).WithStatus(h.Status)
	}
	if w.q.Route.Repeats() && w.result.Runs < w.q.Route.MaxAttempts && h.Status >= 500 && w.takeRetry() {
		w.mayHaveRun = true
		return w.markRetryGranted(outcome.New(outcome.Unknown, stepAnswer, a.replica.ID, errors.Newf("status %d", h.Status)).WithStatus(h.Status))
	}
	return a.sendFailure()
}

// markRetryGranted marks an error after which the next attempt is paid for already.
func (w *forwarding) markRetryGranted(err error) error {
	w.cause = err
	return errors.Mark(err, errRetryGranted)
}

// sendFailure hands the replica's failure to the client.
func (a *attempt) sendFailure() error {
	k := a.w.failureAnswer
	if err := a.w.out.Head(k.head); err != nil {
		return callerGone(err)
	}
	a.w.answerStarted = true
	if err := a.w.out.Body(k.body); err != nil {
		return callerGone(err)
	}
	return nil
}

// relayBody passes an answer on that must be had relayBody first.
func (a *attempt) relayBody(reply Reply) error {
	b, err := reply.Body()
	if err != nil {
		return outcome.New(outcome.Unknown, "read", a.replica.ID, err)
	}
	w := a.w
	w.result.FirstByteAt = w.r.clock()
	w.reportStarted(a.sentAt)
	w.result.Status = reply.Head().Status
	w.answerStarted = true
	a.succeeded = true
	w.r.answerSizes.observe(w.q.Route.Name, len(b))
	if err := w.out.Head(reply.Head()); err != nil {
		return callerGone(err)
	}
	if err := w.out.Body(b); err != nil {
		return callerGone(err)
	}
	return nil
}

// relayEvents passes events on as they come.
func (a *attempt) relayEvents(reply Reply, heard func()) error {
	for {
		e, err := reply.Next()
		if err != nil && !isStreamEnd(err) {
			return outcome.New(outcome.Unknown, "read", a.replica.ID, err)
		}
		if !a.promptRead {
			heard()
			a.recordFirstEvent()
		}
		if isStreamEnd(err) {
			a.succeeded = true
			a.w.r.answerSizes.observe(a.w.q.Route.Name, a.bytes)
			return a.sendHead(reply)
		}
		if err := a.sendEvent(reply, e); err != nil {
			return err
		}
	}
}

// recordFirstEvent notes that the prompt is read: the replica's time for it is over.
func (a *attempt) recordFirstEvent() {
	a.promptRead, a.promptReadAt = true, a.w.r.clock()
	a.w.reportStarted(a.promptReadAt)
	if a.w.result.FirstByteAt.IsZero() {
		a.w.result.FirstByteAt = a.promptReadAt
	}
	a.w.recordPromptRead(a.assignment, a.sentAt)
}

// reportStarted tells once that the request reportStarted to run.
func (w *forwarding) reportStarted(at time.Time) {
	if f := w.r.hooks.RequestStarted; f != nil && !w.startReported {
		w.startReported = true
		f(w.q.Customer.Name, at)
	}
}

// sendHead hands the head on once.
func (a *attempt) sendHead(reply Reply) error {
	w := a.w
	if w.answerStarted {
		return nil
	}
	w.answerStarted = true
	w.result.Status = reply.Head().Status
	if err := w.out.Head(reply.Head()); err != nil {
		return callerGone(err)
	}
	return nil
}

// sendEvent passes one event on.
func (a *attempt) sendEvent(reply Reply, e Event) error {
	if err := a.sendHead(reply); err != nil {
		return err
	}
	if err := a.w.out.Event(e.Data); err != nil {
		return callerGone(err)
	}
	a.w.result.Events++
	a.events++
	a.bytes += len(e.Data)
	if e.ID != "" {
		a.w.lastEventID = e.ID
	}
	return nil
}

// isStreamEnd reports whether a stream ended as it should.
func isStreamEnd(err error) bool { return errors.Is(err, io.EOF) }
