package entry

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/budget"
	"fieldvale/outcome"
)

// failureAnswer is a complete error response of a replica.
type failureAnswer struct {
	head Head
	body []byte
}

// handleFailureAnswer reads a replica's error response. It is relayed to the client unless
// another replica may be tried.
func (a *attempt) handleFailureAnswer(reply Reply) error {
	b, err := a.readBody(reply)
	h := reply.Head()
	if err != nil {
		return err
	}
	a.failureComplete = true
	w := a.w
	w.failureAnswer = &failureAnswer{head: h, body: b}
	w.reportStarted(a.sentAt)
	if w.answerStarted {
		return outcome.New(outcome.Unknown, stepAnswer, a.replica.ID, errors.Newf("the replica answered with status %d instead of resuming the stream", h.Status)).WithStatus(h.Status)
	}
	w.result.Status = h.Status
	if w.q.Route.AllowsRetry() && w.result.Runs < w.q.Route.MaxAttempts && h.Status >= 500 && w.takeRetry(budget.Failure) {
		w.mayHaveRun = true
		return w.markRetryGranted(outcome.New(outcome.Unknown, stepAnswer, a.replica.ID, errors.Newf("the replica answered with status %d", h.Status)).WithStatus(h.Status))
	}
	return a.sendFailure()
}

// markRetryGranted marks an error after which the next attempt was already taken from the budget.
func (w *forwarding) markRetryGranted(err error) error {
	w.cause = err
	return errors.Mark(err, errRetryGranted)
}

// sendFailure writes the replica's error response to the client.
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

// relayBody relays an answer after reading it completely.
func (a *attempt) relayBody(reply Reply) error {
	b, err := a.readBody(reply)
	if err != nil {
		return err
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

// readBody reads the whole body of an answer.
func (a *attempt) readBody(reply Reply) ([]byte, error) {
	b, err := reply.Body()
	if err == nil && a.isCutOff(reply, false) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, outcome.New(outcome.Unknown, "read", a.replica.ID, err)
	}
	return b, nil
}

// isCutOff reports whether an answer that was read to its end may be incomplete: it ends with its
// connection, and the replica crashed or sent nothing at all.
func (a *attempt) isCutOff(reply Reply, isEmpty bool) bool {
	return reply.Head().EndsWithConnection && (isEmpty || a.w.r.isDown(a.replica))
}

// relayEvents relays the events of a stream on arrival. It calls responded on the first one.
func (a *attempt) relayEvents(reply Reply, responded func()) error {
	for {
		e, err := a.monitor.next(reply)
		if isStreamMove(err) {
			return err
		}
		if isStreamEnd(err) && a.isCutOff(reply, a.events == 0 && a.w.lastEventID == "") {
			err = io.ErrUnexpectedEOF
		}
		if err != nil && !isStreamEnd(err) {
			return outcome.New(outcome.Unknown, "read", a.replica.ID, err)
		}
		if err == nil && e.IsComment {
			if err := a.relayComment(e); err != nil {
				return err
			}
			continue
		}
		if !a.promptRead {
			responded()
			a.recordFirstEvent()
		}
		if isStreamEnd(err) {
			a.succeeded = true
			a.w.r.answerSizes.observe(a.w.q.Route.Name, a.bytes)
			return a.endEvents(reply)
		}
		if err := a.sendEvent(reply, e); err != nil {
			return err
		}
	}
}

// recordFirstEvent records that the replica has read the prompt.
func (a *attempt) recordFirstEvent() {
	a.promptRead, a.promptReadAt = true, a.w.r.clock()
	a.w.reportStarted(a.promptReadAt)
	if a.w.result.FirstByteAt.IsZero() {
		a.w.result.FirstByteAt = a.promptReadAt
	}
	a.w.recordPromptRead(a.assignment, a.sentAt)
}

// reportStarted calls the RequestStarted hook once.
func (w *forwarding) reportStarted(at time.Time) {
	if f := w.r.hooks.RequestStarted; f != nil && !w.startReported {
		w.startReported = true
		f(w.q.Customer.Name, at)
	}
}

// sendHead writes the answer's head to the client once.
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

// sendEvent writes one event to the client.
func (a *attempt) sendEvent(reply Reply, e Event) error {
	if err := a.sendHead(reply); err != nil {
		return err
	}
	if err := a.writeEvent(a.comments.take(e.Data)); err != nil {
		return err
	}
	a.w.result.Events++
	a.events++
	a.recordSurvival()
	a.bytes += len(e.Data)
	if e.ID != "" {
		a.w.lastEventID = e.ID
	}
	return nil
}

// writeEvent writes data of the stream to the client.
func (a *attempt) writeEvent(data []byte) error {
	acceptedFrom := a.w.r.clock()
	if err := a.w.out.Event(data); err != nil {
		return callerGone(err)
	}
	a.clientWait += a.w.r.clock().Sub(acceptedFrom)
	return nil
}

// relayComment writes a comment to the client. Before the first event of the run it is kept, since another replica
// may still give the answer.
func (a *attempt) relayComment(e Event) error {
	if err := a.comments.add(e.Data); err != nil {
		return outcome.New(outcome.Unknown, "read", a.replica.ID, err)
	}
	if a.events == 0 {
		a.comments.hold(e.Data)
		return nil
	}
	return a.writeEvent(e.Data)
}

// endEvents ends a complete stream.
func (a *attempt) endEvents(reply Reply) error {
	if err := a.sendHead(reply); err != nil {
		return err
	}
	if rest := a.comments.take(nil); len(rest) > 0 {
		return a.writeEvent(rest)
	}
	return nil
}

// isStreamEnd reports whether a stream ended properly.
func isStreamEnd(err error) bool { return errors.Is(err, io.EOF) }
