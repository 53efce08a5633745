package entry

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/pace"
)

// errStreamSilent and errStreamSlow end the run of a stream that is continued on another replica.
var (
	errStreamSilent = errors.New("the stream was silent for too long")
	errStreamSlow   = errors.New("the stream was too slow for the time left")
)

// isStreamMove reports whether the attempt was ended in order to move its stream.
func isStreamMove(err error) bool {
	return errors.Is(err, errStreamSilent) || errors.Is(err, errStreamSlow)
}

// StreamMove is a decision to continue a stream on another replica, for logs and metrics.
type StreamMove struct {
	Request string
	Service string
	// From is the replica whose run was closed, To the one chosen for the rest.
	From, To string
	// Events is the number of events that the run had sent, EventsLeft the number that is expected
	// of the other replica.
	Events     int
	EventsLeft float64
	// Interval is the mean interval of the run's latest events, or the expected wait if there was
	// none yet.
	Interval    time.Duration
	SilentSince time.Time
	DecidedAt   time.Time
	Deadline    time.Time
	Reason      pace.Verdict
}

// String formats the reason and the replicas for the log.
func (m StreamMove) String() string { return fmt.Sprintf("%s:%s>%s", m.Reason, m.From, m.To) }

// Reasons for leaving a silent or slow stream where it runs, for the log.
const (
	keptAtSlowReplica  = "kept: moved for slowness before"
	keptUnresumable    = "kept: the last event has no id"
	keptWithoutReplica = "kept: no other replica"
	keptNoneInTime     = "kept: no other replica in time"
	keptWithoutBudget  = "kept: no budget"
	keptQuarantined    = "kept: the content is quarantined"
)

const (
	// completionMargin is the multiple of an expected time to the complete answer that has to be
	// left. Estimates are means; a replica that is 2.5 times slower for 15% of the time exceeds
	// them by 0.23.
	completionMargin = 1.25
	// moveDecisionInterval is the least time between two decisions about the same stream. Each asks
	// the owner of the replicas' group, whose answer changes little within a second.
	moveDecisionInterval = time.Second
)

// completesInTime reports whether the assignment's whole answer is expected before the deadline,
// with a margin. known is false if there is no estimate.
func (w *forwarding) completesInTime(p *assignment) (inTime, known bool) {
	if !p.byCompletion || p.finishMs <= 0 {
		return false, false
	}
	left := w.q.EffectiveDeadline().Sub(w.r.clock()).Seconds() * 1000
	return completionMargin*(p.finishMs+w.sentEventsPrefillMs()) <= left, true
}

// sentEventsPrefillMs is the time for which a replica that resumes the stream reads the events that
// were sent already.
func (w *forwarding) sentEventsPrefillMs() float64 {
	perToken := w.r.prefillTimes.MsPerToken(w.prefillKey(), max(0, w.modelIndex))
	return float64(w.result.Events) * w.tokensPerEvent() * perToken
}

// eventsLeft is the expected number of events that are still to be sent.
func (w *forwarding) eventsLeft() float64 { return w.expectedOutputTokens() / w.tokensPerEvent() }

// releaseNextAssignment releases the replica of a further attempt that is not made.
func (w *forwarding) releaseNextAssignment() {
	if p := w.nextAssignment; p != nil {
		w.nextAssignment = nil
		w.releaseUnsent(p)
	}
}

// releaseUnsent releases the replica of a move that is not made. Decisions about a slow stream
// repeat, so that each would otherwise postpone the probe of a replica whose breaker is open.
func (w *forwarding) releaseUnsent(p *assignment) {
	w.releaseAssignment(p)
	w.r.backends.withdrawProbe(p.replica.ID, w.r.clock())
}
