// Package capacity decides whether an instance may accept another connection from a client. It compares
// what the instance's link, processor, file descriptors and memory are used for with what they can carry.
//
// An instance that reads more requests than it can carry serves none of them in time, while a connection
// that it refuses is served by another instance at the client's next attempt.
package capacity

import (
	"maps"
	"sync"
	"time"
)

const (
	// maxLinkDelay is how far the link may be behind for another connection to be accepted;
	// resumeLinkDelay is how far it may be behind for connections to be accepted again.
	maxLinkDelay    = 80 * time.Millisecond
	resumeLinkDelay = 50 * time.Millisecond
	// reservedDescriptors is the number of file descriptors for files, other instances, the store and health checks.
	reservedDescriptors = 256
	// descriptorFraction is the fraction of the other descriptors up to which connections are accepted:
	// requests in progress may need another connection each.
	descriptorFraction = 0.7
	// memoryFraction is the fraction of the memory up to which connections are accepted.
	memoryFraction = 0.75
	// checkInterval is how long no connection is accepted while the link is seen to be behind, or
	// descriptors or memory are short; minWait is the least time for which none is accepted.
	checkInterval = 20 * time.Millisecond
	minWait       = 5 * time.Millisecond
	// maxRefusal is how long no connection at all is accepted for lack of the link or the processor: the
	// requests of a few show whether that is still so.
	maxRefusal = 500 * time.Millisecond
	// probeSpacing is how long no connection must have been opened for a probe to be needed while
	// connections are refused because of the link.
	probeSpacing = 40 * time.Millisecond
	// pressureDelay is how long connections must have been refused for lack of a resource for open
	// connections to be closed as well.
	pressureDelay = 250 * time.Millisecond
)

// Limits are the resources of an instance; 0 for one whose amount is not known.
type Limits struct {
	// LinkBytes is what the link carries in each direction, in bytes per second.
	LinkBytes float64
	// Descriptors is the number of file descriptors that the process may open.
	Descriptors int
	// Memory is the memory in bytes.
	Memory int64
}

// Account tracks the use of an instance's resources. It is safe for concurrent use.
type Account struct {
	mu     sync.Mutex
	clock  func() time.Time
	limits Limits

	in, out queue
	// inPerRequest and outPerRequest are the bytes that a request and its answer take on the link.
	inPerRequest, outPerRequest mean
	trips                       roundTrips
	// lastLinkDelay is how far the link was behind when connections last showed it.
	lastLinkDelay time.Duration
	// unread is the number of accepted connections of which nothing was read yet.
	unread  int
	open    int
	memory  int64
	pacer   pacer
	probing bool
	// probeDue is when the next probe of the processor is due.
	probeDue time.Time
	// binding is the resource for which connections were last refused, or None if they are accepted;
	// refusedSince is when they were first refused in succession, lastRefused the last time.
	binding                   Resource
	refusedSince, lastRefused time.Time
	lastAccepted              time.Time
	// pauses counts how often connections began to be refused, and refusedTime for how long they were
	// refused until lastAsked, by resource.
	pauses      map[Resource]int
	refusedTime map[Resource]time.Duration
	lastAsked   time.Time
	// accepted is the number of connections from clients since the start of the process.
	accepted                 uint64
	sent, received, requests uint64
}

// New returns an account of an instance with these resources.
func New(clock func() time.Time, l Limits) *Account {
	a := &Account{clock: clock, limits: l, pacer: newPacer(), pauses: map[Resource]int{}, refusedTime: map[Resource]time.Duration{}, lastAccepted: clock()}
	a.in.rate = l.LinkBytes
	a.out.rate = a.in.rate
	return a
}

// Received counts bytes that were received from a client or a backend server.
func (a *Account) Received(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.received += uint64(n)
	data, acks := linkBytes(n)
	a.addLink(data, acks)
}

// Sent counts bytes that were sent to a client or a backend server.
func (a *Account) Sent(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent += uint64(n)
	data, acks := linkBytes(n)
	a.addLink(acks, data)
}

// addLink adds bytes to both directions of the link.
func (a *Account) addLink(in, out float64) {
	now := a.clock()
	a.in.add(in, now)
	a.out.add(out, now)
	a.inPerRequest.add(in)
	a.outPerRequest.add(out)
}

// Connecting records that a connection to another machine begins to be opened. The returned function records
// whether it was.
func (a *Account) Connecting(p Purpose) (end func(isConnected bool)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.trips.begin(p, a.clock())
	return func(isConnected bool) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.trips.end(t, isConnected, a.clock())
	}
}

// NeedsProbe reports whether a connection must be opened to see how far the link is behind: now and again while
// connections are refused for it, and where those that are being opened take long.
func (a *Account) NeedsProbe() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	if a.binding == Link {
		return now.Sub(a.trips.lastBegan) >= probeSpacing
	}
	d, isKnown := a.trips.delay(now)
	return !isKnown && d > maxLinkDelay
}

// linkDelay returns how far the link is behind by the time that connections take to open. While connections
// are refused for it, it stays so until connections show that it is not.
func (a *Account) linkDelay(now time.Time) time.Duration {
	d, isKnown := a.trips.delay(now)
	switch {
	case isKnown:
		a.lastLinkDelay = d
	case a.binding != Link:
		return 0
	}
	return a.lastLinkDelay
}

// RequestStarted counts a request that was read.
func (a *Account) RequestStarted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests++
	a.inPerRequest.count()
	a.outPerRequest.count()
}

// Opened counts a connection that was opened or accepted, Closed its end.
func (a *Account) Opened() { a.addOpen(1) }

// Closed counts the end of a connection.
func (a *Account) Closed() { a.addOpen(-1) }

func (a *Account) addOpen(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open += n
	if n > 0 {
		a.addLink(openPackets*headerBytes, openPackets*headerBytes)
	}
}

// Accepted counts a connection from a client. It reports whether the caller must begin to probe the
// processor: to call ObserveLateness after each ProbeInterval until that returns false.
func (a *Account) Accepted() (startProbe bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unread++
	a.accepted++
	a.pacer.accepted++
	a.lastAccepted = a.clock()
	return a.beginProbing()
}

// BeginProbing reports whether the caller must begin to probe the processor, as Accepted does. It must
// be called while connections are refused.
func (a *Account) BeginProbing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.beginProbing()
}

func (a *Account) beginProbing() bool {
	if a.probing {
		return false
	}
	a.probing = true
	a.probeDue = a.clock().Add(ProbeInterval)
	return true
}

// FirstRead counts the first bytes of an accepted connection, or its end without any.
func (a *Account) FirstRead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unread--
}

// ObserveLateness records by how much the timer of a probe was late. It reports whether to probe again:
// probes end once no client connects.
func (a *Account) ObserveLateness(late time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	isIdle := a.pacer.accepted == 0 && a.binding == None && late < lateTwice && len(a.trips.pending) == 0
	a.pacer.observe(late)
	if isIdle {
		a.pacer.late = 0
	}
	a.probing = !isIdle
	a.probeDue = a.clock().Add(ProbeInterval)
	return a.probing
}

// ObserveMemory records the memory that the process uses, in bytes.
func (a *Account) ObserveMemory(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.memory = bytes
}

// MayAccept returns None if another connection may be accepted, or else the resource that is used up,
// and when to ask again.
func (a *Account) MayAccept() (binding Resource, retryAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	a.addRefusedTime(now)
	r, wait := a.shortage(now)
	if r == None || r != Descriptors && r != Memory && now.Sub(a.lastAccepted) >= maxRefusal {
		a.binding = None
		return None, now
	}
	if a.binding == None && now.Sub(a.lastRefused) > pressureDelay {
		a.refusedSince = now
	}
	if a.binding != r {
		a.pauses[r]++
	}
	a.binding, a.lastRefused = r, now
	return r, now.Add(max(minWait, wait))
}

// addRefusedTime counts the time until now for which connections were refused.
func (a *Account) addRefusedTime(now time.Time) {
	if a.binding != None {
		a.refusedTime[a.binding] += now.Sub(a.lastAsked)
	}
	a.lastAsked = now
}

// shortage returns the resource that is used up, and how long that lasts at least; None if there is none.
func (a *Account) shortage(now time.Time) (Resource, time.Duration) {
	limit := maxLinkDelay
	if a.binding == LinkIn || a.binding == LinkOut || a.binding == Link {
		limit = resumeLinkDelay
	}
	unread := float64(a.unread)
	if d := a.out.delay(unread*a.outPerRequest.value(), now); d > limit {
		return LinkOut, d - resumeLinkDelay
	}
	if d := a.in.delay(unread*a.inPerRequest.value(), now); d > limit {
		return LinkIn, d - resumeLinkDelay
	}
	if a.linkDelay(now) > limit {
		return Link, checkInterval
	}
	if a.probing && a.pacer.isFull() {
		return Processor, a.probeDue.Sub(now)
	}
	if a.limits.Descriptors > 0 && a.open >= MaxOpen(a.limits.Descriptors) {
		return Descriptors, checkInterval
	}
	if a.limits.Memory > 0 && float64(a.memory) >= memoryFraction*float64(a.limits.Memory) {
		return Memory, checkInterval
	}
	return None, 0
}

// MaxOpen returns the number of open connections up to which a process that may open so many file descriptors accepts
// connections.
func MaxOpen(descriptors int) int {
	return int(descriptorFraction * float64(max(descriptors-reservedDescriptors, descriptors/2)))
}

// Status is the use of an instance's resources.
type Status struct {
	// Binding is the resource for which connections are refused; None while they are accepted.
	Binding Resource
	// RefusedSince is when connections were first refused with no longer pause; zero if they are
	// accepted.
	RefusedSince time.Time
	// LinkInDelay and LinkOutDelay are how far the link is behind, and Lateness is by how much the
	// last probe of the processor was late.
	LinkInDelay, LinkOutDelay, Lateness time.Duration
	// LinkDelay is how far the link is behind in both directions together, as connections to backend
	// servers show.
	LinkDelay time.Duration
	// Open is the number of connections with clients and backend servers, Unread that of accepted
	// ones of which nothing was read.
	Open, Unread int
	// Window is the number of connections that may be accepted between two probes.
	Window int
	// Memory is in bytes.
	Memory int64
	// Pauses is how often connections began to be refused since the start of the process.
	Pauses int
	// RefusedTime is for how long connections were refused since the start of the process, by resource.
	RefusedTime map[Resource]time.Duration
	// Sent and Received are bytes since the start of the process, Requests the requests read, and Accepted
	// the connections accepted from clients.
	Sent, Received, Requests, Accepted uint64
	// SentPerRequest and ReceivedPerRequest are the mean bytes of the last requests, with headers.
	SentPerRequest, ReceivedPerRequest float64
}

// Status returns the present use of the resources.
func (a *Account) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	a.addRefusedTime(now)
	s := Status{
		Binding: a.binding, LinkInDelay: a.in.delay(0, now), LinkOutDelay: a.out.delay(0, now), LinkDelay: a.linkDelay(now), Lateness: a.pacer.late, Open: a.open, Unread: a.unread,
		Window: int(a.pacer.window), Memory: a.memory, Sent: a.sent, Received: a.received, Requests: a.requests, Accepted: a.accepted, RefusedTime: maps.Clone(a.refusedTime),
		SentPerRequest: a.outPerRequest.value(), ReceivedPerRequest: a.inPerRequest.value(),
	}
	for _, c := range a.pauses {
		s.Pauses += c
	}
	if a.isUnderPressure(now) {
		s.RefusedSince = a.refusedSince
	}
	return s
}

// RefusedAfter returns for how long connections were refused after the status before, and the resource for which
// they were refused longest; None if they were accepted all the time.
func (s Status) RefusedAfter(before Status) (total time.Duration, longest Resource) {
	most := time.Duration(0)
	for r, d := range s.RefusedTime {
		d -= before.RefusedTime[r]
		total += d
		if d > most {
			most, longest = d, r
		}
	}
	return total, longest
}

// IsRefusing reports whether connections are refused now.
func (a *Account) IsRefusing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.binding != None
}

// IsUnderPressure reports whether connections were refused now and again for so long that open ones must be
// closed as well.
func (a *Account) IsUnderPressure() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isUnderPressure(a.clock())
}

func (a *Account) isUnderPressure(now time.Time) bool {
	return !a.lastRefused.IsZero() && now.Sub(a.lastRefused) <= pressureDelay && now.Sub(a.refusedSince) >= pressureDelay
}

// Pauses returns how often connections began to be refused for lack of each resource.
func (a *Account) Pauses() map[Resource]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.pauses)
}
