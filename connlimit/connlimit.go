// Package connlimit bounds the connections that a server keeps open for its clients, and the memory that it holds for
// their requests. Memory is reserved as bytes arrive, never by what a client announces.
//
// Where there is no room for more, connections that bring the least are interrupted: idle ones first, then those whose
// requests arrive slowest. A request that has arrived whole is never interrupted. A part of the memory is kept for
// small requests, so that long bodies can't lock them out.
package connlimit

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// ConnectionBytes is the memory of a connection without a request, in bytes: its goroutine and buffers.
	ConnectionBytes = 16 << 10
	// ServedBytes is the memory that a request takes besides its head and body from its end to that of its answer, in
	// bytes: goroutines, the connection with a backend server, and the part of the answer that the client has not read.
	ServedBytes = 48 << 10
	// DefaultHeadTimeout is the time in which a request's head must arrive where no other one is set.
	DefaultHeadTimeout = 30 * time.Second
	// RetryAfter is the time after which a request that found no room may be sent again.
	RetryAfter = time.Second
	// smallBytes is the memory up to which a connection with its request counts as small, in bytes, and smallFraction the
	// fraction of all memory that only small ones may use.
	smallBytes    = ConnectionBytes + ServedBytes + 128<<10
	smallFraction = 0.25
	// headLineBytes is the memory that a header line takes besides its text, once parsed and copied, in bytes.
	headLineBytes = 320
	// grace is how long a body may arrive before it may be interrupted for lack of room, unless it stalls: nothing has
	// arrived for stallDelay.
	grace      = time.Second
	stallDelay = 250 * time.Millisecond
)

// Reasons for which a connection is refused or interrupted.
var (
	// ErrNoRoom reports that other connections and requests leave no room.
	ErrNoRoom = errors.New("no room for the connection or its request")
	// ErrTooSlow reports a request that did not arrive in time.
	ErrTooSlow = errors.New("the request did not arrive in time")

	errClosed = errors.New("the connection is closed")
)

// Limits are the limits of a Limiter; 0 for one that does not apply.
type Limits struct {
	Connections int
	// Bytes bounds the memory of all connections and the requests on them.
	Bytes int64
}

// Interruption describes a connection that was refused or interrupted.
type Interruption struct {
	// Reason is ErrNoRoom or ErrTooSlow.
	Reason error
	Phase  Phase
	// Held is the memory that was reserved for the connection, and Received what had arrived of the request, in bytes.
	Held, Received int64
	// Age is the time since the phase began.
	Age time.Duration
}

// Usage is what the connections of a Limiter use.
type Usage struct {
	Connections int
	// Bytes is the memory reserved, in bytes.
	Bytes int64
}

// Limiter tracks the connections of a server. It is safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	clock  func() time.Time
	limits Limits
	// report receives each interruption. It is called with mu held.
	report      func(Interruption)
	headTimeout func() time.Duration
	conns       map[*Conn]bool
	bytes       int64
}

// New returns a limiter without connections. report, unless nil, receives each connection that is refused or
// interrupted; it must not call the limiter. headTimeout returns the time in which a request's head must arrive; nil for
// DefaultHeadTimeout.
func New(clock func() time.Time, l Limits, report func(Interruption), headTimeout func() time.Duration) *Limiter {
	if report == nil {
		report = func(Interruption) {}
	}
	if headTimeout == nil {
		headTimeout = func() time.Duration { return DefaultHeadTimeout }
	}
	return &Limiter{clock: clock, limits: l, report: report, headTimeout: headTimeout, conns: map[*Conn]bool{}}
}

// Unlimited returns a connection that nothing limits.
func Unlimited() *Conn {
	// Without limits there is room for it.
	c, _ := New(time.Now, Limits{}, nil, nil).Open(func(Phase) {})
	return c
}

// Open adds a connection. interrupt ends its reads; it gets the phase that is interrupted, must not block and must not
// call the limiter. The error is ErrNoRoom if there is no room for another connection.
func (l *Limiter) Open(interrupt func(Phase)) (*Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	c := &Conn{limiter: l, interrupt: interrupt, phaseSince: now}
	for l.limits.Connections > 0 && len(l.conns) >= l.limits.Connections {
		if !l.interruptWorst(now, anyConn) {
			l.report(Interruption{Reason: ErrNoRoom})
			return nil, ErrNoRoom
		}
	}
	if !l.makeRoom(ConnectionBytes, l.limits.Bytes, now, anyConn) {
		l.report(Interruption{Reason: ErrNoRoom})
		return nil, ErrNoRoom
	}
	l.bytes += ConnectionBytes
	c.held = ConnectionBytes
	l.conns[c] = true
	return c, nil
}

// Usage returns what the connections use now.
func (l *Limiter) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{Connections: len(l.conns), Bytes: l.bytes}
}

// Relieve interrupts up to n connections, those that bring the least first. It returns how many it interrupted.
func (l *Limiter) Relieve(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for i := range n {
		if !l.interruptWorst(now, anyConn) {
			return i
		}
	}
	return n
}

// Sweep interrupts the connections whose requests did not arrive in time. A request that is found late gets until the
// next call, since what has arrived may not have been read yet. It must be called regularly.
func (l *Limiter) Sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for c := range l.conns {
		if !c.isArriving() || now.Before(c.deadline) {
			c.isLate = false
			continue
		}
		if c.isLate {
			c.stop(ErrTooSlow, now)
		}
		c.isLate = true
	}
}

// reserve reserves n more bytes for c. For lack of room it interrupts other connections that are wanted.
func (l *Limiter) reserve(c *Conn, n int64, now time.Time, isWanted func(*Conn) bool) error {
	most, from := l.limits.Bytes, anyConn
	if c.held+n > smallBytes {
		most, from = int64((1-smallFraction)*float64(l.limits.Bytes)), largeConn
	}
	if !l.makeRoom(n, most, now, func(o *Conn) bool { return o != c && from(o) && isWanted(o) }) {
		return ErrNoRoom
	}
	l.bytes += n
	c.held += n
	return nil
}

// makeRoom interrupts connections that are wanted until n more bytes are within most. It reports whether they are.
func (l *Limiter) makeRoom(n, most int64, now time.Time, isWanted func(*Conn) bool) bool {
	for l.limits.Bytes > 0 && l.bytes+n > most {
		if !l.interruptWorst(now, isWanted) {
			return false
		}
	}
	return true
}

// anyConn and largeConn are the connections that may be interrupted for a small and a large one.
func anyConn(*Conn) bool     { return true }
func largeConn(c *Conn) bool { return c.held > smallBytes }

// interruptWorst interrupts the connection that brings the least of those that may be interrupted and that are wanted.
// It reports whether there was one.
func (l *Limiter) interruptWorst(now time.Time, isWanted func(*Conn) bool) bool {
	var w *Conn
	for c := range l.conns {
		if c.isInterruptible(now) && isWanted(c) && (w == nil || c.isWorse(w, now)) {
			w = c
		}
	}
	if w == nil {
		return false
	}
	w.stop(ErrNoRoom, now)
	return true
}
