package route

import (
	"slices"
	"strings"
	"time"
)

// Table is one version of the operator's routing configuration. It is immutable.
type Table struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits

	routes         []Route
	byHost         map[string][]*Route
	customersByKey map[string]Customer
	// requiresKeys reports that requests need an API key, unless their route is
	// public.
	requiresKeys bool
	// bindsRegions reports that some requests may run in some regions only.
	bindsRegions bool
}

// Service is the configuration of a backend service.
type Service struct {
	Name string
	// MaxConns is the number of connections that each of its replicas accepts
	// from all callers together; 0 for no limit.
	MaxConns int
	// Models lists its models, each with its price in credits per 1,000 generated
	// tokens.
	Models []Model
	// Slots is the number of requests that a replica runs concurrently.
	Slots int
	// TokensPerEvent is the number of tokens in an event of its streams, and
	// MemoryTokens the number of tokens that a replica's memory holds; 0 if unknown.
	TokensPerEvent int
	MemoryTokens   int
	// ColdPeriod is how long a replica is cold after its start, and ColdPerSecond the
	// request rate that it can handle during that time; both are 0 for services
	// whose replicas handle the full rate from the start. ColdPeriod is a duration
	// rather than a point in time because it applies to future starts.
	ColdPeriod    time.Duration
	ColdPerSecond float64
	// Scaling bounds the replica counts that may be ordered from the platform; nil if
	// the platform does not start and stop replicas of the service on request.
	Scaling *Scaling
}

// Scaling is the minimum and maximum number of a service's replicas in each data
// centre.
type Scaling struct {
	Min, Max int
}

// Cost returns the price of the service's model with the given name; 0 for an
// unknown model.
func (s Service) Cost(model string) float64 {
	for _, m := range s.Models {
		if m.Name == model {
			return m.Cost
		}
	}
	return 0
}

// Lists reports whether the service lists a model with the given name.
func (s Service) Lists(model string) bool {
	return slices.ContainsFunc(s.Models, func(m Model) bool { return m.Name == model })
}

// Model is a model that a service's replicas run, with its price in credits per
// 1,000 generated tokens.
type Model struct {
	Name string
	Cost float64
}

// Customer is a holder of API keys.
type Customer struct {
	Name     string
	Priority int
	// HasPriority reports that Priority replaces the route's priority.
	HasPriority bool
	// Regions are the regions in which its requests may run; empty allows all.
	Regions []string
}

// Limits bounds a client's requests and connections. A zero field sets no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// New returns a table. keys maps each API key to its customer; with nil, requests
// need no key.
func New(version uint64, routes []Route, services map[string]Service, keys map[string]Customer, l Limits) *Table {
	t := &Table{Version: version, Services: services, Limits: l, routes: routes, byHost: map[string][]*Route{}, customersByKey: keys, requiresKeys: keys != nil}
	for _, c := range keys {
		t.bindsRegions = t.bindsRegions || len(c.Regions) > 0
	}
	for i := range t.routes {
		r := &t.routes[i]
		t.bindsRegions = t.bindsRegions || len(r.Regions) > 0
		h := strings.ToLower(r.Host)
		t.byHost[h] = append(t.byHost[h], r)
	}
	for _, l := range t.byHost {
		slices.SortStableFunc(l, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// BindsRegions reports whether any route or customer allows its requests to run in some regions only; it
// is false if t is nil.
func (t *Table) BindsRegions() bool { return t != nil && t.bindsRegions }

// Service returns the configuration of the service; the zero value if t is nil or
// does not contain the service.
func (t *Table) Service(name string) Service {
	if t == nil {
		return Service{}
	}
	return t.Services[name]
}

// Find returns the host's route with the longest prefix that matches the path.
func (t *Table) Find(host, path string) (*Route, bool) {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if r.matches(path) {
			return r, true
		}
	}
	return nil, false
}

// Customer returns the customer to which the API key belongs.
func (t *Table) Customer(key string) (Customer, bool) {
	c, ok := t.customersByKey[key]
	return c, ok
}

// NeedsKey reports whether requests of the route must carry an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.requiresKeys && !r.Public }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.routes) }

// IsNewer reports whether t replaces o: o is nil or has a lower version.
func (t *Table) IsNewer(o *Table) bool {
	return o == nil || t.Version > o.Version
}
