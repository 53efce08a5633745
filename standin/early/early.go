// Package early has a server that answers a request before it has read all of it, and then ends the connection.
package early

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// End is how the server ends a connection after its answer.
type End int

const (
	// Reset resets the connection.
	Reset End = iota
	// Close closes the connection while the rest of the request is unread, upon which the kernel resets it.
	Close
	// ReadAndClose closes the connection once the given part of the request's body was read.
	ReadAndClose
	// HalfClose ends the answer, reads the given part of the request's body, and then closes the connection.
	HalfClose
	// HalfCloseUnread ends the answer, and a moment later closes the connection while the rest of the request is unread.
	HalfCloseUnread
)

// halfCloseTime is the time from the end of the answer to that of the connection for HalfCloseUnread.
const halfCloseTime = 10 * time.Millisecond

// Answer is what the server sends after the head of a request, of whose body at most one read buffer was read.
type Answer struct {
	// Sent are the bytes of the answer.
	Sent string
	// Delay is the time from the answer to the end of the connection.
	Delay time.Duration
	End   End
	// Read is the part of the request's body that ReadAndClose and HalfClose read, from 0 to 1.
	Read float64
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
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.WriteString(c, s.answer.Sent); err != nil {
		return
	}
	time.Sleep(s.answer.Delay)
	read := int64(float64(q.ContentLength) * s.answer.Read)
	switch s.answer.End {
	case Reset:
		_ = c.SetLinger(0)
	case ReadAndClose:
		_, _ = io.CopyN(io.Discard, q.Body, read)
	case HalfClose:
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, q.Body, read)
	case HalfCloseUnread:
		_ = c.CloseWrite()
		time.Sleep(halfCloseTime)
	}
}
