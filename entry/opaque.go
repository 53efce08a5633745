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

// OpaqueRequest is a request whose body only its backend service understands. It is
// routed by the operator's table and passed on unchanged.
type OpaqueRequest struct {
	// ID is the client's own id of this attempt; it is passed on.
	ID       string
	Table    *route.Table
	Route    *route.Route
	Customer route.Customer
	Method   string
	// Target is the request line's path and query, as it came.
	Target string
	// Header is what is passed on of the client's header.
	Header http.Header
	Body   []byte
	Prompt prompt.Prompt
	// Session is empty if the client gave none.
	Session string
	// LastEventID is the last event that the client has of a stream it resumes.
	LastEventID string
	ArrivedAt   time.Time
	Deadline    time.Time
	// TimeoutAt is when the route's time ends; the earlier of it and
	// Deadline binds.
	TimeoutAt time.Time

	// fingerprint is of the content; zero as long as nobody asked for it.
	fingerprint quarantine.Fingerprint
}

// Fingerprint names the content, whatever the attempt's id. It is worked out when it is
// first asked for: most requests need none. It is not safe for concurrent use.
func (q *OpaqueRequest) Fingerprint() quarantine.Fingerprint {
	if q.fingerprint == (quarantine.Fingerprint{}) {
		q.fingerprint = quarantine.RequestContent{Caller: q.Customer.Name, Method: q.Method, Host: q.Route.Host, Target: q.Target, Body: q.Body}.Fingerprint()
	}
	return q.fingerprint
}

// effectiveDeadline is when the request has to be answered.
func (q *OpaqueRequest) effectiveDeadline() time.Time {
	if q.TimeoutAt.Before(q.Deadline) {
		return q.TimeoutAt
	}
	return q.Deadline
}

// sessionKey is what ties the request to others: its session, or nothing but
// itself.
func (q *OpaqueRequest) sessionKey() string {
	if q.Session != "" {
		return q.Session
	}
	return q.ID
}

// priority is the customer's rank if it has one, else the route's.
func (q *OpaqueRequest) priority() int {
	if q.Customer.Ranked {
		return q.Customer.Priority
	}
	return q.Route.Priority
}

// DroppedAnswer is an answer that was not passed on.
type DroppedAnswer struct {
	Model      string
	Confidence float64
}

// String returns the model and its confidence, for the log.
func (d DroppedAnswer) String() string { return fmt.Sprintf("%s:%.0f", d.Model, d.Confidence) }

// SkippedReplica is a replica that had no place for the request.
type SkippedReplica struct {
	Replica string
	Reason  quota.Reason
	// DecidedBy is the instance that said so.
	DecidedBy string
}

// String returns the replica with the reason, for the log.
func (p SkippedReplica) String() string {
	return fmt.Sprintf("%s:%s:%s", p.Replica, p.Reason, p.DecidedBy)
}

// ForwardResult is what became of an opaque request, for logs and metrics.
type ForwardResult struct {
	Request *OpaqueRequest
	Service string
	Replica string
	Release string
	Model   string
	// Confidence is of the last answer; below 0 there was none.
	Confidence float64
	// Dropped are the answers that gave way to a larger model's.
	Dropped []DroppedAnswer
	// Escalation says what became of the last answer that its model doubted.
	Escalation string
	// SkippedCount is how often a replica was left out because it names a limit or is cold, or may
	// be, and gets no more now; PassedOver are the best of them.
	SkippedCount int
	Skipped      []SkippedReplica
	// Fingerprint is the request's fingerprint if an attempt failed or something is known
	// against it, else empty; Verdict is the last word on whether it may be sent.
	Fingerprint string
	Verdict     quarantine.Verdict
	// Tried are the replicas that it was sent to, in order.
	Tried []string
	// Excluded counts the replicas that had said that they leave or rest at the last choice.
	Excluded string
	Sends    int
	Runs     int
	Events   int
	Status   int
	Outcome  outcome.Kind
	Code     Code
	Cause    error
	// StopReason says why no further attempt was made after a failed one.
	StopReason  string
	FirstByteAt time.Time
	EndedAt     time.Time
}
