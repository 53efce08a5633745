package socket

import (
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Meter counts what passes over connections.
type Meter interface {
	// Opened and Closed count connections, Received and Sent bytes.
	Opened()
	Closed()
	Received(bytes int)
	Sent(bytes int)
}

// meteredConn is a connection that a meter counts.
type meteredConn struct {
	net.Conn
	meter Meter
	once  sync.Once
}

// Metered returns the connection c, counted by m until it is closed.
func Metered(c net.Conn, m Meter) net.Conn {
	m.Opened()
	return &meteredConn{Conn: c, meter: m}
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.meter.Received(n)
	}
	return n, err
}

// Write implements net.Conn. The bytes are counted first: a write may wait for a full link.
func (c *meteredConn) Write(b []byte) (int, error) {
	c.meter.Sent(len(b))
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	c.once.Do(c.meter.Closed)
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn, so that unread bytes can be looked for.
func (c *meteredConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("socket: no connection of the operating system")
	}
	return s.SyscallConn()
}
