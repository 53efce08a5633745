// Package endless has a server whose answers never end.
package endless

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRequest is how much of a request is read, in bytes.
const maxRequest = 4 << 10

// Answer is what the server sends after the begin of a request: Head, and then Piece until the connection is closed,
// with Pause between. Without Piece only Head is sent.
type Answer struct {
	Head, Piece string
	Pause       time.Duration
}

// Server answers each connection once.
type Server struct {
	l      net.Listener
	answer Answer
	closed chan struct{}
}

// Listen starts a server on a loopback address.
func Listen(a Answer) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "endless")
	}
	s := &Server{l: l, answer: a, closed: make(chan struct{}, 1)}
	go s.run()
	return s, nil
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.l.Addr().String() }

// Closed receives when a caller has closed its connection.
func (s *Server) Closed() <-chan struct{} { return s.closed }

// Close ends the listener. Connections end when their callers close them.
func (s *Server) Close() { _ = s.l.Close() }

func (s *Server) run() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	if _, err := c.Read(make([]byte, maxRequest)); err != nil {
		return
	}
	_, err := io.WriteString(c, s.answer.Head)
	if len(s.answer.Piece) == 0 {
		_, _ = c.Read(make([]byte, 1))
		return
	}
	for b := []byte(s.answer.Piece); err == nil; {
		_, err = c.Write(b)
		time.Sleep(s.answer.Pause)
	}
	select {
	case s.closed <- struct{}{}:
	default:
	}
}
