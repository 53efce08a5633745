// Package pool knows the replicas of the backend servers and chooses the one
// that a request goes to.
package pool

import (
	"iter"
	"slices"
	"time"

	"fieldvale/version"
)

// Kind is what a backend server runs.
type Kind string

// The kinds of backend server.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Replica is one backend server as the platform's instance list gives it.
type Replica struct {
	// ID is of one life of the replica: what is known by it is forgotten when
	// the replica starts again.
	ID string
	// Name is what the platform calls it, in each of its lives; empty where that
	// is the ID.
	Name string
	// Addr is the IP number and port.
	Addr       string
	DataCentre string
	Kind       Kind
	// Service is the name of the plain service, for that kind.
	Service string
	// Release is the version of the service's software.
	Release string
	// Versions are those that an engine says it has loaded.
	Versions []version.ID
	// Slots is how many requests it works on at once.
	Slots int
	// ChecksFencingToken says that it refuses orders with a lower fence.
	ChecksFencingToken bool
	Draining           bool
	// ColdUntil is until when it has just started and may get a few requests
	// only; zero for a warm one.
	ColdUntil time.Time
	Load      Load
}

// Load is what a replica last said of itself.
type Load struct {
	Running    int
	Waiting    int
	ReportedAt time.Time
	// Local is how many of this instance's own requests were on the replica
	// when the report was taken; they are part of Running and Waiting.
	Local int
}

// Serves reports whether new work for the version may go to the replica.
func (r Replica) Serves(v version.ID) bool {
	return r.Kind == Engine && !r.Draining && slices.Contains(r.Versions, v)
}

// IsCold reports whether it has just started and may get a few requests only.
func (r Replica) IsCold(now time.Time) bool { return now.Before(r.ColdUntil) }

// PlatformName is what the platform calls the replica.
func (r Replica) PlatformName() string {
	if r.Name != "" {
		return r.Name
	}
	return r.ID
}

// WithColdUntil returns r as cold until then.
func (r Replica) WithColdUntil(t time.Time) Replica {
	r.ColdUntil = t
	return r
}

// WithDraining returns r marked as leaving.
func (r Replica) WithDraining() Replica {
	r.Draining = true
	return r
}

// WithLoad returns r with a newer report.
func (r Replica) WithLoad(l Load) Replica {
	r.Load = l
	return r
}

// IDs goes through the replicas' ids.
func IDs(l []*Replica) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, r := range l {
			if !yield(r.ID) {
				return
			}
		}
	}
}

// Candidate is a replica as one decision sees it.
type Candidate struct {
	Replica *Replica
	// Local is this instance's own requests on the replica now.
	Local int
	// PendingMs is the work of this instance that waits or is being read
	// there, in milliseconds of the replica's time as far as that is known.
	PendingMs float64
	// RemotePenaltyMs is what the replica counts for by its distance, in milliseconds.
	RemotePenaltyMs float64
}

// EstimatedRequests estimates the requests on the replica now: what others had there when
// it last reported, and what this instance has there itself. Taking the own
// share out of the report keeps a lagging report from being counted twice.
func (c Candidate) EstimatedRequests() int {
	o := c.Replica.Load.Running + c.Replica.Load.Waiting - c.Replica.Load.Local
	return max(0, o) + c.Local
}

// LoadPerSlot is Work by slot, so that unlike replicas compare.
func (c Candidate) LoadPerSlot() float64 {
	return float64(c.EstimatedRequests()) / float64(max(1, c.Replica.Slots))
}

// FreeSlots is the number of slots that seem idle.
func (c Candidate) FreeSlots() int {
	return c.Replica.Slots - c.EstimatedRequests()
}
