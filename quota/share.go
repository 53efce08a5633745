package quota

import (
	"time"
)

const (
	// shareFraction is the part of a limit that all instances together use where they can't ask the
	// owner. Together with the owner, which may still grant permits to others, the replica gets at
	// most half as much again as its limit.
	shareFraction = 0.5
	// isolationTimeout is how long no owner must have answered before an instance uses its share. A
	// lost datagram or a change of the owner takes less.
	isolationTimeout = silenceTimeout
	// unusedTTL is how long the state of replicas and instances is kept that is no longer used.
	unusedTTL = time.Minute
)

// markDecided records that the owner of the service answered.
func (n *Node) markDecided(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s, ok := n.services[service]; ok {
		s.undecidedSince = time.Time{}
	}
}

// isIsolated records that no owner answered, and reports whether this instance is partitioned from
// all others: no owner answered within isolationTimeout, and no datagram arrived. An instance that
// receives datagrams, but no answer of the owner, uses no share: with three datagrams in ten lost,
// shares let the replica get 1.5 times its limit.
func (n *Node) isIsolated(service string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.service(service, now)
	if s.undecidedSince.IsZero() {
		s.undecidedSince = now
	}
	return now.Sub(s.undecidedSince) >= isolationTimeout && !n.hasRecentPeer(now)
}

// takeShare grants the request if this instance's own share of the limit of a candidate is due. An
// instance uses its share at regular intervals, the first one after a random delay, because all
// instances start to do so at the same time.
func (n *Node) takeShare(req PermitRequest, now time.Time) PermitResult {
	res := PermitResult{Index: -1, Reason: ReasonNoOwner, DecidedBy: n.Self}
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, x := range req.Candidates {
		interval, ok := n.shareInterval(x)
		if !ok {
			continue
		}
		at := n.shareDue(x.Replica, interval, now)
		if !at.After(now) {
			n.nextShare[x.Replica] = now.Add(interval)
			return PermitResult{Index: i, DecidedBy: n.Self}
		}
		res.RetryAt = earlier(res.RetryAt, at)
	}
	return res
}

// shareDue returns when this instance may next send to the replica without a permit, at the interval,
// and records it. The caller holds n.mu.
func (n *Node) shareDue(replica string, interval time.Duration, now time.Time) time.Time {
	at, started := n.nextShare[replica]
	if !started || at.Sub(now) > interval {
		at = now.Add(time.Duration(n.Rand() * float64(interval)))
	}
	n.nextShare[replica] = at
	return at
}

// earlier returns the earlier of two times, ignoring a zero a.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// shareInterval returns the time between two requests that this instance may send to the candidate
// without a permit. It returns false if it may send none, because the candidate is cold or has no
// limit, or because the number of instances is unknown.
func (n *Node) shareInterval(x Candidate) (time.Duration, bool) {
	size, part := n.FleetSize(), shareFraction
	if n.Net == nil {
		part = 1
	}
	if x.Bound.ColdPerSecond > 0 || !x.Bound.IsLimited || size < 1 {
		return 0, false
	}
	perSecond := max(n.records.get(x.Replica).PerSecond, 1/probeInterval.Seconds())
	return time.Duration(float64(size) / (part * perSecond) * float64(time.Second)), true
}
