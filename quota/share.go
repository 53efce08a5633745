package quota

import (
	"time"
)

const (
	// sharePart of a replica's figure is what all instances together allow themselves where
	// they can't ask: with who counts, who may be asked by others, it comes to half as much
	// again as the figure at most.
	sharePart = 0.5
	// abandonedAfter is how long nobody decided before an instance takes its share: a lost
	// datagram or a change of who counts is no reason.
	abandonedAfter = silentAfter
	// sizeFor is how long the largest number of instances that was seen counts. Who hears
	// nobody sees too few.
	sizeFor = time.Minute
)

// decided notes that who counts decided.
func (n *Node) decided(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c, ok := n.charges[service]; ok {
		c.undecidedSince = time.Time{}
	}
}

// isAbandoned notes that nobody decided, and reports whether this instance is cut off from
// all others: nobody decided for long, and nobody was heard of. One that hears others, but not
// who counts, allows itself nothing: with three datagrams in ten lost, shares had the
// replica get 1.5 times its figure.
func (n *Node) isAbandoned(service string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.charge(service, now)
	if c.undecidedSince.IsZero() {
		c.undecidedSince = now
	}
	return now.Sub(c.undecidedSince) >= abandonedAfter && !n.hearsAnyone(now)
}

// takeShare allows the request if one of the candidates is due by this instance's share, and
// by nothing else. An instance takes its share evenly, from a moment on that chance chooses:
// all begin at once.
func (n *Node) takeShare(a PermitRequest, now time.Time) PermitResult {
	v := PermitResult{Index: -1, Reason: Undecided, DecidedBy: n.Self}
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, x := range a.Candidates {
		every, ok := n.shareEvery(x)
		if !ok {
			continue
		}
		at, began := n.shares[x.Replica]
		if !began || at.Sub(now) > every {
			at = now.Add(time.Duration(n.Rand() * float64(every)))
		}
		if !at.After(now) {
			n.shares[x.Replica] = now.Add(every)
			return PermitResult{Index: i, DecidedBy: n.Self}
		}
		n.shares[x.Replica] = at
		if v.RetryAt.IsZero() || at.Before(v.RetryAt) {
			v.RetryAt = at
		}
	}
	return v
}

// shareEvery returns how often this instance may send to the candidate without asking; false
// if it may not: it is cold, or the number of instances is not known.
func (n *Node) shareEvery(x Candidate) (time.Duration, bool) {
	size, part := n.size, sharePart
	if n.Net == nil {
		size, part = n.FleetSize(), 1
	}
	if x.Bound.ColdPerSecond > 0 || !x.Bound.IsLimited || size < 1 {
		return 0, false
	}
	perSecond := max(n.beliefs.of(x.Replica).PerSecond, 1/trialEvery.Seconds())
	return time.Duration(float64(size) / (part * perSecond) * float64(time.Second)), true
}

// sawSize notes how many instances there are; n.mu is held.
func (n *Node) sawSize(now time.Time) {
	if s := n.FleetSize(); s >= n.size || !now.Before(n.sizeUntil) {
		n.size, n.sizeUntil = s, now.Add(sizeFor)
	}
}
