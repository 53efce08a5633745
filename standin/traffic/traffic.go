// Package traffic generates the requests of the two example workloads from a
// random seed.
package traffic

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Kind classifies requests by how they are sent.
type Kind int

// The kinds of request.
const (
	// Chat is a chat request to a model.
	Chat Kind = iota
	// ServiceCall is an idempotent call of a plain service.
	ServiceCall
	// NonIdempotentCall is a call of a plain service that must not run twice.
	NonIdempotentCall
)

// Request is one request of a customer.
type Request struct {
	// ID is unique within the source; it is also the marker in the prompt.
	ID       string
	Team     string
	Customer string
	// Thread is the document or order thread that the request belongs to.
	Thread  string
	Kind    Kind
	Task    string
	Service string
	Call    string
	Stream  bool
	Text    string
}

// APIKey returns the API key of a customer in the example policies.
func APIKey(customer string) string { return "demo-key-" + customer }

// customers lists the customers of the example policies by team. The first
// largeCustomers of each team send most of the requests; the last one may use
// the small model only.
var customers = map[string][]string{
	"shared-memory": {"inverness-loc", "skye-strings", "oban-words", "perth-lingua", "fife-texts", "angus-cat", "lothian-loc", "tweed-terms", "borders-lex", "galloway-gloss"},
	"maizes-tilts":  {"riga-rye", "jelgava-bread", "cesis-cafe", "sigulda-oven", "tukums-mill", "valka-crumb", "ogre-loaf", "kuldiga-bake", "ventspils-bun", "liepaja-roll"},
}

const largeCustomers = 3

// MayUse reports whether the example policies let the customer use the model.
func MayUse(customer, model string) bool {
	if customer == "galloway-gloss" || customer == "liepaja-roll" {
		return !strings.HasSuffix(model, "-large")
	}
	return strings.HasPrefix(model, prefixOf(customer))
}

// prefixOf returns the prefix of the model names of the customer's team.
func prefixOf(customer string) string {
	for _, c := range customers["shared-memory"] {
		if c == customer {
			return "lingua-"
		}
	}
	return "dough-"
}

// Source generates requests. It is not safe for concurrent use.
type Source struct {
	r *rand.Rand
	n int
}

// New returns a source; the same seed gives the same sequence of requests.
func New(seed uint64) *Source {
	return &Source{r: rand.New(rand.NewPCG(seed, seed))}
}

// Next returns the next request.
func (s *Source) Next() Request {
	s.n++
	if s.r.IntN(10) < 6 {
		return s.memory()
	}
	return s.orders()
}

// customer draws a customer of the team. In two of three draws it is one of the
// large customers.
func (s *Source) customer(team string) string {
	c := customers[team]
	if s.r.IntN(3) < 2 {
		return c[s.r.IntN(largeCustomers)]
	}
	return c[s.r.IntN(len(c))]
}

// base returns a request with the fields that all kinds share.
func (s *Source) base(team string) Request {
	c := s.customer(team)
	return Request{ID: fmt.Sprintf("%s-%d", c, s.n), Team: team, Customer: c, Thread: fmt.Sprintf("%s/%d", c, s.r.IntN(3))}
}

// memory draws a request of the translation memory workload.
func (s *Source) memory() Request {
	q := s.base("shared-memory")
	switch n := s.r.IntN(10); {
	case n < 4:
		q.Task, q.Stream = "segment", s.r.IntN(2) == 0
		q.Text = fmt.Sprintf("<%s> Review this segment against the glossary: %s", q.ID, s.words(12))
	case n < 6:
		q.Task = "batch"
		q.Text = fmt.Sprintf("<%s> Suggest translations for these strings: %s", q.ID, s.words(60))
	case n < 8:
		q.Task = "terminology"
		q.Text = fmt.Sprintf("<%s> Term: %s", q.ID, s.words(2))
	case n < 9:
		q.Kind, q.Service, q.Call, q.Text = ServiceCall, "memory", "concordance", s.words(3)
	default:
		q.Kind, q.Service, q.Call, q.Text = NonIdempotentCall, "memory", "write", s.words(12)
	}
	return q
}

// orders draws a request of the order workload.
func (s *Source) orders() Request {
	q := s.base("maizes-tilts")
	switch n := s.r.IntN(10); {
	case n < 4:
		q.Task = "order"
		q.Text = fmt.Sprintf("<%s> Turn this note into an order: %s", q.ID, s.words(20))
	case n < 7:
		q.Task, q.Stream = "status", s.r.IntN(2) == 0
		q.Text = fmt.Sprintf("<%s> Where is my delivery? %s", q.ID, s.words(4))
	case n < 8:
		q.Kind, q.Service, q.Call, q.Text = ServiceCall, "orders", "status", s.words(2)
	default:
		q.Kind, q.Service, q.Call, q.Text = NonIdempotentCall, "orders", "confirm", s.words(6)
	}
	return q
}

var vocabulary = strings.Fields("rye loaf wheat string release glen firth segment bakery café van dawn term gloss match plan price note river stone bridge order sack flour")

func (s *Source) words(n int) string {
	w := make([]string, n)
	for i := range w {
		w[i] = vocabulary[s.r.IntN(len(vocabulary))]
	}
	return strings.Join(w, " ")
}
