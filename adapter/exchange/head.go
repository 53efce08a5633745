package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/httphead"
	"fieldvale/adapter/readlimit"
)

const (
	// maxSkipped bounds how many responses are skipped because they are informational or to other requests.
	maxSkipped = 2
	// maxHeadBytes bounds the head of a response, maxSkippedBytes the body of a response to another request.
	maxHeadBytes    = 32 << 10
	maxSkippedBytes = 256 << 10
	// stepTimeout bounds the time from the first byte of a head to its last, and that for a body that is
	// skipped.
	stepTimeout = 2 * time.Second
)

// ErrUnmatched is returned if more than maxSkipped responses belong to other requests, ErrUnattributed if
// nothing tells which request a response belongs to, ErrInformational if more than maxSkipped responses are
// informational.
var (
	ErrUnmatched     = errors.New("the answer is another request's")
	ErrUnattributed  = errors.New("the answer does not say which request it is to")
	ErrInformational = errors.New("more informational answers than allowed")
)

// readHeader reads the header of the response to the request. It skips
// informational responses and those to other requests.
func (s *Response) readHeader(ctx context.Context, q *Request) error {
	var skipped error
	for range maxSkipped + 1 {
		r, err := s.readHead(ctx, q.Method)
		if err != nil {
			return err
		}
		if r.StatusCode < http.StatusOK {
			skipped = ErrInformational
			continue
		}
		switch q.attribute(r.Header) {
		case Unattributed:
			return ErrUnattributed
		case Other:
			skipped = ErrUnmatched
			if err := s.skipBody(ctx, r.Body); err != nil {
				return err
			}
			continue
		}
		s.Status, s.Header, s.body = r.StatusCode, r.Header, r.Body
		s.trailers = func() http.Header { return r.Trailer }
		s.idleTimeout = idleTimeoutOf(r)
		s.length = r.ContentLength
		s.endsWithConnection = r.Body != http.NoBody && r.ContentLength < 0 && len(r.TransferEncoding) == 0
		return nil
	}
	return skipped
}

// readHead reads the head of the next response.
func (s *Response) readHead(ctx context.Context, method string) (*http.Response, error) {
	if _, err := s.conn.reader.Peek(1); err != nil {
		return nil, err
	}
	defer s.beginStep(ctx, maxHeadBytes)()
	b, err := s.conn.peekHead()
	if err != nil {
		return nil, err
	}
	if _, err := httphead.Check(b); err != nil {
		return nil, err
	}
	return http.ReadResponse(s.conn.reader, &http.Request{Method: method})
}

// peekHead returns the next head, unread. A head that is longer than the read buffer gets a larger one.
func (c *conn) peekHead() ([]byte, error) {
	b, err := httphead.Peek(c.reader)
	if !errors.Is(err, bufio.ErrBufferFull) {
		return b, err
	}
	received, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(received)), c.limit), maxHeadBytes)
	b, err = httphead.Peek(c.reader)
	if errors.Is(err, bufio.ErrBufferFull) {
		err = readlimit.ErrExceeded
	}
	return b, err
}

// skipBody reads the body of a response to another request.
func (s *Response) skipBody(ctx context.Context, body io.Reader) error {
	defer s.beginStep(ctx, maxSkippedBytes)()
	_, err := io.Copy(io.Discard, body)
	return err
}

// beginStep bounds the bytes and the time for one part of the response, until end is called.
func (s *Response) beginStep(ctx context.Context, bytes int) (end func()) {
	deadline, hasDeadline := ctx.Deadline()
	t := time.Now().Add(stepTimeout)
	if hasDeadline && deadline.Before(t) {
		t = deadline
	}
	s.conn.limit.Limit(bytes)
	s.setReadDeadline(ctx, t)
	return func() {
		s.conn.limit.Unlimit()
		s.setReadDeadline(ctx, deadline)
	}
}

// setReadDeadline sets the connection's deadline for reads. It keeps a cancellation by the context, which may have
// set all deadlines before.
func (s *Response) setReadDeadline(ctx context.Context, t time.Time) {
	_ = s.conn.netConn.SetReadDeadline(t)
	if ctx.Err() != nil {
		_ = s.conn.netConn.SetDeadline(canceled)
	}
}
