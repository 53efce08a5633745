package socket

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/connlimit"
)

// acceptRetryDelay is the pause before connections are accepted again after an error that passes.
const acceptRetryDelay = 10 * time.Millisecond

// LimitedListener accepts connections as far as a limiter has room for them, and closes the others.
type LimitedListener struct {
	net.Listener
	limiter *connlimit.Limiter
}

// Limited returns a listener that accepts connections from n within the limits of l.
func Limited(n net.Listener, l *connlimit.Limiter) *LimitedListener { return &LimitedListener{n, l} }

// Accept implements net.Listener.
func (l *LimitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if isTemporary(err) {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return nil, err
		}
		limit, err := l.limiter.Open(func(p connlimit.Phase) { interrupt(c, p) })
		if err == nil {
			return &limitedConn{Conn: c, limit: limit}, nil
		}
		// The limiter has reported why. An error of Close is of no interest: nothing was read.
		_ = c.Close()
	}
}

// isTemporary reports whether connections may be accepted again after the error: the client left, or the process or the
// system has no descriptor left.
func isTemporary(err error) bool {
	return errors.IsAny(err, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE)
}

// interrupt ends the reads of a connection. One on which a body is arriving can still be written to.
func interrupt(c net.Conn, p connlimit.Phase) {
	if p == connlimit.Body {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Close()
}

// limitedConn is a connection of a LimitedListener.
type limitedConn struct {
	net.Conn
	limit *connlimit.Conn
}

// LimitOf returns the limits of a connection, or of the one that its TLS session uses; nil if it is not of a
// LimitedListener.
func LimitOf(c net.Conn) *connlimit.Conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if l, ok := c.(*limitedConn); ok {
		return l.limit
	}
	return nil
}

// Read implements net.Conn. The error of a connection that was interrupted is one of reading, which a server doesn't
// answer.
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if e := c.limit.Received(b[:n]); e != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: e}
	}
	return n, err
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.limit.Close()
	return c.Conn.Close()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithLimit returns a context with the limits of the connection; it is the ConnContext of an http.Server.
func WithLimit(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, LimitOf(c))
}

// LimitFrom returns the limits of the connection of a context. If there are none, nothing limits it.
func LimitFrom(ctx context.Context) *connlimit.Conn {
	if c, _ := ctx.Value(connKey{}).(*connlimit.Conn); c != nil {
		return c
	}
	return connlimit.Unlimited()
}

// ServeLimited serves requests without bodies on n within the limits of l until n is closed.
func ServeLimited(n net.Listener, l *connlimit.Limiter, s *http.Server) error {
	h := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := LimitFrom(r.Context()).EndBody(); err != nil {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
	s.ConnContext = WithLimit
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			MarkIdle(c)
		}
	}
	return s.Serve(Limited(n, l))
}
