package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/budget"
	"fieldvale/outcome"
	"fieldvale/pace"
)

// streamMonitor follows one attempt at a stream and ends it if the stream is better continued on
// another replica. It applies to requests that are placed by completion and may be resumed.
//
// The decision uses the state of the forwarding, which belongs to the request's goroutine. The
// timer's goroutine uses it only while waiting is set, that is while the request's goroutine is
// blocked on the replica; endWait blocks during a decision.
type streamMonitor struct {
	a *attempt
	// parent is the request's context; ctx is the attempt's, which cancel ends.
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	policy pace.Policy
	// resumed is set if the client has events of an earlier run, so that the wait for the first
	// event of this one is bounded too.
	resumed bool

	mu    sync.Mutex
	timer *time.Timer
	// timerAt is the time to which the timer is set.
	timerAt time.Time
	waiting bool
	// suspended is set if the process was suspended during the current wait.
	suspended bool
	tracker   pace.Tracker
	// withoutID is set if the last event has no id, so that the stream can't be resumed after it.
	withoutID bool
	// nextDecisionAt is the earliest time of another decision.
	nextDecisionAt time.Time
	// move is the decision to move the stream; nil if there is none.
	move *StreamMove
}

const (
	// maxTimerDelay is the delay of a timer from which the process is assumed to have been
	// suspended. Events may then have arrived that it has not read yet, and readDelay is the time
	// that it gets to read them.
	maxTimerDelay = 200 * time.Millisecond
	readDelay     = 100 * time.Millisecond
)

// monitorStream starts to monitor the attempt if its stream may be moved. end has to be called
// when the attempt is over.
func (a *attempt) monitorStream(ctx, parent context.Context) (x context.Context, end func()) {
	w := a.w
	// A trial that is cut off would not show whether the content crashes replicas.
	if !w.placesByCompletion() || !w.q.Route.AllowsRetry() || w.result.Runs+1 >= w.q.Route.MaxAttempts || w.guard.IsOnTrial() {
		return ctx, func() {}
	}
	x, cancel := context.WithCancelCause(ctx)
	m := &streamMonitor{
		a: a, parent: parent, ctx: x, cancel: cancel, resumed: w.answerStarted,
		policy:  pace.Policy{AllowedPause: w.q.Route.PauseTarget, ArrivedAt: w.q.ArrivedAt, Deadline: w.q.EffectiveDeadline()},
		tracker: pace.New(a.sentAt).WithExpectedWait(a.expectedFirstEvent()),
	}
	a.monitor = m
	return x, m.end
}

// expectedFirstEvent is the expected time to the first event. Without an estimate it is the one from
// which the hang timeout would follow, as a first run has no closer bound either.
func (a *attempt) expectedFirstEvent() time.Duration {
	if a.assignment.firstEventMs == 0 {
		return a.hangTimeout() / hangDelayFactor
	}
	return a.w.r.firstEventDelays.Expect(a.w.result.Service, a.assignment.firstEventMs)
}

// end stops the timer and ends the attempt's context.
func (m *streamMonitor) end() {
	m.endWait()
	m.cancel(nil)
}

// startWait begins a wait for the replica.
func (m *streamMonitor) startWait() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting, m.suspended = true, false
	if m.move == nil && (m.resumed || m.tracker.Events() > 0) {
		m.setTimer()
	}
}

// endWait ends a wait for the replica. Afterwards no decision is made until the next one.
func (m *streamMonitor) endWait() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting = false
	if m.timer != nil {
		m.timer.Stop()
	}
}

// setTimer sets the timer to the end of the allowed silence, or to the next decision after it. The
// lock is held.
func (m *streamMonitor) setTimer() {
	at := m.policy.SilentAt(m.tracker)
	if at.Before(m.nextDecisionAt) {
		at = m.nextDecisionAt
	}
	m.setTimerTo(at)
}

// setTimerTo sets the timer to the given time. The lock is held.
func (m *streamMonitor) setTimerTo(at time.Time) {
	m.timerAt = at
	d := max(time.Millisecond, at.Sub(m.a.w.r.clock()))
	if m.timer == nil {
		m.timer = time.AfterFunc(d, m.onTimer)
		return
	}
	m.timer.Reset(d)
}

// onTimer decides about a stream whose silence has become too long.
func (m *streamMonitor) onTimer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.waiting || m.move != nil || m.ctx.Err() != nil {
		return
	}
	if now := m.a.w.r.clock(); m.timerIsLate(now) {
		m.suspended = true
		m.setTimerTo(now.Add(readDelay))
		return
	}
	if m.decide() {
		m.cancel(m.cause())
		return
	}
	m.setTimer()
}

// timerIsLate reports whether the timer is so late that the process was suspended.
func (m *streamMonitor) timerIsLate(now time.Time) bool {
	return m.timer != nil && now.Sub(m.timerAt) > maxTimerDelay
}

// withEvent returns the tracker with an event. The time for which the process was suspended is no
// interval of the stream.
func (m *streamMonitor) withEvent(now time.Time) pace.Tracker {
	if m.suspended || m.timerIsLate(now) {
		return m.tracker.WithWait(now).WithEvent(now)
	}
	return m.tracker.WithEvent(now)
}

// cause is the error of the attempt whose stream is moved.
func (m *streamMonitor) cause() error {
	if m.move.Reason == pace.Silent {
		return errStreamSilent
	}
	return errStreamSlow
}

// decide asks the policy and, if the stream should be moved, reserves a replica for the rest. It
// reports whether the stream is moved.
func (m *streamMonitor) decide() bool {
	w := m.a.w
	now := w.r.clock()
	if m.move != nil || now.Before(m.nextDecisionAt) {
		return false
	}
	left := w.eventsLeft()
	v := m.policy.Decide(m.tracker, left, now)
	if v == pace.Keep {
		return false
	}
	m.nextDecisionAt = now.Add(moveDecisionInterval)
	p, kept := m.reserve(v)
	if p == nil {
		w.result.MoveDeclined = kept
		return false
	}
	w.nextAssignment = p
	m.move = &StreamMove{
		Request: w.q.ID, Service: w.result.Service, From: m.a.replica.ID, To: p.replica.ID, Reason: v,
		Events: m.tracker.Events(), EventsLeft: left, Interval: m.tracker.Interval(), SilentSince: m.tracker.SilentSince(),
		DecidedAt: now, Deadline: w.q.EffectiveDeadline(),
	}
	return true
}

// reserve assigns the rest of the stream to another replica and takes the retry from the budget. A
// slow stream is moved only to a replica that is expected to end it in time, a silent one to any.
// If there is no such replica it returns nil and the reason for the log.
func (m *streamMonitor) reserve(v pace.Verdict) (p *assignment, kept string) {
	w := m.a.w
	purpose := budget.Failure
	if v == pace.Slow {
		purpose = budget.SlowStream
		if w.movedForSlowness {
			return nil, keptAtSlowReplica
		}
	}
	if m.withoutID {
		return nil, keptUnresumable
	}
	if !w.guard.AllowsAnother(m.ctx) {
		return nil, keptQuarantined
	}
	if p = w.assignReplica(m.ctx); p == nil {
		return nil, keptWithoutReplica
	}
	inTime, _ := w.completesInTime(p)
	switch {
	case m.ctx.Err() != nil || v == pace.Slow && !inTime:
		kept = keptNoneInTime
	case !w.takeRetry(purpose):
		kept = keptWithoutBudget
	default:
		w.movedForSlowness = w.movedForSlowness || v == pace.Slow
		return p, ""
	}
	w.releaseUnsent(p)
	return nil, kept
}

// result returns the error of an attempt that failed with err. If the attempt was ended in order
// to move its stream, the move is reported and the next attempt is already granted. A run that did
// not begin is not moved: the usual rules apply, and the replica that was chosen is used.
func (m *streamMonitor) result(err error) error {
	if m == nil || m.move == nil || m.parent.Err() != nil || outcome.KindOf(err) == outcome.NotRun {
		return err
	}
	w := m.a.w
	cause, closed := m.cause(), outcome.IsConnectionClosed(err)
	if closed {
		// The replica may have crashed, whatever was decided meanwhile.
		cause = errors.Mark(err, cause)
	}
	m.a.movedForSlowness = m.move.Reason == pace.Slow && !closed
	w.mayHaveRun = true
	w.result.Moves = append(w.result.Moves, *m.move)
	w.r.hooks.streamMoved(*m.move)
	return w.markRetryGranted(outcome.New(outcome.Unknown, "wait", m.a.replica.ID, cause))
}

// send sends the request; m may be nil.
func (m *streamMonitor) send(send func() (Reply, error)) (Reply, error) {
	if m == nil {
		return send()
	}
	m.startWait()
	reply, err := send()
	m.endWait()
	if err != nil {
		return reply, m.result(err)
	}
	return reply, nil
}

// next returns the stream's next event, or ends the attempt if the rest is better generated
// elsewhere; m may be nil. An event that arrived while that was decided is passed on first.
func (m *streamMonitor) next(reply Reply) (Event, error) {
	if m == nil {
		return reply.Next()
	}
	if m.tracker.Events() > 0 {
		m.tracker = m.tracker.WithWait(m.a.w.r.clock())
		// The replica is judged by the time that it would have if the client had read at once.
		m.policy.Deadline = m.a.w.q.EffectiveDeadline().Add(m.a.clientWait)
		if m.decide() {
			return Event{}, m.result(m.cause())
		}
	}
	m.startWait()
	e, err := reply.Next()
	m.endWait()
	switch {
	case err == nil && e.IsComment:
	case err == nil:
		m.tracker, m.withoutID = m.withEvent(m.a.w.r.clock()), e.ID == ""
	case !isStreamEnd(err):
		err = m.result(err)
	}
	return e, err
}
