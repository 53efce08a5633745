package entry

import (
	"time"

	"fieldvale/config"
	"fieldvale/policy"
	"fieldvale/quarantine"
	"fieldvale/session"
	"fieldvale/version"
)

// Request is an authenticated chat request.
type Request struct {
	ID     string
	Caller config.Caller
	Task   string
	Size   policy.Size
	// Model is the model requested by the caller: AutoModel, a model, or a version.
	Model    string
	Body     []byte
	Deadline time.Time
	Session  session.Session
	Priority int
}

// content is the request content without its ids, for the fingerprint.
func (q Request) content() quarantine.RequestContent {
	return quarantine.RequestContent{Caller: q.Caller.Team + "/" + q.Caller.Customer.Name, Target: "chat", Body: q.Body}
}

// content is the call's content without its ids, for the fingerprint.
func (q ServiceRequest) content() quarantine.RequestContent {
	return quarantine.RequestContent{Caller: q.Caller.Team + "/" + q.Caller.Customer.Name, Target: q.Service + "/" + q.Call, Body: q.Body}
}

// AutoModel leaves the choice of the model to the policy.
const AutoModel = "auto"

// Result is the metadata returned to the caller with an answer.
type Result struct {
	RequestID string
	Version   version.ID
	Revision  uint64
	Session   session.Session
	// SessionMoved reports that the version pinned by the session was withdrawn and replaced.
	SessionMoved bool
	// BelowTarget reports that no answer reached the quality demanded by the policy, and that
	// this is the best one available in time.
	BelowTarget bool
}

// ServiceRequest is a caller's call of a plain service.
type ServiceRequest struct {
	ID             string
	Caller         config.Caller
	Service        string
	Call           string
	Body           []byte
	ContentType    string
	IdempotencyKey string
	Once           bool
	Deadline       time.Time
}

// ServiceResult is the answer of a plain service with its metadata.
type ServiceResult struct {
	Answer ServiceAnswer
	// Replayed reports that the request ran before and that this is the stored answer.
	Replayed bool
	Revision uint64
}
