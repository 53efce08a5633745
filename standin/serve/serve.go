// Package serve runs the handler of a fake server on a TCP listener.
package serve

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Listener is a running HTTP server.
type Listener struct {
	Addr string
	http *fasthttp.Server
	l    net.Listener
}

// Listen serves the handler on addr; port 0 selects a free port.
func Listen(addr string, h fasthttp.RequestHandler) (*Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "serve: listen on %s", addr)
	}
	s := &Listener{Addr: l.Addr().String(), l: l, http: &fasthttp.Server{Handler: h, Logger: discardLogger{}, NoDefaultServerHeader: true}}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Close stops accepting connections. It does not wait for requests in
// progress.
func (l *Listener) Close() { _ = l.l.Close() }

// discardLogger drops the log messages of fasthttp.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// FreePort chooses from a range below the ephemeral ports of the operating
// system, so that no outgoing connection takes a port between FreePort and the
// listen of the process that uses it.
const (
	lowestPort   = 10_000
	highestPort  = 30_000
	portAttempts = 100
)

// FreePort returns a loopback address on which no process listens, for a
// process that reads its port from its settings.
func FreePort() (string, error) {
	var last error
	for range portAttempts {
		a := net.JoinHostPort("127.0.0.1", strconv.Itoa(lowestPort+rand.IntN(highestPort-lowestPort)))
		l, err := net.Listen("tcp", a)
		if err == nil {
			return a, l.Close()
		}
		last = err
	}
	return "", errors.Wrapf(last, "serve: no free port after %d attempts", portAttempts)
}

// JSON responds with v encoded as JSON.
func JSON(c *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}
