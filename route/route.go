// Package route holds the operator's routing table. It maps the host and path of
// a request to a service, with the route's time limits and access rules.
package route

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the class of a route's requests; it decides how often one may run.
type Kind int

const (
	// Once requests run at most once for each attempt of the client.
	Once Kind = iota
	// Repeatable requests may run any number of times.
	Repeatable
	// Stream requests are answered by a series of events. They run at most once,
	// unless the route is resumable.
	Stream
)

// Route is one entry of the routing table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the total time of a request. Target is the response-time
	// target, up to the answer or a stream's first event. They are durations
	// rather than deadlines because they apply to future requests.
	Timeout time.Duration
	Target  time.Duration
	// PauseTarget is the longest pause between the events of a stream with which the
	// answer is in time; 0 if the operator set none.
	PauseTarget time.Duration
	// Priority orders requests by urgency; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of replicas on which one request may run.
	MaxAttempts int
	// Public routes accept requests without an API key.
	Public bool
	// Resumable reports that a stream may be continued on another replica.
	Resumable bool
	// Models are the models that the router may choose from, smallest first. If
	// it is empty, the client chooses.
	Models []string
	// Regions are the regions in which its requests may run; empty allows all.
	Regions []string
	// Split divides the requests between services; it has at least one element.
	Split []WeightedService
}

// WeightedService is a service with its weight in a route's traffic.
type WeightedService struct {
	Service string
	Weight  int
}

// AllowsRetry reports whether a request may be retried after a failure that leaves
// open whether the request ran.
func (r *Route) AllowsRetry() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// SelectService returns the service for the request with the given id. The choice is a
// hash of the id, so that all instances choose the same service.
func (r *Route) SelectService(request string) string {
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

// matches reports whether the path starts with the route's prefix.
func (r *Route) matches(path string) bool {
	return strings.HasPrefix(path, r.Prefix)
}
