// Package httpconn makes single HTTP calls by fasthttp over connections that
// it owns, so that a call can be cancelled at any moment and a failure tells
// whether bytes were sent. fasthttp's own client hides both, and repeats
// calls by itself.
package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fieldvale/outcome"
)

const (
	// idlePerPeer bounds the idle connections kept to one peer.
	idlePerPeer = 16
	// idleFor is how long a connection may be idle and be used again; less
	// than servers keep theirs.
	idleFor = 5 * time.Second
	// maxBody bounds an answer that is read whole, in bytes.
	maxBody = 8 << 20
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 500 * time.Millisecond
)

// Client calls peers by address. It is safe for concurrent use.
type Client struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	c       net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	expires time.Time
}

// New returns a client with no connections.
func New() *Client {
	return &Client{idle: map[string][]*conn{}}
}

// Call is one request in progress. Close must be called.
type Call struct {
	client *Client
	addr   string
	conn   *conn
	stop   func() bool
	resp   *fasthttp.Response
	whole  bool
}

// Do sends the request and reads the whole answer. A failure is an
// *outcome.Error: NotRun if no byte of the request was sent.
func (c *Client) Do(ctx context.Context, addr string, q *fasthttp.Request, p *fasthttp.Response) error {
	l, err := c.start(ctx, addr, q, p, false)
	if err != nil {
		return err
	}
	l.whole = true
	l.Close()
	return nil
}

// DoFresh is Do over a new connection, for a request that may not be
// repeated: a connection that the peer closed while it was idle would leave
// the outcome unknown.
func (c *Client) DoFresh(ctx context.Context, addr string, q *fasthttp.Request, p *fasthttp.Response) error {
	c.dropIdle(addr)
	return c.Do(ctx, addr, q, p)
}

// Stream sends the request and reads the answer's head. The body is read
// from the call.
func (c *Client) Stream(ctx context.Context, addr string, q *fasthttp.Request, p *fasthttp.Response) (*Call, error) {
	return c.start(ctx, addr, q, p, true)
}

// Body is the answer's body as it comes in.
func (l *Call) Body() io.Reader { return l.resp.BodyStream() }

// Done says that the body was read to its end, so that the connection can
// serve another call.
func (l *Call) Done() { l.whole = true }

// Close ends the call. A body that was not read to its end ends the
// connection too, which tells the peer to stop working on it.
func (l *Call) Close() {
	ok := l.stop()
	if l.whole && ok && !l.resp.ConnectionClose() {
		l.client.put(l.addr, l.conn)
		return
	}
	_ = l.conn.c.Close()
}

func (c *Client) start(ctx context.Context, addr string, q *fasthttp.Request, p *fasthttp.Response, stream bool) (*Call, error) {
	n, err := c.conn(ctx, addr)
	if err != nil {
		return nil, outcome.New(outcome.NotRun, "dial", addr, err)
	}
	if d, ok := ctx.Deadline(); ok {
		_ = n.c.SetDeadline(d)
	}
	l := &Call{client: c, addr: addr, conn: n, resp: p}
	l.stop = context.AfterFunc(ctx, func() { _ = n.c.SetDeadline(time.Unix(1, 0)) })
	if err := l.exchange(q, stream); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Call) exchange(q *fasthttp.Request, stream bool) error {
	if err := q.Write(l.conn.w); err != nil {
		return outcome.New(outcome.Unknown, "write", l.addr, err)
	}
	if err := l.conn.w.Flush(); err != nil {
		return outcome.New(outcome.Unknown, "write", l.addr, err)
	}
	l.resp.StreamBody = stream
	if err := l.resp.ReadLimitBody(l.conn.r, maxBody); err != nil {
		return outcome.New(outcome.Unknown, "read", l.addr, err)
	}
	return nil
}

func (c *Client) conn(ctx context.Context, addr string) (*conn, error) {
	if n := c.take(addr); n != nil {
		return n, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	k, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "httpconn")
	}
	return &conn{c: k, r: bufio.NewReader(k), w: bufio.NewWriter(k)}, nil
}

func (c *Client) take(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := c.idle[addr]; len(l) > 0; l = c.idle[addr] {
		n := l[len(l)-1]
		c.idle[addr] = l[:len(l)-1]
		if time.Now().Before(n.expires) && Quiet(n.c) {
			return n
		}
		_ = n.c.Close()
	}
	return nil
}

func (c *Client) put(addr string, n *conn) {
	_ = n.c.SetDeadline(time.Time{})
	n.expires = time.Now().Add(idleFor)
	c.mu.Lock()
	defer c.mu.Unlock()
	// What is read ahead belongs to no request: a second answer, or a late one.
	if len(c.idle[addr]) >= idlePerPeer || n.r.Buffered() > 0 {
		_ = n.c.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], n)
}

func (c *Client) dropIdle(addr string) {
	c.mu.Lock()
	l := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, n := range l {
		_ = n.c.Close()
	}
}

// Quiet reports whether an idle connection is open and has nothing to read:
// a peer that closed it shows as readable.
func Quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	q := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		q = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && q
}
