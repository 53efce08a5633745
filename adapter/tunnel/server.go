package tunnel

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// serverDialTimeout bounds the connection to the server on behalf of another instance. It is below
// the time for which that instance waits.
const serverDialTimeout = 500 * time.Millisecond

// Opened describes a tunnel for the log.
type Opened struct {
	// From is the address of the instance that asked.
	From   string
	Server string
	// Refused is why no tunnel was opened; empty if one was.
	Refused string
}

// Server opens tunnels for other instances. It implements http.Handler. Its fields must be set before
// the first request.
type Server struct {
	// Dial connects directly, never through a further instance.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Refusal returns why no tunnel to the server may be opened; empty if one may.
	Refusal func(addr string) string
	// MaxTunnels bounds the tunnels that are open at a time.
	MaxTunnels int
	// Event receives each tunnel that was opened or refused.
	Event func(Opened)

	mu   sync.Mutex
	open map[*session]bool
	// reserved is the number of tunnels that are open or being opened.
	reserved int
}

// session is an open tunnel.
type session struct {
	client, server net.Conn
	// asked and answered are when bytes last passed to and from the server.
	mu              sync.Mutex
	asked, answered time.Time
}

// Reasons for which a tunnel is refused.
const (
	refusedFull      = "too many tunnels"
	refusedDial      = "the server can't be reached"
	refusedTransport = "the connection can't be taken over"
)

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// ServeHTTP opens the tunnel that a CONNECT request asks for, and serves it until one side ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o := Opened{From: r.RemoteAddr, Server: r.Host}
	if o.Refused = s.Refusal(r.Host); o.Refused != "" {
		s.refuse(w, o, http.StatusServiceUnavailable)
		return
	}
	if !s.reserve() {
		o.Refused = refusedFull
		s.refuse(w, o, http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	ctx, cancel := context.WithTimeout(r.Context(), serverDialTimeout)
	defer cancel()
	c, err := s.Dial(ctx, r.Host)
	if err != nil {
		o.Refused = refusedDial
		s.refuse(w, o, http.StatusBadGateway)
		return
	}
	defer c.Close()
	k, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		o.Refused = refusedTransport
		s.refuse(w, o, http.StatusInternalServerError)
		return
	}
	defer k.Close()
	setNoDeadline(k)
	if _, err := k.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")); err != nil {
		return
	}
	s.Event(o)
	x := &session{client: k, server: c}
	s.add(x)
	defer s.remove(x)
	x.serve(b)
}

// refuse answers that no tunnel is opened.
func (s *Server) refuse(w http.ResponseWriter, o Opened, status int) {
	s.Event(o)
	http.Error(w, o.Refused, status)
}

// reserve counts a tunnel that is to be opened, and reports whether there may be another one.
func (s *Server) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved >= s.MaxTunnels {
		return false
	}
	s.reserved++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved--
}

func (s *Server) add(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*session]bool{}
	}
	s.open[x] = true
}

func (s *Server) remove(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, x)
}

// Drain closes the tunnels on which no answer is under way, and waits for the others until ctx ends.
func (s *Server) Drain(ctx context.Context) {
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for s.closeIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

const (
	// drainInterval is the interval at which Drain looks for idle tunnels.
	drainInterval = 100 * time.Millisecond
	// idleSpan is how long after the last byte from the server an answer may still be under way: an
	// answer's end is not seen here.
	idleSpan = 2 * time.Second
)

// closeIdle closes the idle tunnels and returns how many others there are.
func (s *Server) closeIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for x := range s.open {
		if x.isBusy(now) {
			busy++
			continue
		}
		_ = x.server.Close()
	}
	return busy
}
