package backend

import (
	"time"

	"github.com/valyala/fasthttp"

	"fieldvale/load"
	"fieldvale/pool"
)

// HeaderLoad is the load of a backend server: the requests running, the requests waiting, the
// slots and optionally how long work takes at present, where 100 is usual, separated by commas.
const HeaderLoad = "X-Replica-Load"

// LoadObserver receives the load reports of backend servers.
type LoadObserver interface {
	Observe(s load.Sample)
	// LogInvalidHeader reports that the named header of a response can't be parsed.
	LogInvalidHeader(replica, header string, err error)
}

// WithLoads returns a copy of the client that passes the load reports in responses to l.
func (e Engines) WithLoads(l LoadObserver) *Engines {
	e.loads = l
	return &e
}

// WithLoads returns a copy of the client that passes the load reports in responses to l.
func (s Services) WithLoads(l LoadObserver) *Services {
	s.loads = l
	return &s
}

// observeLoad passes on the load in a response, if it reports one.
func observeLoad(o LoadObserver, r *pool.Replica, p *fasthttp.Response, sentAt time.Time) {
	l, ok, err := load.Parse(headerValues(p, HeaderLoad))
	switch {
	case err != nil:
		o.LogInvalidHeader(r.ID, HeaderLoad, err)
	case ok:
		o.Observe(load.Sample{Report: l, Replica: r.ID, Service: r.Service, Refused: isRefusal(p), SentAt: sentAt, ReceivedAt: time.Now()})
	}
}
