package socket

import (
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Gate decides whether connections are accepted.
type Gate interface {
	Meter
	// RefuseFor returns for how long connections must be refused before the gate is asked again; 0 if
	// one may be accepted now.
	RefuseFor() time.Duration
	// Accepted counts a connection that was accepted, FirstRead the first bytes that it received, or
	// its end without any.
	Accepted()
	FirstRead()
}

// reopenInterval is the interval at which a listener that can't be opened again is tried again.
const reopenInterval = 10 * time.Millisecond

// receiveBuffer is the size of the system's buffer for what a client has sent and the process has not read, in bytes.
// Such bytes are memory of the machine too.
const receiveBuffer = 64 << 10

// drainTime bounds for how long connections are accepted that were opened before the gate refused them.
const drainTime = time.Millisecond

// GatedListener is a TCP listener that is closed while its gate refuses connections, so that clients are
// refused before they send anything.
type GatedListener struct {
	gate Gate
	addr net.Addr
	log  func(event string, fields ...any)

	mu sync.Mutex
	// listener is nil while connections are refused.
	listener net.Listener
	// isDraining is set if the listener is about to be closed.
	isDraining bool
	accepted   map[*acceptedConn]bool
	closed     chan struct{}
}

var _ net.Listener = (*GatedListener)(nil)

// Gated returns a listener that accepts connections from l, and from listeners at the same address, as the
// gate allows. Connections are counted by the gate.
func Gated(l net.Listener, g Gate, log func(event string, fields ...any)) *GatedListener {
	x := &GatedListener{gate: g, addr: l.Addr(), log: log, listener: l, accepted: map[*acceptedConn]bool{}, closed: make(chan struct{})}
	x.limitBuffers(l)
	return x
}

// limitBuffers bounds the receive buffers of the connections that the listener accepts.
func (g *GatedListener) limitBuffers(l net.Listener) {
	if err := setReceiveBuffer(l, receiveBuffer); err != nil {
		g.log("receive_buffer_not_set", "addr", g.addr, "error", err)
	}
}

// setReceiveBuffer sets the size of the receive buffers of connections accepted from now on, in bytes.
func setReceiveBuffer(l net.Listener, size int) error {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	r, err := t.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket: receive buffer")
	}
	var failed error
	err = r.Control(func(fd uintptr) { failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size) })
	return errors.Wrap(errors.CombineErrors(err, failed), "socket: receive buffer")
}

// Accept implements net.Listener.
func (g *GatedListener) Accept() (net.Conn, error) {
	for {
		l, err := g.open()
		if err != nil {
			return nil, err
		}
		c, err := l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			g.shut()
			continue
		}
		if err != nil {
			return nil, err
		}
		return g.accept(c), nil
	}
}

// accept returns the connection to be used.
func (g *GatedListener) accept(c net.Conn) net.Conn {
	g.gate.Accepted()
	a := &acceptedConn{Conn: Metered(c, g.gate), firstRead: sync.OnceFunc(g.gate.FirstRead), idleSince: time.Now()}
	a.onClose = sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.accepted, a)
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accepted[a] = true
	return a
}

// CloseIdle closes the connections that have carried nothing for the given time, and on which no request is
// in progress. It returns their number.
func (g *GatedListener) CloseIdle(idleFor time.Duration) int {
	g.mu.Lock()
	l := slices.Collect(maps.Keys(g.accepted))
	g.mu.Unlock()
	n := 0
	for _, c := range l {
		if c.closeIdle(time.Now().Add(-idleFor)) {
			n++
		}
	}
	return n
}

// open returns the listener once the gate allows connections, or while those that were opened before it
// refused them are accepted.
func (g *GatedListener) open() (net.Listener, error) {
	for {
		d := g.gate.RefuseFor()
		if l := g.drain(d > 0); l != nil {
			return l, nil
		}
		if d <= 0 {
			if l, err := g.reopen(); l != nil || err != nil {
				return l, err
			}
			d = reopenInterval
		}
		select {
		case <-g.closed:
			return nil, net.ErrClosed
		case <-time.After(d):
		}
	}
}

// drain returns the listener if it is open. If the gate refuses connections, it sets the time at which the
// listener is closed. Until then connections that are open already are accepted: what their clients have sent has
// passed the link.
func (g *GatedListener) drain(isRefusing bool) net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, ok := g.listener.(*net.TCPListener)
	if !ok || g.isDraining == isRefusing {
		return g.listener
	}
	g.isDraining = isRefusing
	var until time.Time
	if isRefusing {
		until = time.Now().Add(drainTime)
	}
	_ = l.SetDeadline(until)
	return g.listener
}

// reopen returns the listener, which it opens if it is closed; nil if that failed.
func (g *GatedListener) reopen() (net.Listener, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.closed:
		return nil, net.ErrClosed
	default:
	}
	if g.listener != nil {
		return g.listener, nil
	}
	l, err := net.Listen("tcp", g.addr.String())
	if err != nil {
		g.log("listen_failed", "addr", g.addr, "error", err)
		return nil, nil
	}
	g.limitBuffers(l)
	g.listener, g.isDraining = l, false
	return l, nil
}

// shut closes the listener, which refuses the connections that wait to be accepted.
func (g *GatedListener) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil {
		_ = g.listener.Close()
		g.listener = nil
	}
}

// Close implements net.Listener.
func (g *GatedListener) Close() error {
	g.mu.Lock()
	select {
	case <-g.closed:
	default:
		close(g.closed)
	}
	g.mu.Unlock()
	g.shut()
	return nil
}

// Addr implements net.Listener.
func (g *GatedListener) Addr() net.Addr { return g.addr }

// acceptedConn is a client's connection that knows whether it is idle.
type acceptedConn struct {
	net.Conn
	firstRead, onClose func()

	mu sync.Mutex
	// idleSince is when the connection began to wait for a request; zero while one is in progress.
	idleSince time.Time
	// isClosed is set once the connection was closed while it was idle.
	isClosed bool
}

// MarkIdle records that the connection waits for its next request, if c is of a GatedListener or a LimitedListener.
func MarkIdle(c net.Conn) {
	if l := LimitOf(c); l != nil {
		l.Reset()
	}
	markIdleSince(c, time.Now())
}

// MarkBusy records that a request is in progress on the connection, if c is of a GatedListener. Its first bytes may
// have been read before the connection was marked as idle.
func MarkBusy(c net.Conn) { markIdleSince(c, time.Time{}) }

func markIdleSince(c net.Conn, t time.Time) {
	if l, ok := c.(*limitedConn); ok {
		c = l.Conn
	}
	a, ok := c.(*acceptedConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idleSince = t
}

// closeIdle closes the connection if it has been idle since the given time or longer.
func (c *acceptedConn) closeIdle(since time.Time) bool {
	c.mu.Lock()
	if c.isClosed || c.idleSince.IsZero() || c.idleSince.After(since) {
		c.mu.Unlock()
		return false
	}
	c.isClosed = true
	c.mu.Unlock()
	_ = c.Close()
	return true
}

// Read implements net.Conn. The first bytes end the time in which the connection is idle.
func (c *acceptedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.firstRead()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idleSince = time.Time{}
	}
	return n, err
}

// Close implements net.Conn.
func (c *acceptedConn) Close() error {
	c.firstRead()
	c.onClose()
	return c.Conn.Close()
}
