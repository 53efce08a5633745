// Package httpconn sends HTTP requests in fasthttp's types over a connection pool of its
// own. A request can be cancelled at any time, a failure states whether bytes were sent, and
// no request is retried. fasthttp's own client has neither of the first two, and retries
// requests by itself.
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

	"fieldvale/adapter/httphead"
	"fieldvale/adapter/socket"
	"fieldvale/outcome"
)

const (
	// maxIdlePerAddr bounds the idle connections to one address.
	maxIdlePerAddr = 16
	// idleTimeout is how long an idle connection may be reused. It is shorter than the idle
	// timeout of servers.
	idleTimeout = 5 * time.Second
	// maxBody bounds a response body that is read into memory, in bytes.
	maxBody = 8 << 20
	// maxInterim bounds the interim responses before a response.
	maxInterim = 100
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 500 * time.Millisecond
)

// Client sends requests to servers by address. It is safe for concurrent use.
type Client struct {
	mu sync.Mutex
	// idle are the idle connections by address.
	idle map[string][]*conn
}

// conn is a connection with its buffers.
type conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	// expires is when the idle connection must no longer be reused.
	expires time.Time
}

// New returns a client without connections.
func New() *Client {
	return &Client{idle: map[string][]*conn{}}
}

// Call is a request whose response is being read. The caller must call Close.
type Call struct {
	client *Client
	addr   string
	conn   *conn
	// stopCancel ends the cancellation by the call's context, and returns false if the
	// context was done before.
	stopCancel func() bool
	resp       *fasthttp.Response
	// bodyRead is set once the response was read to its end.
	bodyRead bool
}

// Do sends the request and reads the complete response. A failure is an *outcome.Error of
// kind NotRun if no byte of the request was sent, else Unknown.
func (c *Client) Do(ctx context.Context, addr string, q *fasthttp.Request, p *fasthttp.Response) error {
	l, err := c.start(ctx, addr, q, p, false)
	if err != nil {
		return err
	}
	l.bodyRead = true
	l.Close()
	return nil
}

// DoFresh is Do over a new connection, for a request that must not be retried if its outcome
// is unknown. The outcome would be unknown on an idle connection that the server closes.
func (c *Client) DoFresh(ctx context.Context, addr string, q *fasthttp.Request, p *fasthttp.Response) error {
	c.dropIdle(addr)
	return c.Do(ctx, addr, q, p)
}

// Stream sends the request and reads the response's header. The body is then read from
// Call.Body.
func (c *Client) Stream(ctx context.Context, addr string, q *fasthttp.Request, p *fasthttp.Response) (*Call, error) {
	return c.start(ctx, addr, q, p, true)
}

// Body returns a reader of the response's body.
func (l *Call) Body() io.Reader { return l.resp.BodyStream() }

// MarkBodyRead marks the body as read to its end, so that Close keeps the connection.
func (l *Call) MarkBodyRead() { l.bodyRead = true }

// Close ends the call. If the body was not read to its end, Close closes the connection,
// which cancels the request at the server.
func (l *Call) Close() {
	notCanceled := l.stopCancel()
	if l.bodyRead && notCanceled && !l.resp.ConnectionClose() {
		l.client.putIdle(l.addr, l.conn)
		return
	}
	_ = l.conn.netConn.Close()
}

// start sends the request over an idle or new connection and reads the response, without its
// body if stream is set.
func (c *Client) start(ctx context.Context, addr string, q *fasthttp.Request, p *fasthttp.Response, stream bool) (*Call, error) {
	n, err := c.getConn(ctx, addr)
	if err != nil {
		return nil, outcome.New(outcome.NotRun, "dial", addr, err)
	}
	if d, ok := ctx.Deadline(); ok {
		_ = n.netConn.SetDeadline(d)
	}
	l := &Call{client: c, addr: addr, conn: n, resp: p}
	l.stopCancel = context.AfterFunc(ctx, func() { _ = n.netConn.SetDeadline(time.Unix(1, 0)) })
	if err := l.roundTrip(q, stream); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// roundTrip writes the request and reads the response.
func (l *Call) roundTrip(q *fasthttp.Request, stream bool) error {
	if err := q.Write(l.conn.writer); err != nil {
		return outcome.New(outcome.Unknown, "write", l.addr, err)
	}
	if err := l.conn.writer.Flush(); err != nil {
		return outcome.New(outcome.Unknown, "write", l.addr, err)
	}
	if err := l.readResponse(stream); err != nil {
		return outcome.New(outcome.Unknown, "read", l.addr, err)
	}
	return nil
}

// readResponse reads the response, without its body if stream is set.
func (l *Call) readResponse(stream bool) error {
	if err := l.skipInterim(); err != nil {
		return err
	}
	l.resp.Reset()
	l.resp.StreamBody = stream
	if err := l.resp.Header.Read(l.conn.reader); err != nil {
		return err
	}
	if s := l.resp.StatusCode(); s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified {
		return nil
	}
	length := l.resp.Header.ContentLength()
	if err := l.resp.ReadBody(l.conn.reader, maxBody); err != nil {
		return err
	}
	switch {
	case stream || length >= 0:
		return nil
	case length == chunkedLength:
		return l.readTrailers()
	}
	// The body ends with the connection, whose reset is not reported behind its end.
	err := socket.WaitDelivered(l.conn.netConn, time.Now().Add(deliveryTimeout))
	return errors.Wrap(err, "the answer ended before its request was read")
}

const (
	// chunkedLength is fasthttp's content length of a body in chunks.
	chunkedLength = -1
	// deliveryTimeout bounds the wait for a server to read its request after it has ended its answer.
	deliveryTimeout = 2 * time.Second
)

// skipInterim checks the head that comes next, and skips those of interim responses before.
func (l *Call) skipInterim() error {
	for range maxInterim + 1 {
		b, err := httphead.Peek(l.conn.reader)
		if err != nil {
			return err
		}
		status, err := httphead.Check(b)
		if err != nil || status >= fasthttp.StatusOK {
			return err
		}
		if _, err := l.conn.reader.Discard(len(b)); err != nil {
			return err
		}
	}
	return errors.Newf("more than %d interim responses", maxInterim)
}

// readTrailers reads what follows a body in chunks.
func (l *Call) readTrailers() error {
	b, err := httphead.Peek(l.conn.reader)
	if err != nil {
		return err
	}
	if err := httphead.CheckTrailers(b); err != nil {
		return err
	}
	_, err = l.conn.reader.Discard(len(b))
	return err
}

// getConn returns an idle connection to the address, or else a new one.
func (c *Client) getConn(ctx context.Context, addr string) (*conn, error) {
	if n := c.takeIdle(addr); n != nil {
		return n, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	k, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "httpconn")
	}
	return &conn{netConn: k, reader: bufio.NewReader(k), writer: bufio.NewWriter(k)}, nil
}

// takeIdle removes the most recently used idle connection and returns it; nil if there is
// none. It closes connections that have expired, were closed by the server or have unread
// bytes.
func (c *Client) takeIdle(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := c.idle[addr]; len(l) > 0; l = c.idle[addr] {
		n := l[len(l)-1]
		c.idle[addr] = l[:len(l)-1]
		if time.Now().Before(n.expires) && IsReusable(n.netConn) {
			return n
		}
		_ = n.netConn.Close()
	}
	return nil
}

// putIdle keeps a connection for the next request, or closes it.
func (c *Client) putIdle(addr string, n *conn) {
	_ = n.netConn.SetDeadline(time.Time{})
	n.expires = time.Now().Add(idleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	// Buffered bytes belong to no request: they are a second or a late response.
	if len(c.idle[addr]) >= maxIdlePerAddr || n.reader.Buffered() > 0 {
		_ = n.netConn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], n)
}

// dropIdle closes all idle connections to the address.
func (c *Client) dropIdle(addr string) {
	c.mu.Lock()
	l := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, n := range l {
		_ = n.netConn.Close()
	}
}

// IsReusable reports whether an idle connection is open and has no unread bytes. It reads
// without blocking: a connection that the peer has closed is readable.
func IsReusable(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}
