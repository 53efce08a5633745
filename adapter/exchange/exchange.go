package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/outcome"
)

// Request is one request as it goes out. Target and the header's names and
// values are sent as they are; the body's length is added.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Mine reports whether an answer's header belongs to this request; one
	// that does not is skipped. nil takes any.
	Mine func(http.Header) bool
}

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header

	body    io.ReadCloser
	pool    *Pool
	addr    string
	conn    *conn
	stop    func() bool
	written chan error
	keep    time.Duration
	ended   bool
}

// maxStrays bounds how many answers of other requests are skipped.
const maxStrays = 2

// ErrStray says that a connection held answers of other requests only.
var ErrStray = errors.New("the answer is another request's")

// Do sends the request and reads the answer's head. A failure is an
// *outcome.Error: NotRun if no byte was sent.
func (p *Pool) Do(ctx context.Context, addr string, q *Request) (*Response, error) {
	c, err := p.conn(ctx, addr)
	if err != nil {
		return nil, outcome.New(outcome.NotRun, "dial", addr, err)
	}
	if d, ok := ctx.Deadline(); ok {
		_ = c.c.SetDeadline(d)
	}
	s := &Response{pool: p, addr: addr, conn: c, keep: idleFor}
	s.stop = context.AfterFunc(ctx, func() { _ = c.c.SetDeadline(time.Unix(1, 0)) })
	if err := s.send(q); err != nil {
		s.Close()
		return nil, outcome.New(outcome.Unknown, "write", addr, err)
	}
	if err := s.readHead(q); err != nil {
		s.Close()
		return nil, outcome.New(outcome.Unknown, "read", addr, err)
	}
	return s, nil
}

// inlineBody is the longest body, in bytes, that goes out with its head in
// one write. A longer one is written beside the reading, since a server may
// answer before it has read the body.
const inlineBody = 2 << 10

func (s *Response) send(q *Request) error {
	b := q.head()
	if len(q.Body) <= inlineBody {
		_, err := s.conn.c.Write(append(b, q.Body...))
		return err
	}
	if _, err := s.conn.c.Write(b); err != nil {
		return err
	}
	s.written = make(chan error, 1)
	go func() {
		_, err := s.conn.c.Write(q.Body)
		s.written <- err
	}()
	return nil
}

// head returns the request's head with the empty line.
func (q *Request) head() []byte {
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

func (s *Response) readHead(q *Request) error {
	for range maxStrays + 1 {
		r, err := http.ReadResponse(s.conn.r, &http.Request{Method: q.Method})
		if err != nil {
			return err
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		if q.Mine != nil && !q.Mine(r.Header) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return err
			}
			continue
		}
		s.Status, s.Header, s.body = r.StatusCode, r.Header, r.Body
		s.keep = keepFor(r)
		return nil
	}
	return ErrStray
}

// keepFor is how long the connection may be kept after the answer.
func keepFor(r *http.Response) time.Duration {
	if r.Close {
		return 0
	}
	_, t, ok := strings.Cut(r.Header.Get("Keep-Alive"), "timeout=")
	if !ok {
		return idleFor
	}
	t, _, _ = strings.Cut(t, ",")
	n, err := strconv.Atoi(strings.TrimSpace(t))
	if err != nil {
		return idleFor
	}
	return time.Duration(n)*time.Second - idleMargin
}

// Read reads the body.
func (s *Response) Read(b []byte) (int, error) {
	n, err := s.body.Read(b)
	s.ended = s.ended || errors.Is(err, io.EOF)
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read to
// its end and the request was written whole; else closing it cancels.
func (s *Response) Close() {
	quiet := s.stop()
	if s.ended && quiet && s.writtenWhole() {
		s.pool.put(s.addr, s.conn, s.keep)
		return
	}
	_ = s.conn.c.Close()
}

// writtenWhole reports whether the request's body is out by now.
func (s *Response) writtenWhole() bool {
	if s.written == nil {
		return true
	}
	select {
	case err := <-s.written:
		return err == nil
	default:
		return false
	}
}
