package quota

import (
	"slices"
	"time"

	"fieldvale/peer"
)

// One instance, the owner, counts the requests to the replicas of a service. It is the first member
// in the ranking by a hash of the service, and the others ask it for a permit for each request.
// There is no consensus: each instance uses its own list of members, and an instance that could be
// the owner refrains while it receives announcements of a higher-ranked owner.

const (
	// successors is how many instances receive the announcements of an owner: those that rank next
	// after it. Their replies show the owner that it is not partitioned.
	successors = 4
	// announceInterval is the time between two announcements of an owner, silenceTimeout how long
	// after its last datagram an instance is considered silent. With three datagrams in ten lost,
	// seven in a row are lost one time in 5,000.
	announceInterval = 250 * time.Millisecond
	silenceTimeout   = 2 * time.Second
	// settleMargin is how long an instance waits after its start, in addition to
	// MaxPropagationDelay, before it may own services. When all instances start at once, the last
	// ones register some two seconds after the first.
	settleMargin = 2 * time.Second
	// stallThreshold is how late Tick must be for the instance to assume that it was stalled, and
	// that other instances owned its services meanwhile.
	stallThreshold = time.Second
	// stallRecovery is how long an instance owns nothing after a stall, until it has received the
	// announcements of the current owners.
	stallRecovery = silenceTimeout
)

// serviceState is what an instance keeps for one service with bounded replicas.
type serviceState struct {
	// usedAt is when the service last had a bounded replica, as far as this instance knows, and
	// trackedSince the time from which the state is kept.
	usedAt, trackedSince time.Time
	// isOwner is true if this instance is the owner and grants permits by grants.
	isOwner bool
	grants  *grantLog
	// announcedAt is when this instance last sent announcements to its successors.
	announcedAt time.Time
	// announcements are the times of the last announcements of other owners, by instance.
	announcements map[string]time.Time
	demand        demand
	// permitRate is how many requests a second all limited replicas of the service take.
	permitRate float64
	// undecidedSince is the time from which no owner answered this instance; zero if one did.
	undecidedSince time.Time
}

// serviceStateTTL is how long the state of a service without bounded replicas is kept.
const serviceStateTTL = 10 * time.Second

// service returns the state of the service, and creates it if there is none. The caller holds n.mu.
func (n *Node) service(service string, now time.Time) *serviceState {
	s, ok := n.services[service]
	if !ok {
		s = &serviceState{trackedSince: now, grants: newGrantLog(), announcements: map[string]time.Time{}}
		n.services[service] = s
	}
	s.usedAt = now
	return s
}

// ranked returns the members in the order in which they may own the service.
func (n *Node) ranked(service string) []peer.Member {
	if l, ok := n.rankings[service]; ok {
		return l
	}
	l := peer.Rank(rankingKey(service), n.members)
	n.rankings[service] = l
	return l
}

// isOwner reports whether this instance owns the service now. exclusive is true if, as far as can
// be known, no other instance does: this one ranks first in a list that was confirmed recently. A
// new owner starts with an empty grant log. The caller holds n.mu.
func (n *Node) isOwner(service string, s *serviceState, now time.Time) (owns, exclusive bool) {
	owns, first := n.canOwn(service, s, now)
	if owns && !s.isOwner {
		s.grants = newGrantLog()
	}
	s.isOwner = owns
	return owns, owns && first && n.IsMembershipCurrent()
}

// canOwn reports whether this instance is to own the service, and whether it ranks first for it.
func (n *Node) canOwn(service string, s *serviceState, now time.Time) (owns, first bool) {
	if now.Before(n.mayOwnFrom) || now.Sub(n.lastTick) >= stallThreshold {
		return false, false
	}
	if n.hearsHigherRanked(service, s, now) {
		return false, false
	}
	i := slices.IndexFunc(n.ranked(service), func(m peer.Member) bool { return m.ID == n.Self })
	// Higher-ranked members own the service unless they were silent for as long as it takes to
	// notice that. An instance that ranks below the successors receives no announcements, so it
	// never becomes the owner.
	if i < 0 || i > successors || i > 0 && now.Sub(s.trackedSince) < silenceTimeout {
		return false, false
	}
	return n.isConnected(s, i == 0, now), i == 0
}

// hearsHigherRanked reports whether an instance that ranks before this one announced itself as the
// owner, whether or not it is in this instance's list.
func (n *Node) hearsHigherRanked(service string, s *serviceState, now time.Time) bool {
	for id, t := range s.announcements {
		if now.Sub(t) < silenceTimeout && rankedBefore(service, id, n.Self) {
			return true
		}
	}
	return false
}

// rankingKey returns the key by which members are ranked for the service.
func rankingKey(service string) string { return "quota/" + service }

// rankedBefore reports whether instance a ranks before b.
func rankedBefore(service, a, b string) bool {
	return peer.Rank(rankingKey(service), []peer.Member{{ID: a}, {ID: b}})[0].ID == a
}

// isConnected reports whether other instances can be assumed to reach this one. A partitioned
// instance would become an owner beside the one that the others ask. The first-ranked instance
// assumes that it is connected until there was time to receive datagrams.
func (n *Node) isConnected(s *serviceState, first bool, now time.Time) bool {
	if len(n.members) <= 1 || first && (now.Sub(s.trackedSince) < silenceTimeout || now.Sub(n.mayOwnFrom) < silenceTimeout) {
		return true
	}
	return n.hasRecentPeer(now)
}

// hasRecentPeer reports whether a datagram of another instance arrived within silenceTimeout.
func (n *Node) hasRecentPeer(now time.Time) bool {
	for _, t := range n.lastReceived {
		if now.Sub(t) < silenceTimeout {
			return true
		}
	}
	return false
}

// successorsOf returns the members to which this instance announces that it owns the service.
func (n *Node) successorsOf(service string) []peer.Member {
	var l []peer.Member
	for _, m := range n.ranked(service) {
		if m.ID != n.Self && len(l) < successors {
			l = append(l, m)
		}
	}
	return l
}

// recoverFromStall gives up all ownership after a stall, since other instances owned the services
// meanwhile.
func (n *Node) recoverFromStall(now time.Time) {
	if t := now.Add(stallRecovery); t.After(n.mayOwnFrom) {
		n.mayOwnFrom = t
	}
	for _, s := range n.services {
		s.isOwner = false
	}
	clear(n.lastReceived)
}
