package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/readlimit"
	"fieldvale/outcome"
)

// Request is one HTTP request. Target and the header's names and values are
// sent unchanged; only Host and Content-Length are added.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request in answers; empty if answers don't have it. A request with the id of an earlier one
	// is not sent over the same connection, as a late answer to that one would be taken for its own.
	ID string
	// Attribute returns which request a response with this header belongs to. nil takes any
	// response for the request's own.
	Attribute func(http.Header) Attribution
}

// Attribution is which request a response belongs to.
type Attribution int

const (
	// Own: the response is to the request in hand.
	Own Attribution = iota
	// Other: the response is to another request and is skipped.
	Other
	// Unattributed: nothing tells which request the response is to. Nothing that it says is relied
	// on, and its connection is closed.
	Unattributed
)

// Response is a response whose body has not been read yet. The caller must call
// Close.
type Response struct {
	Status int
	Header http.Header

	body io.ReadCloser
	// trailers returns the headers behind the body, once it was read.
	trailers func() http.Header
	pool     *Pool
	addr     string
	conn     *conn
	// stopCancel ends the cancellation by the request's context, and returns false
	// if the context was done before.
	stopCancel func() bool
	// upload is the writing of a long request body; nil if the body was written together with the header.
	upload *upload
	// idleTimeout is how long the connection may stay idle after this response.
	idleTimeout time.Duration
	// bodyRead is set once the response's body was read to its end.
	bodyRead bool
	// length is the body's length in bytes; negative if the head has none.
	length int64
	// endsWithConnection is set if the body has neither a length nor chunks.
	endsWithConnection bool
}

// canceled is the deadline of a connection whose request was canceled.
var canceled = time.Unix(1, 0)

// Do sends the request and reads the response's header. A failure is an
// *outcome.Error of kind NotRun if no byte was sent, else Unknown.
func (p *Pool) Do(ctx context.Context, addr string, q *Request) (*Response, error) {
	c, err := p.getConn(ctx, addr, q.ID)
	if err != nil {
		return nil, outcome.New(outcome.NotRun, "dial", addr, err)
	}
	if d, ok := ctx.Deadline(); ok {
		_ = c.netConn.SetDeadline(d)
	}
	s := &Response{pool: p, addr: addr, conn: c, idleTimeout: defaultIdleTimeout}
	s.stopCancel = context.AfterFunc(ctx, func() { _ = c.netConn.SetDeadline(canceled) })
	c.recordSent(q.ID)
	if err := s.writeRequest(q); err != nil {
		s.Close()
		return nil, outcome.New(outcome.Unknown, "write", addr, errors.Wrap(err, s.Use().String()))
	}
	if err := s.readHeader(ctx, q); err != nil {
		s.Close()
		return nil, outcome.New(outcome.Unknown, "read", addr, errors.Wrap(err, s.Use().String()))
	}
	return s, nil
}

// Use identifies an exchange by its connection.
type Use struct {
	// LocalAddr is this end of the connection.
	LocalAddr string
	// Number is the number of the exchange among those of the connection, from 1.
	Number int
}

// String returns the use as in logs.
func (u Use) String() string {
	return fmt.Sprintf("request %d of connection %s", u.Number, u.LocalAddr)
}

// Use returns the connection of the exchange.
func (s *Response) Use() Use {
	return Use{LocalAddr: s.conn.netConn.LocalAddr().String(), Number: s.conn.requests}
}

// maxInlineBody is the longest body, in bytes, that is sent in one write with its
// header. A longer body is written concurrently with reading the response, since a
// server may respond before it has read the body.
const maxInlineBody = 2 << 10

// writeRequest writes the request's header, and writes or starts writing its body.
func (s *Response) writeRequest(q *Request) error {
	b := q.encodeHeader()
	if len(q.Body) <= maxInlineBody {
		_, err := s.conn.netConn.Write(append(b, q.Body...))
		return err
	}
	if _, err := s.conn.netConn.Write(b); err != nil {
		return err
	}
	s.upload = startUpload(s.conn.netConn, q.Body)
	return nil
}

// encodeHeader returns the request line and header with the empty line that ends them.
func (q *Request) encodeHeader() []byte {
	var b bytes.Buffer
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	for n, l := range q.Header {
		for _, v := range l {
			b.WriteString(n + ": " + v + "\r\n")
		}
	}
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// attribute returns which request a response with the header belongs to.
func (q *Request) attribute(h http.Header) Attribution {
	if q.Attribute == nil {
		return Own
	}
	return q.Attribute(h)
}

// idleTimeoutOf returns how long the connection may stay idle after the response; 0 or
// less if it must be closed.
func idleTimeoutOf(r *http.Response) time.Duration {
	if r.Close {
		return 0
	}
	_, t, ok := strings.Cut(r.Header.Get("Keep-Alive"), "timeout=")
	if !ok {
		return defaultIdleTimeout
	}
	t, _, _ = strings.Cut(t, ",")
	n, err := strconv.Atoi(strings.TrimSpace(t))
	if err != nil {
		return defaultIdleTimeout
	}
	return time.Duration(n)*time.Second - idleMargin
}

// EndsWithConnection reports whether the body has neither a length nor chunks, so that its end is that of
// the connection. The body then may be incomplete although it was read without an error: a server that crashes ends
// its connections like one that closes them.
func (s *Response) EndsWithConnection() bool { return s.endsWithConnection }

// Via names the instance through which the connection runs; empty for a direct connection.
func (s *Response) Via() string {
	if x, ok := s.conn.netConn.(IndirectConn); ok {
		return x.Via()
	}
	return ""
}

// Read implements io.Reader on the response's body. It returns io.EOF at the end of a whole body only.
func (s *Response) Read(b []byte) (int, error) {
	n, err := s.body.Read(b)
	if errors.Is(err, io.EOF) {
		err = s.checkEnd()
	}
	s.bodyRead = s.bodyRead || errors.Is(err, io.EOF)
	return n, err
}

// Close ends the exchange. The connection goes back to the pool if the response was
// read and the request written completely. Otherwise Close closes the connection,
// which cancels the request.
func (s *Response) Close() {
	notCanceled := s.stopCancel()
	if s.bodyRead && notCanceled && s.upload.wait(uploadGrace) == nil {
		s.pool.putIdle(s.addr, s.conn, s.idleTimeout)
		return
	}
	_ = s.conn.netConn.Close()
}

// ReadAll reads the body to its end. It returns readlimit.ErrExceeded if the body is longer than most bytes.
func (s *Response) ReadAll(most int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(s, most+1))
	if err == nil && int64(len(b)) > most {
		return nil, errors.Wrapf(readlimit.ErrExceeded, "want at most %d bytes", most)
	}
	return b, err
}

// CloseReceived ends the exchange without waiting for the rest of the body. The connection goes back to the pool
// only if all of the body was received already.
func (s *Response) CloseReceived() {
	s.conn.limit.Limit(0)
	_, _ = io.Copy(io.Discard, s)
	s.conn.limit.Unlimit()
	s.Close()
}

// Length returns the length that the head states for the body, in bytes; negative if it states none.
func (s *Response) Length() int64 { return s.length }
