// Package exchange is an HTTP/1.1 client for backend servers with a connection
// pool of its own. It never retries a request, reports for each failure whether
// bytes were sent, skips responses that belong to another request, and cancels
// a request by closing its connection. net/http's client gives no control over
// any of the four.
package exchange

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"fieldvale/adapter/httpconn"
	"fieldvale/adapter/readlimit"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the server
	// states no timeout in a Keep-Alive header.
	defaultIdleTimeout = 20 * time.Second
	// idleMargin is subtracted from the idle timeout that the server states, so
	// that no request is sent while the server closes the connection.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerAddr bounds the idle connections to one address.
	maxIdlePerAddr = 24
	readBufferSize = 4 << 10
	// idsKept is how many ids of requests a connection keeps. A late answer comes in the place of the next ones.
	idsKept = 4
)

// Pool holds idle connections by server address. It is safe for concurrent
// use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// dialed counts the connections opened, since each costs a handshake.
	dialed int
	// probes merges concurrent probes of one address.
	probes singleflight.Group
	// nextSweep is when expired idle connections are next closed.
	nextSweep time.Time
	clock     func() time.Time
	dialer    Dialer
	// isUsable decides whether an idle connection may be used; nil allows all.
	isUsable func(addr string, c net.Conn) bool
}

// conn is a connection with its read buffer.
type conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	// limit bounds what reader reads from netConn for one part of an answer.
	limit *readlimit.Reader
	// requests is how many requests were sent over the connection, ids are the ids of the last of them.
	requests int
	ids      [idsKept]string
	// expires is when the idle connection must no longer be reused, since the
	// server may close it.
	expires time.Time
}

// New returns an empty pool that connects to servers directly.
func New(clock func() time.Time) *Pool {
	return &Pool{idle: map[string][]*conn{}, clock: clock, dialer: DialFunc(DialDirect)}
}

// WithDialer makes the pool open connections with d. It must be called before the first request.
func (p *Pool) WithDialer(d Dialer) *Pool {
	p.dialer = d
	return p
}

// WithUsable makes the pool close idle connections for which f returns false. It must be called before
// the first request.
func (p *Pool) WithUsable(f func(addr string, c net.Conn) bool) *Pool {
	p.isUsable = f
	return p
}

// Add keeps an open connection to the address for the next request.
func (p *Pool) Add(addr string, c net.Conn) {
	p.putIdle(addr, newConn(c), defaultIdleTimeout)
}

// Dialed returns how many connections were opened.
func (p *Pool) Dialed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// sweepInterval is the least time between two sweeps. Without sweeps, connections
// to servers that no longer exist would stay open as long as the process runs.
const sweepInterval = 5 * time.Second

// sweep closes expired idle connections, at most once per sweepInterval. The
// caller must hold p.mu.
func (p *Pool) sweep(now time.Time) {
	if now.Before(p.nextSweep) {
		return
	}
	p.nextSweep = now.Add(sweepInterval)
	for addr, l := range p.idle {
		k := l[:0]
		for _, c := range l {
			if now.Before(c.expires) {
				k = append(k, c)
				continue
			}
			_ = c.netConn.Close()
		}
		p.idle[addr] = k
		if len(k) == 0 {
			delete(p.idle, addr)
		}
	}
}

// getConn returns an idle connection to the address over which no request with the id was sent lately, or else a
// new one.
func (p *Pool) getConn(ctx context.Context, addr, id string) (*conn, error) {
	if c := p.takeIdle(addr, id); c != nil {
		return c, nil
	}
	k, err := p.dialer.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return newConn(k), nil
}

func newConn(c net.Conn) *conn {
	l := readlimit.New(c)
	return &conn{netConn: c, reader: bufio.NewReaderSize(l, readBufferSize), limit: l}
}

// takeIdle removes the most recently used idle connection from the pool over which no request with the id was
// sent lately, and returns it; nil if there is none. It closes connections that have expired,
// were closed by the server or have unread bytes.
func (p *Pool) takeIdle(addr, id string) *conn {
	for {
		c := p.popIdle(addr, id)
		if c == nil {
			return nil
		}
		if p.clock().Before(c.expires) && p.mayReuse(addr, c.netConn) {
			return c
		}
		_ = c.netConn.Close()
	}
}

// popIdle removes the connection that takeIdle looks at next.
func (p *Pool) popIdle(addr, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[addr]
	for i := len(l) - 1; i >= 0; i-- {
		if c := l[i]; !c.hasSent(id) {
			p.idle[addr] = slices.Delete(l, i, i+1)
			return c
		}
	}
	return nil
}

// recordSent records that a request with the id is sent over the connection.
func (c *conn) recordSent(id string) {
	c.ids[c.requests%idsKept] = id
	c.requests++
}

// hasSent reports whether a request with the id was among the last ones sent over the connection.
func (c *conn) hasSent(id string) bool { return id != "" && slices.Contains(c.ids[:], id) }

// mayReuse reports whether an idle connection may be used: it is open, has no unread bytes, and its way
// to the server is still the one to use.
func (p *Pool) mayReuse(addr string, c net.Conn) bool {
	if p.isUsable != nil && !p.isUsable(addr, c) {
		return false
	}
	if x, ok := c.(IndirectConn); ok && x.HasUnread() {
		return false
	}
	return httpconn.IsReusable(c)
}

// CloseIdle closes all idle connections and returns their number.
func (p *Pool) CloseIdle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, l := range p.idle {
		for _, c := range l {
			_ = c.netConn.Close()
			n++
		}
	}
	clear(p.idle)
	return n
}

// putIdle returns a connection to the pool after its response was read to the
// end. It closes the connection instead if there are buffered bytes beyond the
// response, since they belong to no request, or if the pool is full.
func (p *Pool) putIdle(addr string, c *conn, idleTimeout time.Duration) {
	_ = c.netConn.SetDeadline(time.Time{})
	c.expires = p.clock().Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(p.clock())
	if c.reader.Buffered() > 0 || idleTimeout <= 0 || len(p.idle[addr]) >= maxIdlePerAddr {
		_ = c.netConn.Close()
		return
	}
	if c.reader.Size() > readBufferSize {
		c.reader = bufio.NewReaderSize(c.limit, readBufferSize)
	}
	p.idle[addr] = append(p.idle[addr], c)
}
