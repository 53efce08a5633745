package route

import (
	"slices"
	"strings"
	"time"
)

// Table is one version of the operator's configuration. It is immutable.
type Table struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits

	routes []Route
	byHost map[string][]*Route
	// customers are found by key.
	customers map[string]Customer
	// keyed says that requests need a key, unless their route is public.
	keyed bool
}

// Service is what the configuration says of a backend service.
type Service struct {
	Name string
	// MaxConns is how many connections each of its replicas takes from all
	// callers together; 0 for no bound.
	MaxConns int
	// Models have a price each, in credit for 1,000 tokens made.
	Models []Model
	// Slots is how many requests a replica runs at once.
	Slots int
	// ColdFor is how long a replica is cold after its start, and ColdPerSecond how
	// many requests a second it then bears; 0 for services whose replicas bear all
	// at once. ColdFor is a span because it is of starts yet to come.
	ColdFor       time.Duration
	ColdPerSecond float64
	// Scaling says that the platform starts and stops replicas as it is told; nil where
	// it does not.
	Scaling *Scaling
}

// Scaling bounds the replicas of a service in each data centre.
type Scaling struct {
	Min, Max int
}

// Cost returns the price of the service's model with that name; 0 if it is not
// known.
func (s Service) Cost(model string) float64 {
	for _, m := range s.Models {
		if m.Name == model {
			return m.Cost
		}
	}
	return 0
}

// Model is one of the sizes that a service's replicas run.
type Model struct {
	Name string
	Cost float64
}

// Customer is one of the configuration's customers, who holds keys.
type Customer struct {
	Name string
	// Priority takes the place of the route's if Ranked.
	Priority int
	Ranked   bool
	// Regions are where its requests may run; none given allows all.
	Regions []string
}

// Limits bound what a client may send. Zero fields bound nothing.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderWait  time.Duration
	Idle        time.Duration
}

// New returns a table. keys maps each key to its customer; nil says that
// requests need none.
func New(version uint64, routes []Route, services map[string]Service, keys map[string]Customer, l Limits) *Table {
	t := &Table{Version: version, Services: services, Limits: l, routes: routes, byHost: map[string][]*Route{}, customers: keys, keyed: keys != nil}
	for i := range t.routes {
		r := &t.routes[i]
		h := strings.ToLower(r.Host)
		t.byHost[h] = append(t.byHost[h], r)
	}
	for _, l := range t.byHost {
		slices.SortStableFunc(l, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Service returns what the configuration says of the service; nothing where there is
// no table or it is not named there.
func (t *Table) Service(name string) Service {
	if t == nil {
		return Service{}
	}
	return t.Services[name]
}

// Find returns the route of the host with the longest prefix of the path.
func (t *Table) Find(host, path string) (*Route, bool) {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if r.matches(path) {
			return r, true
		}
	}
	return nil, false
}

// Customer returns the customer that holds the key.
func (t *Table) Customer(key string) (Customer, bool) {
	c, ok := t.customers[key]
	return c, ok
}

// NeedsKey reports whether requests of the route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return t.keyed && !r.Public }

// Routes returns how many routes there are.
func (t *Table) Routes() int { return len(t.routes) }

// Newer reports whether t takes the place of o. Versions never go back.
func (t *Table) Newer(o *Table) bool {
	return o == nil || t.Version > o.Version
}
