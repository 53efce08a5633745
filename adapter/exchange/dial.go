package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DialTimeout bounds one attempt to connect. A healthy replica in the same
	// region accepts within a few milliseconds.
	DialTimeout = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveProbes detect an unreachable
	// server on a connection without traffic within about three seconds.
	// userTimeout bounds the same case while sent bytes are unacknowledged. On Linux it
	// also decides in place of keepAliveProbes when the probes are given up.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	userTimeout       = 3 * time.Second
)

// Dialer opens connections to servers.
type Dialer interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// DialFunc is a function that implements Dialer.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Dial implements Dialer.
func (f DialFunc) Dial(ctx context.Context, addr string) (net.Conn, error) { return f(ctx, addr) }

// IndirectConn is a connection through another instance.
type IndirectConn interface {
	net.Conn
	// Via names the instance and the connection to it.
	Via() string
	// HasUnread reports whether bytes were received that were not read.
	HasUnread() bool
	// CheckWritten returns an error unless the instance has passed on to the server all bytes that were written. It
	// may be called once, after the server's end of the connection was read.
	CheckWritten() error
}

// DialDirect opens a TCP connection from this process to the server.
func DialDirect(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	c, err := d.DialContext(ctx, "tcp4", addr)
	return c, errors.Wrap(err, "exchange")
}

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall doesn't define.
const tcpUserTimeout = 18

// setUserTimeout sets userTimeout on a socket before it connects.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var e error
	err := c.Control(func(fd uintptr) {
		e = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return e
}
