package connlimit

import (
	"bytes"
	"math/bits"
	"time"
)

const (
	// bodyStallTimeout is how long a body may bring nothing.
	bodyStallTimeout = 15 * time.Second
	// A body must have brought minBodyRate bytes a second, on average, after bodyGrace.
	bodyGrace   = 30 * time.Second
	minBodyRate = 1 << 10
	// rateWindow is the time over which the rate of arriving bytes is measured.
	rateWindow = time.Second
)

// Phase is what a connection is used for at a moment.
type Phase int

// The phases of a connection.
const (
	// Idle is before the first byte of a request.
	Idle Phase = iota
	// Head and Body are while the head or the body of a request arrives.
	Head
	Body
	// Served is from the end of the body to the end of the answer.
	Served
)

// String returns the phase's name in logs and metrics.
func (p Phase) String() string { return [...]string{"idle", "head", "body", "served"}[p] }

// Conn is a connection of a Limiter. It is safe for concurrent use.
type Conn struct {
	limiter   *Limiter
	interrupt func(Phase)

	// The fields below are guarded by limiter.mu.
	phase      Phase
	phaseSince time.Time
	// deadline is when the present head or body must have arrived, requestDeadline the bound that the request sets.
	deadline, requestDeadline time.Time
	// isLate is set if the deadline had passed at the last sweep.
	isLate bool
	// held is the memory reserved, and received what arrived of the present head or body, in bytes.
	held, received int64
	// arrived is what arrived since windowSince, arrivedBefore in the window before it, in bytes; lastArrival is when
	// bytes last arrived, or when the phase began.
	windowSince, lastArrival time.Time
	arrived, arrivedBefore   int64
	// isTrusted exempts the connection from interruptions.
	isTrusted bool
	// stopped is why the connection was interrupted or that it was closed; nil before.
	stopped error
}

// Trust exempts the connection from interruptions from now on, as its client has proved who it is. It counts only as one
// connection. The error is the reason if it was interrupted before.
func (c *Conn) Trust() error {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.stopped != nil || c.isTrusted {
		return c.stopped
	}
	c.isTrusted = true
	l.bytes -= c.held - ConnectionBytes
	c.held = ConnectionBytes
	c.begin(Served, l.clock())
	return nil
}

// Received counts bytes that arrived on the connection. The error is the reason if the connection is interrupted.
func (c *Conn) Received(b []byte) error {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.stopped != nil || c.phase == Served {
		return c.stopped
	}
	now := l.clock()
	if c.phase == Idle {
		c.begin(Head, now)
		c.deadline = now.Add(l.headTimeout())
	}
	c.count(int64(len(b)), now)
	if c.phase == Body {
		c.extendDeadline(now)
		return nil
	}
	return c.reserve(int64(len(b))+headLineBytes*int64(bytes.Count(b, []byte("\n"))), now)
}

// BeginBody ends the head: the body must arrive by the deadline.
func (c *Conn) BeginBody(deadline time.Time) error {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	c.begin(Body, now)
	c.requestDeadline = deadline
	c.extendDeadline(now)
	return c.stopped
}

// Reserve reserves n more bytes for the request.
func (c *Conn) Reserve(n int64) error {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.stopped != nil {
		return c.stopped
	}
	return c.reserve(n, l.clock())
}

// reserve reserves n more bytes of a request that is arriving, from connections that bring less. Where there is no room
// the connection is interrupted.
func (c *Conn) reserve(n int64, now time.Time) error {
	return c.reserveFrom(n, now, func(o *Conn) bool { return !c.isWorse(o, now) })
}

// reserveFrom reserves n more bytes, from the connections that are wanted. Where there is no room the connection is
// interrupted.
func (c *Conn) reserveFrom(n int64, now time.Time, isWanted func(*Conn) bool) error {
	err := c.limiter.reserve(c, n, now, isWanted)
	if err != nil {
		c.stop(err, now)
	}
	return err
}

// EndBody ends the body, and reserves ServedBytes. From then on the request is not interrupted, unless EndBody returns an
// error.
func (c *Conn) EndBody() error {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.stopped != nil {
		return c.stopped
	}
	now := l.clock()
	if err := c.reserveFrom(ServedBytes, now, anyConn); err != nil {
		return err
	}
	c.begin(Served, now)
	return nil
}

// Err returns why the connection was interrupted, or an error if it was closed; nil if neither was.
func (c *Conn) Err() error {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.stopped
}

// Reset ends the request and frees its memory. The connection waits for the next one.
func (c *Conn) Reset() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.stopped != nil || c.isTrusted {
		return
	}
	l.bytes -= c.held - ConnectionBytes
	c.held = ConnectionBytes
	c.begin(Idle, l.clock())
}

// Close removes the connection and frees its memory.
func (c *Conn) Close() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.remove()
	if c.stopped == nil {
		c.stopped = errClosed
	}
}

// remove takes the connection out of the limiter, unless it was.
func (c *Conn) remove() {
	if l := c.limiter; l.conns[c] {
		delete(l.conns, c)
		l.bytes -= c.held
		c.held = 0
	}
}

// stop interrupts the connection and frees its memory: what holds it ends as soon as its read fails.
func (c *Conn) stop(reason error, now time.Time) {
	c.limiter.report(Interruption{Reason: reason, Phase: c.phase, Held: c.held, Received: c.received, Age: now.Sub(c.phaseSince)})
	c.remove()
	c.stopped = reason
	c.interrupt(c.phase)
}

// begin begins a phase.
func (c *Conn) begin(p Phase, now time.Time) {
	c.phase, c.phaseSince, c.received = p, now, 0
	c.windowSince, c.lastArrival, c.arrived, c.arrivedBefore = now, now, 0, 0
}

// count counts bytes of the present head or body.
func (c *Conn) count(n int64, now time.Time) {
	c.moveWindow(now)
	c.lastArrival = now
	c.received += n
	c.arrived += n
}

// moveWindow begins a new window for the rate if the present one is over.
func (c *Conn) moveWindow(now time.Time) {
	d := now.Sub(c.windowSince)
	if d < rateWindow {
		return
	}
	c.arrivedBefore = 0
	if d < 2*rateWindow {
		c.arrivedBefore = c.arrived
	}
	c.windowSince, c.arrived = now, 0
}

// extendDeadline sets the time by which more of the body must have arrived.
func (c *Conn) extendDeadline(now time.Time) {
	d := c.phaseSince.Add(bodyGrace + time.Duration(c.received)*time.Second/minBodyRate)
	if t := now.Add(bodyStallTimeout); t.Before(d) {
		d = t
	}
	if c.requestDeadline.Before(d) {
		d = c.requestDeadline
	}
	c.deadline = d
}

// isArriving reports whether a head or a body is arriving.
func (c *Conn) isArriving() bool { return c.phase == Head || c.phase == Body }

// isInterruptible reports whether the connection may be interrupted for lack of room: not while a body arrives in its
// first second.
func (c *Conn) isInterruptible(now time.Time) bool {
	if c.phase == Body {
		return c.isStalled(now) || now.Sub(c.phaseSince) >= grace
	}
	return c.phase != Served
}

// isStalled reports whether nothing has arrived for a while.
func (c *Conn) isStalled(now time.Time) bool { return now.Sub(c.lastArrival) >= stallDelay }

// isWorse reports whether the connection brings less than o: idle ones the least, then those at which bytes arrive
// slowest. Of those about as slow it is the one of which less has arrived, so that the others come to their end.
func (c *Conn) isWorse(o *Conn, now time.Time) bool {
	if (c.phase == Idle) != (o.phase == Idle) {
		return c.phase == Idle
	}
	if c.phase == Idle {
		return c.phaseSince.Before(o.phaseSince)
	}
	if a, b := c.rateClass(now), o.rateClass(now); a != b {
		return a < b
	}
	if c.received != o.received {
		return c.received < o.received
	}
	return c.phaseSince.Before(o.phaseSince)
}

// rateClass returns the class of the rate at which bytes arrive; 0 if none do. Rates of one class differ by a factor of
// four at most.
func (c *Conn) rateClass(now time.Time) int {
	if c.isStalled(now) {
		return 0
	}
	c.moveWindow(now)
	return bits.Len64(uint64(c.arrived+c.arrivedBefore)) / 2
}
