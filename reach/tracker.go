package reach

import (
	"sync"
	"time"
)

const (
	// cutOffAddrs is how many servers must be reached indirectly, with no direct connection opened
	// since, for the instance to count as cut off from all of them.
	cutOffAddrs = 2
	// suspectFailures is how many direct connections must fail in succession, at one server or at
	// all, before a refused connection is tried indirectly: a single refusal shows a server that is
	// down.
	suspectFailures = 2
	// suspicionSpan is how long failures count as being in succession.
	suspicionSpan = 3 * time.Second
	// probeInterval is the interval at which the direct way to a server is tried again.
	probeInterval = 500 * time.Millisecond
	// maxProbes bounds the direct attempts of all servers within probeInterval.
	maxProbes = 4
	// unreachedSpan is how long a server that no other instance reached is not tried indirectly.
	unreachedSpan = time.Second
	// downFailures is the number of servers in succession that no instance reached after which the
	// servers are taken to be down: indirect attempts are then downInterval apart.
	downFailures = 3
	downInterval = 250 * time.Millisecond
	// unusedSpan is how long the state of a server is kept after its last use.
	unusedSpan = time.Minute
)

// Plan is how to open the next connection to a server.
type Plan struct {
	// First is the way to try first.
	First Way
	// Probe asks for a direct attempt in the background, whose result is reported to the tracker.
	Probe bool
	// MayUseOther allows the other way if the first one fails or is slow.
	MayUseOther bool
	// IsUnreachable reports that the server is reached by neither way.
	IsUnreachable bool
}

// Status is what an instance knows of its links.
type Status struct {
	// Failures is the number of direct connections that failed in succession.
	Failures int
	// Indirect is the number of servers that are reached through other instances only.
	Indirect int
	// IsCutOff reports that no server is reached directly; Since is when the first of them could
	// not be.
	IsCutOff bool
	Since    time.Time
}

// link is the state of the way to one server.
type link struct {
	// failures is the number of direct failures since the last direct success, failedAt the last of
	// them.
	failures int
	failedAt time.Time
	// indirectAt is when the server was first reached indirectly after a direct failure; zero while
	// the direct way is not known to be broken.
	indirectAt time.Time
	// unreachedAt is the last time that no other instance reached the server.
	unreachedAt time.Time
	// nextProbe is when the direct way may be tried again.
	nextProbe time.Time
	usedAt    time.Time
}

// Tracker decides by which way connections to servers are opened. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	clock  func() time.Time
	notify func(Status)

	links map[string]*link
	// connectedAt is the last direct success at any server, failures the number of direct failures
	// since, and failedAt the last of them.
	connectedAt time.Time
	failures    int
	failedAt    time.Time
	// unreached is the number of servers that no other instance reached since one was; nextIndirect is
	// when another may be tried if there are too many.
	unreached    int
	nextIndirect time.Time
	// probes are the times of the last direct attempts in the background.
	probes []time.Time
	status Status
	// nextSweep is when unused links are next removed.
	nextSweep time.Time
}

// NewTracker returns a tracker that passes each change of whether the instance is cut off to notify.
func NewTracker(clock func() time.Time, notify func(Status)) *Tracker {
	return &Tracker{clock: clock, notify: notify, links: map[string]*link{}}
}

// Plan returns how to open the next connection to the server.
func (t *Tracker) Plan(addr string) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	l := t.link(addr, now)
	mayTryIndirect := t.mayTryIndirect(l, now)
	if !t.isIndirect(l) {
		return Plan{First: Direct, MayUseOther: mayTryIndirect}
	}
	p := Plan{First: Indirect, Probe: t.takeProbe(l, now), MayUseOther: true}
	if !mayTryIndirect {
		p.IsUnreachable, p.MayUseOther = true, false
	}
	return p
}

// Reuse returns the way that an open connection to the server must have to be used again, and whether the
// direct way is to be tried in the background: where open connections are enough, no new one would
// show that it works again.
func (t *Tracker) Reuse(addr string) (w Way, probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	l := t.link(addr, now)
	if !t.isIndirect(l) {
		return Direct, false
	}
	return Indirect, t.takeProbe(l, now)
}

// IsIndirect reports whether the server is reached through other instances only.
func (t *Tracker) IsIndirect(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isIndirect(t.link(addr, t.clock()))
}

// IsSuspect reports whether direct connections to the server or to all failed in succession, so that a
// refused connection may be due to the links.
func (t *Tracker) IsSuspect(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	l := t.link(addr, now)
	return l.failures >= suspectFailures || t.failures >= suspectFailures && now.Sub(t.failedAt) < suspicionSpan
}

// Status returns what the instance knows of its links.
func (t *Tracker) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.status
	s.Failures = t.failures
	return s
}

// Connected records that a connection to the server was opened.
func (t *Tracker) Connected(addr string, w Way) {
	t.update(addr, func(l *link, now time.Time) {
		if w == Direct {
			l.failures, l.indirectAt = 0, time.Time{}
			t.connectedAt, t.failures = now, 0
			return
		}
		t.unreached, l.unreachedAt = 0, time.Time{}
		if l.indirectAt.IsZero() && l.failures > 0 {
			l.indirectAt = now
		}
	})
}

// Failed records that no connection to the server could be opened. For the indirect way that is when
// none of the instances that were asked reached the server.
func (t *Tracker) Failed(addr string, w Way) {
	t.update(addr, func(l *link, now time.Time) {
		if w == Direct {
			t.countFailure(l, now)
			return
		}
		l.unreachedAt = now
		t.unreached++
		t.nextIndirect = now.Add(downInterval)
	})
}

// countFailure counts a direct failure. Failures further apart than suspicionSpan are not in
// succession.
func (t *Tracker) countFailure(l *link, now time.Time) {
	if now.Sub(t.failedAt) >= suspicionSpan {
		t.failures = 0
	}
	if now.Sub(l.failedAt) >= suspicionSpan {
		l.failures = 0
	}
	t.failures++
	l.failures++
	l.failedAt, t.failedAt = now, now
	l.nextProbe = now.Add(probeInterval)
}

// update applies f to the server's link and reports a change of the status.
func (t *Tracker) update(addr string, f func(l *link, now time.Time)) {
	t.mu.Lock()
	now := t.clock()
	f(t.link(addr, now), now)
	before := t.status
	if before.Indirect > 0 || !t.link(addr, now).indirectAt.IsZero() {
		t.status = t.currentStatus()
	}
	after := t.status
	t.mu.Unlock()
	if before.IsCutOff != after.IsCutOff && t.notify != nil {
		t.notify(after)
	}
}

// currentStatus derives the status from the links. The caller must hold t.mu.
func (t *Tracker) currentStatus() Status {
	var s Status
	for _, l := range t.links {
		if l.indirectAt.IsZero() {
			continue
		}
		s.Indirect++
		if s.Since.IsZero() || l.indirectAt.Before(s.Since) {
			s.Since = l.indirectAt
		}
	}
	s.IsCutOff = s.Indirect >= cutOffAddrs && t.connectedAt.Before(s.Since)
	return s
}

// isIndirect reports whether the link is broken, or not known to work while the instance is cut off.
func (t *Tracker) isIndirect(l *link) bool {
	return !l.indirectAt.IsZero() || t.status.IsCutOff
}

// mayTryIndirect reports whether another instance may be asked to reach the server. While a server is
// down for all, its clients would otherwise ask the whole fleet.
func (t *Tracker) mayTryIndirect(l *link, now time.Time) bool {
	if !l.unreachedAt.IsZero() && now.Sub(l.unreachedAt) < unreachedSpan {
		return false
	}
	if t.unreached < downFailures {
		return true
	}
	if now.Before(t.nextIndirect) {
		return false
	}
	t.nextIndirect = now.Add(downInterval)
	return true
}

// takeProbe reports whether the direct way is to be tried again, and counts the attempt.
func (t *Tracker) takeProbe(l *link, now time.Time) bool {
	if now.Before(l.nextProbe) {
		return false
	}
	for len(t.probes) > 0 && now.Sub(t.probes[0]) >= probeInterval {
		t.probes = t.probes[1:]
	}
	if len(t.probes) >= maxProbes {
		return false
	}
	t.probes = append(t.probes, now)
	l.nextProbe = now.Add(probeInterval)
	return true
}

// link returns the server's state, and removes states that are no longer used. The caller must hold
// t.mu.
func (t *Tracker) link(addr string, now time.Time) *link {
	t.sweep(now)
	l, ok := t.links[addr]
	if !ok {
		l = &link{}
		t.links[addr] = l
	}
	l.usedAt = now
	return l
}

// sweep removes the links that were not used for unusedSpan.
func (t *Tracker) sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(unusedSpan)
	for a, l := range t.links {
		if now.Sub(l.usedAt) >= unusedSpan {
			delete(t.links, a)
		}
	}
}
