// Package route holds the operator's routing table: which service answers
// which host and path, within what time, for whom.
package route

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says how often a request of a route may run.
type Kind int

const (
	// Once requests run at most once for each attempt of a client.
	Once Kind = iota
	// Repeatable requests may run any number of times.
	Repeatable
	// Stream answers are a series of events. They run once unless the route
	// lets them resume.
	Stream
)

// Route is one entry of the table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request is held; Target is the time in
	// which its answer, or a stream's first event, is wanted. They are spans
	// because the operator sets them for requests yet to come.
	Timeout time.Duration
	Target  time.Duration
	// Priority ranks requests, 0 first.
	Priority int
	// MaxAttempts is the most replicas that one request may run on.
	MaxAttempts int
	// Public routes take requests without a key.
	Public bool
	// Resumable streams may be continued on another replica.
	Resumable bool
	// Models are the sizes to choose from, smallest first; none leaves the
	// choice to the client.
	Models []string
	// Regions are where its requests may run; none given allows all.
	Regions []string
	// Split shares requests between services; it has at least one part.
	Split []Part
}

// Part is one service's weight in a route's traffic.
type Part struct {
	Service string
	Weight  int
}

// Repeats reports whether a request may run again after a failure of which it
// is not known whether it ran.
func (r *Route) Repeats() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Service returns the service for the request with that id: the same one at
// each instance.
func (r *Route) Service(request string) string {
	t := 0
	for _, p := range r.Split {
		t += p.Weight
	}
	if len(r.Split) == 1 || t <= 0 {
		return r.Split[0].Service
	}
	n := int(xxhash.Sum64String(request) % uint64(t))
	for _, p := range r.Split {
		if n < p.Weight {
			return p.Service
		}
		n -= p.Weight
	}
	return r.Split[0].Service
}

// matches reports whether the path lies below the route's prefix.
func (r *Route) matches(path string) bool {
	return strings.HasPrefix(path, r.Prefix)
}
