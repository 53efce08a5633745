// Package exchange sends HTTP/1.1 requests to backend servers over
// connections that it owns. It repeats nothing by itself, says of each
// failure whether bytes were sent, keeps an answer of another request apart,
// and cancels by closing. net/http's client hides all four.
package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"fieldvale/adapter/httpconn"
)

const (
	// dialTimeout bounds one attempt to connect; a sound replica in the same
	// region takes a few milliseconds.
	dialTimeout = 700 * time.Millisecond
	// idleFor is how long a connection is kept whose server states no time.
	idleFor = 20 * time.Second
	// idleMargin is how much before the server's stated time a connection is
	// given up, so that it is not used while the server closes it.
	idleMargin = 700 * time.Millisecond
	// idlePerPeer bounds the idle connections to one server.
	idlePerPeer = 24
	// probeIdle, probeEvery and probeCount find a server that went silent
	// within about three seconds; userTimeout does it for unsent bytes.
	probeIdle   = time.Second
	probeEvery  = time.Second
	probeCount  = 2
	userTimeout = 3 * time.Second
	bufferSize  = 4 << 10
)

// Pool keeps connections to servers by address. It is safe for concurrent
// use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// dialed counts the connections opened; each has a price.
	dialed int
	// probes are the looks at addresses under way.
	probes singleflight.Group
	// sweepAt is when idle connections are looked through again.
	sweepAt time.Time
	clock   func() time.Time
}

// conn is a connection and what was read of it ahead.
type conn struct {
	c net.Conn
	r *bufio.Reader
	// expires is when the server may close the idle connection.
	expires time.Time
}

// New returns a pool with no connections.
func New(clock func() time.Time) *Pool { return &Pool{idle: map[string][]*conn{}, clock: clock} }

// Dialed returns how many connections were opened.
func (p *Pool) Dialed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// sweepEvery is between looks through the idle connections for those whose
// time is over: servers come and go for as long as the process runs.
const sweepEvery = 5 * time.Second

// sweep closes the idle connections that can't be used any more. The caller
// holds the lock.
func (p *Pool) sweep(now time.Time) {
	if now.Before(p.sweepAt) {
		return
	}
	p.sweepAt = now.Add(sweepEvery)
	for addr, l := range p.idle {
		k := l[:0]
		for _, c := range l {
			if now.Before(c.expires) {
				k = append(k, c)
				continue
			}
			_ = c.c.Close()
		}
		p.idle[addr] = k
		if len(k) == 0 {
			delete(p.idle, addr)
		}
	}
}

func (p *Pool) conn(ctx context.Context, addr string) (*conn, error) {
	if c := p.take(addr); c != nil {
		return c, nil
	}
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control:         setUserTimeout,
	}
	k, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "exchange")
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return &conn{c: k, r: bufio.NewReaderSize(k, bufferSize)}, nil
}

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
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

// take returns an idle connection that is open and has nothing to read, the
// one used last first.
func (p *Pool) take(addr string) *conn {
	for {
		p.mu.Lock()
		l := p.idle[addr]
		if len(l) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := l[len(l)-1]
		p.idle[addr] = l[:len(l)-1]
		p.mu.Unlock()
		if p.clock().Before(c.expires) && httpconn.Quiet(c.c) {
			return c
		}
		_ = c.c.Close()
	}
}

// put keeps a connection whose answer was read to its end. Bytes beyond it
// belong to no request.
func (p *Pool) put(addr string, c *conn, keep time.Duration) {
	_ = c.c.SetDeadline(time.Time{})
	c.expires = p.clock().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(p.clock())
	if c.r.Buffered() > 0 || keep <= 0 || len(p.idle[addr]) >= idlePerPeer {
		_ = c.c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}
