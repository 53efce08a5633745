// Package early has a server that answers a request before it has read all of it, and then ends the connection.
package early

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRead is how much of a request is read before the answer, in bytes.
const maxRead = 4 << 10

// End is how the server ends a connection after its answer.
type End int

const (
	// Reset resets the connection.
	Reset End = iota
	// Close closes the connection while the rest of the request is unread, upon which the kernel resets it.
	Close
	// ReadAndClose closes the connection once the given part of the request was read.
	ReadAndClose
	// HalfClose ends the answer, reads the given part of the request, and then closes the connection.
	HalfClose
)

// Answer is what the server sends after the begin of a request.
type Answer struct {
	// Respond returns the bytes of the answer to a request that begins so.
	Respond func(begin []byte) string
	// Delay is the time from the answer to the end of the connection.
	Delay time.Duration
	End   End
	// Request is the length of the request's part that ReadAndClose and HalfClose read, in bytes.
	Request int64
}

// Server answers each connection once.
type Server struct {
	l      net.Listener
	answer Answer
}

// Listen starts a server on a loopback address.
func Listen(a Answer) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "early")
	}
	s := &Server{l: l, answer: a}
	go s.run()
	return s, nil
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.l.Addr().String() }

// Close ends the listener.
func (s *Server) Close() { _ = s.l.Close() }

func (s *Server) run() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

func (s *Server) serve(c *net.TCPConn) {
	defer c.Close()
	b := make([]byte, maxRead)
	n, err := c.Read(b)
	if err != nil {
		return
	}
	if _, err := io.WriteString(c, s.answer.Respond(b[:n])); err != nil {
		return
	}
	time.Sleep(s.answer.Delay)
	rest := s.answer.Request - int64(n)
	switch s.answer.End {
	case Reset:
		_ = c.SetLinger(0)
	case ReadAndClose:
		_, _ = io.CopyN(io.Discard, c, rest)
	case HalfClose:
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, c, rest)
	}
}
