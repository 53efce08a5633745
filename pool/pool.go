// Package pool describes the replicas of the backend servers and has the rules by which one
// is chosen for a request.
package pool

import (
	"iter"
	"slices"
	"time"

	"fieldvale/load"
	"fieldvale/version"
)

// Kind is the kind of a backend server: a model engine or a plain service.
type Kind string

// The kinds of backend server.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Replica is one running copy of a backend server, as listed by the platform.
type Replica struct {
	// ID identifies one incarnation of the replica. State that is kept by this id is
	// dropped when the replica restarts.
	ID string
	// Name is the platform's name of the replica, the same in each incarnation. It is
	// empty if the platform uses the ID.
	Name string
	// Addr is the IP address and port.
	Addr       string
	DataCentre string
	Kind       Kind
	// Service is the name of the plain service, for replicas of that kind.
	Service string
	// Release is the version of the service's software.
	Release string
	// Versions are the model versions that an engine reports as loaded.
	Versions []version.ID
	// Slots is the number of requests that the replica processes at once.
	Slots int
	// ChecksFencingToken is set if the replica rejects requests with a lower fencing token
	// than it has already received.
	ChecksFencingToken bool
	// Draining is set if the replica is about to stop, so that new requests should go
	// elsewhere.
	Draining bool
	// ColdUntil is the end of the time after its start in which the replica may get only a
	// few requests; zero if it is warm.
	ColdUntil time.Time
	Load      Load
}

// Load is the last load report of a replica.
type Load struct {
	// Running and Waiting are the numbers of requests in slots and in the queue.
	Running    int
	Waiting    int
	ReportedAt time.Time
	// Local is how many requests of this instance were on the replica at the time of the
	// report. They are part of Running and Waiting.
	Local int
}

// Serves reports whether new requests for the version may go to the replica.
func (r Replica) Serves(v version.ID) bool {
	return r.Kind == Engine && !r.Draining && slices.Contains(r.Versions, v)
}

// IsCold reports whether the replica has just started and may get only a few requests.
func (r Replica) IsCold(now time.Time) bool { return now.Before(r.ColdUntil) }

// PlatformName returns the platform's name of the replica.
func (r Replica) PlatformName() string {
	if r.Name != "" {
		return r.Name
	}
	return r.ID
}

// WithColdUntil returns r as cold until the given time.
func (r Replica) WithColdUntil(t time.Time) Replica {
	r.ColdUntil = t
	return r
}

// WithDraining returns r marked as draining.
func (r Replica) WithDraining() Replica {
	r.Draining = true
	return r
}

// WithLoad returns r with a newer load report.
func (r Replica) WithLoad(l Load) Replica {
	r.Load = l
	return r
}

// IDs returns the ids of the replicas.
func IDs(l []*Replica) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, r := range l {
			if !yield(r.ID) {
				return
			}
		}
	}
}

// Candidate is a replica that may be chosen, with this instance's own load on it.
type Candidate struct {
	Replica *Replica
	// Local is the number of requests that this instance has on the replica.
	Local int
	// PendingMs is this instance's prefill work that is queued or in progress there, in
	// milliseconds of the replica's time, as far as that can be estimated.
	PendingMs float64
	// RemotePenaltyMs is the cost of the replica for its distance, in milliseconds.
	RemotePenaltyMs float64
	// Reported is the load expected from reports in responses. It counts only if HasReported is set,
	// which is set for all candidates of a choice or for none.
	Reported    load.Expected
	HasReported bool
}

// EstimatedRequests estimates the requests on the replica: those of other instances at the
// last report plus the current ones of this instance. This instance's requests are taken out
// of the report, as otherwise a report that is behind would count them twice.
func (c Candidate) EstimatedRequests() int {
	others := c.Replica.Load.Running + c.Replica.Load.Waiting - c.Replica.Load.Local
	return max(0, others) + c.Local
}

// LoadPerSlot returns EstimatedRequests per slot, which compares replicas of different size, or the
// load by reports.
func (c Candidate) LoadPerSlot() float64 {
	if c.HasReported {
		return c.reportedLoad(0)
	}
	return float64(c.EstimatedRequests()) / float64(max(1, c.Replica.Slots))
}

// FreeSlots returns the estimated number of idle slots. It is negative if requests are
// queued.
func (c Candidate) FreeSlots() int {
	return c.Replica.Slots - c.EstimatedRequests()
}
