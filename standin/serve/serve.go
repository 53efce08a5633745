// Package serve runs a stand-in's handler on a loopback listener.
package serve

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Listener is a stand-in that is served.
type Listener struct {
	Addr string
	http *fasthttp.Server
	l    net.Listener
}

// On serves the handler on addr; port 0 picks a free one.
func On(addr string, h fasthttp.RequestHandler) (*Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "serve.On")
	}
	s := &Listener{Addr: l.Addr().String(), l: l, http: &fasthttp.Server{Handler: h, Logger: quiet{}, NoDefaultServerHeader: true}}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Close stops taking connections. It does not wait.
func (l *Listener) Close() { _ = l.l.Close() }

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Ports below those that the system gives to outgoing connections, so that
// none takes a port between its choice and its use.
const (
	lowestPort  = 10_000
	highestPort = 30_000
	portTries   = 100
)

// FreePort returns a loopback address that nobody listens on, for a process
// that is told its port by its settings.
func FreePort() (string, error) {
	var last error
	for range portTries {
		a := net.JoinHostPort("127.0.0.1", strconv.Itoa(lowestPort+rand.IntN(highestPort-lowestPort)))
		l, err := net.Listen("tcp", a)
		if err == nil {
			return a, l.Close()
		}
		last = err
	}
	return "", errors.Wrap(last, "serve.FreePort")
}

// JSON answers with v.
func JSON(c *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}
