package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"fieldvale/standin/early"
)

const (
	// earlyBody is what a server sends of its answer's body, in bytes; earlyRequests is how many requests are sent in
	// each case, as the order of a connection's events differs.
	earlyBody     = 1000
	earlyRequests = 20
)

// Heads of answers whose body ends with the connection, has a length, or has chunks.
const (
	unframedHead = "HTTP/1.1 200 OK\r\n\r\n"
	lengthHead   = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
	chunksHead   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n"
	chunksEnd    = "\r\n0\r\n\r\n"
)

// sendUpload sends a request with a body of so many bytes and reads the answer to its end.
func sendUpload(ctx context.Context, p *Pool, addr string, length int) (string, error) {
	r, err := p.Do(ctx, addr, &Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, length)})
	if err != nil {
		return "", err
	}
	defer r.Close()
	b, err := io.ReadAll(r)
	return string(b), err
}

// leastUnread returns the length of a request, in bytes, from which on a server leaves a part unread: it reads one
// buffer, or, where it has ended its answer, its system takes another one.
func leastUnread(e early.End, read float64) int {
	switch {
	case e == early.HalfCloseUnread:
		return 1 << 20
	case e == early.Close || read == 0.5:
		return 64 << 10
	}
	return 0
}

// startEarly starts a server that answers each request before it was read.
func startEarly(t *testing.T, a early.Answer) string {
	s, err := early.Listen(a)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Addr()
}

// Guards against an answer without a length that broke off and is taken for whole, as the error of the connection
// went to the goroutine that writes the request's body; and against a whole answer that is taken for broken.
func TestResetDuringUploadIsNoEndOfAnswer(t *testing.T) {
	body := strings.Repeat("x", earlyBody)
	for _, c := range []struct {
		name, sent string
		end        early.End
		// read is the part of the request that the server reads before it closes the connection.
		read      float64
		wantWhole bool
	}{
		{"no length, reset", unframedHead + body, early.Reset, 0, false},
		{"no length, closed with the request unread", unframedHead + body, early.Close, 0, false},
		{"no length, closed after half of the request", unframedHead + body, early.ReadAndClose, 0.5, false},
		{"no length, closed after the request", unframedHead + body, early.ReadAndClose, 1, true},
		{"no length, ended before the request was read", unframedHead + body, early.HalfClose, 1, true},
		{"no length, ended and closed with the request unread", unframedHead + body, early.HalfCloseUnread, 0, false},
		{"length, reset", lengthHead + body, early.Reset, 0, true},
		{"length, closed with the request unread", lengthHead + body, early.Close, 0, true},
		{"part of the length, reset", lengthHead + body[:900], early.Reset, 0, false},
		{"chunks, reset", chunksHead + body + chunksEnd, early.Reset, 0, true},
		{"chunks without an end, reset", chunksHead + body, early.Reset, 0, false},
	} {
		for _, length := range []int{1 << 10, 64 << 10, 1 << 20, 16 << 20} {
			for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
				if length < leastUnread(c.end, c.read) {
					continue
				}
				t.Run(fmt.Sprintf("%s, %d kB, after %s", c.name, length>>10, delay), func(t *testing.T) {
					addr := startEarly(t, early.Answer{Sent: c.sent, End: c.end, Delay: delay, Read: c.read})
					wrong := 0
					for range earlyRequests {
						ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
						b, err := sendUpload(ctx, New(time.Now), addr, length)
						cancel()
						if isWhole := err == nil && b == body; isWhole != c.wantWhole {
							wrong++
						}
					}
					if wrong > 0 {
						t.Errorf("%d of %d answers were taken wrongly, want all taken as whole: %t", wrong, earlyRequests, c.wantWhole)
					}
				})
			}
		}
	}
}

// scriptedConn is a connection whose server answers at once. Its Write of a body returns an error, or none, after a
// delay, its Read the end of the connection after the answer.
type scriptedConn struct {
	net.Conn
	answer     io.Reader
	writeDelay time.Duration
	writeErr   error
	readDelay  time.Duration
	closed     chan struct{}
}

func (c *scriptedConn) Write(b []byte) (int, error) {
	if len(b) <= maxInlineBody {
		return len(b), nil
	}
	select {
	case <-time.After(c.writeDelay):
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return len(b), nil
}

func (c *scriptedConn) Read(b []byte) (int, error) {
	n, err := c.answer.Read(b)
	if err == io.EOF {
		time.Sleep(c.readDelay)
	}
	return n, err
}

func (c *scriptedConn) Close() error {
	close(c.closed)
	return nil
}

func (c *scriptedConn) LocalAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error     { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// Guards against an answer whose end depends on which of the writer and the reader of a connection sees its end
// first.
func TestEndOfAnswerWaitsForTheUpload(t *testing.T) {
	const soon, later, never = 0, 100 * time.Millisecond, time.Hour
	for _, c := range []struct {
		name       string
		writeDelay time.Duration
		writeErr   error
		readDelay  time.Duration
		wantWhole  bool
	}{
		{"write fails first", soon, syscall.ECONNRESET, later, false},
		{"write fails last", later, syscall.ECONNRESET, soon, false},
		{"write ends first", soon, nil, later, true},
		{"write ends last", later, nil, soon, true},
		{"write never ends", never, nil, soon, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			k := &scriptedConn{answer: strings.NewReader(unframedHead + "part"), writeDelay: c.writeDelay, writeErr: c.writeErr, readDelay: c.readDelay, closed: make(chan struct{})}
			p := New(time.Now).WithDialer(DialFunc(func(context.Context, string) (net.Conn, error) { return k, nil }))
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			b, err := sendUpload(ctx, p, "server", 64<<10)
			if b != "part" || (err == nil) != c.wantWhole {
				t.Errorf("got body %q and error %v, want part and whole: %t", b, err, c.wantWhole)
			}
			if ctx.Err() != nil {
				t.Error("the end of the answer waited until the deadline")
			}
		})
	}
}

// Guards against an answer to a HEAD request, which has no body, that is taken for one that ends with its connection.
func TestAnswerWithoutBodyDoesNotEndWithItsConnection(t *testing.T) {
	addr := startScripted(t, unframedHead)
	r, err := New(time.Now).Do(t.Context(), addr, &Request{Method: http.MethodHead, Target: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if r.EndsWithConnection() {
		t.Error("got an answer that ends with its connection, want none")
	}
}
