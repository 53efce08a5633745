package entry

import (
	"fmt"
	"net/http"
	"time"

	"fieldvale/outcome"
	"fieldvale/prompt"
	"fieldvale/quarantine"
	"fieldvale/quota"
	"fieldvale/route"
)

// OpaqueRequest is a request whose body is interpreted by the backend service only. It is routed
// by the operator's table and forwarded unchanged.
type OpaqueRequest struct {
	// ID is the client's id of this attempt; it is forwarded.
	ID       string
	Table    *route.Table
	Route    *route.Route
	Customer route.Customer
	Method   string
	// Target is the path and query of the request line, unmodified.
	Target string
	// Header holds the client's headers that are forwarded.
	Header http.Header
	Body   []byte
	Prompt prompt.Prompt
	// Session is empty if the client sent none.
	Session string
	// LastEventID is the id of the last event that the client received of the stream it resumes.
	LastEventID string
	ArrivedAt   time.Time
	Deadline    time.Time
	// TimeoutAt is when the route's timeout expires; the earlier of it and Deadline applies.
	TimeoutAt time.Time

	// fingerprint caches Fingerprint; the zero value means that it was not computed yet.
	fingerprint quarantine.Fingerprint
}

// Fingerprint identifies the request content, whatever the attempt's id. It is computed on first
// use, as most requests need none. It is not safe for concurrent use.
func (q *OpaqueRequest) Fingerprint() quarantine.Fingerprint {
	if q.fingerprint == (quarantine.Fingerprint{}) {
		q.fingerprint = quarantine.RequestContent{Caller: q.Customer.Name, Method: q.Method, Host: q.Route.Host, Target: q.Target, Body: q.Body}.Fingerprint()
	}
	return q.fingerprint
}

// subjects are what the request carries that may crash replicas of the service.
func (q *OpaqueRequest) subjects(service string) quarantine.Subjects {
	return quarantine.Subjects{Content: q.Fingerprint, Parts: quarantine.NewParts(service, q.Prompt.SharedPartIDs())}
}

// EffectiveDeadline is the time by which the request has to be answered.
func (q *OpaqueRequest) EffectiveDeadline() time.Time {
	if q.TimeoutAt.Before(q.Deadline) {
		return q.TimeoutAt
	}
	return q.Deadline
}

// sessionKey is the session, or the request's id if it has none.
func (q *OpaqueRequest) sessionKey() string {
	if q.Session != "" {
		return q.Session
	}
	return q.ID
}

// priority is the customer's priority if it has one, else the route's.
func (q *OpaqueRequest) priority() int {
	if q.Customer.HasPriority {
		return q.Customer.Priority
	}
	return q.Route.Priority
}

// DroppedAnswer is an answer discarded in favour of a larger model's.
type DroppedAnswer struct {
	Model      string
	Confidence float64
}

// String formats the model and its confidence for the log.
func (d DroppedAnswer) String() string { return fmt.Sprintf("%s:%.0f", d.Model, d.Confidence) }

// SkippedReplica is a replica for which the quota granted no permit.
type SkippedReplica struct {
	Replica string
	Reason  quota.Reason
	// DecidedBy is the instance that refused the permit.
	DecidedBy string
}

// String formats the replica, the reason and the deciding instance for the log.
func (p SkippedReplica) String() string {
	return fmt.Sprintf("%s:%s:%s", p.Replica, p.Reason, p.DecidedBy)
}

// ForwardResult describes the handling of an opaque request, for logs and metrics.
type ForwardResult struct {
	Request *OpaqueRequest
	Service string
	Replica string
	Release string
	Model   string
	// Confidence is that of the last answer; negative if there was none.
	Confidence float64
	// Dropped are the answers discarded in favour of a larger model's.
	Dropped []DroppedAnswer
	// Escalation states whether the last answer with a low confidence was replaced, and why not.
	Escalation string
	// Share is the last decision on the request because its customer was over its share; nil if
	// there was none.
	Share *ShareDecision
	// SkippedCount is how often a replica was skipped because it advertises a limit, or is or may
	// be cold, and had no permit left. Skipped holds the preferred replica of each refused permit
	// request.
	SkippedCount int
	Skipped      []SkippedReplica
	// Fingerprint is set if an attempt failed or the content is suspected of crashing replicas.
	// Verdict is the last decision on whether it may be sent.
	Fingerprint string
	Verdict     quarantine.Verdict
	// ExpectedFinish is the time from the last attempt until the whole answer was expected to be
	// complete, and DelayOfOthers the total delay of other streams that was expected of it, both by
	// the owner of the replicas' group; 0 if the request was not placed by completion.
	ExpectedFinish, DelayOfOthers time.Duration
	// Tried are the replicas that the request was sent to, in order.
	Tried []string
	// Via names the instances through which replicas answered, in order; empty for direct answers.
	Via []string
	// ReportedLoad is the load report of the replica that was last chosen without the placer.
	ReportedLoad ReportedLoad
	// Excluded counts the replicas that were draining or backing off at the last choice.
	Excluded string
	// Moves are the decisions to continue the stream on another replica. MoveDeclined states why
	// it was last left at a silent or slow one.
	Moves        []StreamMove
	MoveDeclined string
	Sends        int
	Runs         int
	Events       int
	Status       int
	Outcome      outcome.Kind
	Code         Code
	Cause        error
	// StopReason states why no further attempt was made after a failed one.
	StopReason  string
	FirstByteAt time.Time
	EndedAt     time.Time
}

// recordExpectation records what the owner expected of an attempt.
func (f *ForwardResult) recordExpectation(p *assignment) {
	f.ExpectedFinish, f.DelayOfOthers = milliseconds(p.finishMs), milliseconds(p.othersMs)
}

// recordVia records the instance through which an answer came, if there was one.
func (f *ForwardResult) recordVia(via string) {
	if via != "" {
		f.Via = append(f.Via, via)
	}
}
