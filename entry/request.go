package entry

import (
	"time"

	"fieldvale/config"
	"fieldvale/policy"
	"fieldvale/quarantine"
	"fieldvale/session"
	"fieldvale/version"
)

// Request is a caller's chat request after authentication.
type Request struct {
	ID     string
	Caller config.Caller
	Task   string
	Size   policy.Size
	// Model is what the caller asked for: AutoModel, a model, or a version.
	Model    string
	Body     []byte
	Deadline time.Time
	Session  session.Session
	Priority int
}

// content is what the request asks, whatever its id.
func (q Request) content() quarantine.RequestContent {
	return quarantine.RequestContent{Caller: q.Caller.Team + "/" + q.Caller.Customer.Name, Target: "chat", Body: q.Body}
}

// content is what the call asks, whatever its id.
func (q ServiceRequest) content() quarantine.RequestContent {
	return quarantine.RequestContent{Caller: q.Caller.Team + "/" + q.Caller.Customer.Name, Target: q.Service + "/" + q.Call, Body: q.Body}
}

// AutoModel leaves the choice of the model to the policy.
const AutoModel = "auto"

// Result is what the caller gets beside the answer.
type Result struct {
	RequestID string
	Version   version.ID
	Revision  uint64
	Session   session.Session
	// SessionMoved says that the session's version was withdrawn and replaced.
	SessionMoved bool
	// BelowTarget says that no answer reached the policy's quality, and that
	// this is the best one that was had in time.
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

// ServiceResult is a plain service's answer to a caller.
type ServiceResult struct {
	Answer ServiceAnswer
	// Replayed says that the request ran before and this is its first answer.
	Replayed bool
	Revision uint64
}
