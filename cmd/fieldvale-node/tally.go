package main

import (
	"time"

	"fieldvale/entry"
	"fieldvale/peer"
	"fieldvale/rollout"
)

const (
	// reportInterval is the interval between reports on releases in progress to other
	// instances. It adds to the few seconds within which a bad release must be stopped;
	// so bad answers are reported at the next tick of the periodic tasks instead.
	reportInterval = 400 * time.Millisecond
	// judgeCount is how many instances judge a release. A judge may be disconnected,
	// killed or frozen while the release turns bad; with three judges, two may be.
	judgeCount = 3
)

// sendTallies sends tallies of releases to their judges. A lost datagram needs no
// retransmission: the counts only grow, and the next tally includes them.
func (n *node) sendTallies(l []entry.ReleaseTally) {
	for _, t := range l {
		b, err := encodeTally(n.settings.ID, t)
		if err != nil {
			n.logEvent("tally_unsent", "service", t.Service, "error", err)
			continue
		}
		n.sendAll(tagTally, n.otherJudges(t.Service), b, t.Service)
	}
}

// sendAll sends a datagram about a service's release to each of the members.
func (n *node) sendAll(tag byte, to []peer.Member, b []byte, service string) {
	for _, m := range to {
		if err := (taggedTransport{n, tag}).Send(m.Addr, b); err != nil {
			n.logEvent("tally_unsent", "service", service, "to", m.ID, "error", err)
		}
	}
}

// reportBadReleases reports releases found bad to all registered members, until the store
// records them as bad: an instance that can't write to the store would otherwise be the
// only one that stops using the release.
func (n *node) reportBadReleases() {
	for _, r := range n.router.BadReleases() {
		n.sendVerdict(r, false)
	}
}

// reportDoubtfulReleases reports releases in doubt to all registered members: those that
// are not judges have too few answers to detect the doubt themselves, and could otherwise
// record the next phase.
func (n *node) reportDoubtfulReleases() {
	for _, r := range n.router.DoubtfulReleases() {
		n.sendVerdict(r, true)
	}
}

// sendVerdict reports to all registered members that the release is bad, or only in doubt.
func (n *node) sendVerdict(r rollout.Release, doubt bool) {
	b, err := encodeVerdict(n.settings.ID, r, doubt)
	if err != nil {
		n.logEvent("verdict_unsent", "service", r.Service, "error", err)
		return
	}
	n.sendAll(tagVerdict, n.withoutSelf(n.placer.Members()), b, r.Service)
}

// otherJudges returns the judges of the service's release without this instance.
func (n *node) otherJudges(service string) []peer.Member {
	m := n.rankForRelease(service)
	return n.withoutSelf(m[:min(judgeCount, len(m))])
}

// withoutSelf returns the members without this instance.
func (n *node) withoutSelf(m []peer.Member) []peer.Member {
	var l []peer.Member
	for _, x := range m {
		if x.ID != n.settings.ID {
			l = append(l, x)
		}
	}
	return l
}

// receiveTally handles another instance's tally of a release.
func (n *node) receiveTally(from string, b []byte) {
	origin, t, err := decodeTally(b)
	if err != nil {
		n.logEvent("datagram_unreadable", "from", from, "error", err)
		return
	}
	n.router.RecordPeerTally(origin, t)
}

// receiveVerdict handles another instance's report that a release is bad or in doubt.
func (n *node) receiveVerdict(from string, b []byte) {
	v, err := decodeVerdict(b)
	if err != nil {
		n.logEvent("datagram_unreadable", "from", from, "error", err)
		return
	}
	if v.Doubt {
		n.router.RecordPeerDoubt(v.Service, v.Order)
		return
	}
	if n.router.RecordPeerBadRelease(v.Service, v.Order) {
		n.logEvent("release_bad_told", "service", v.Service, "order", v.Order, "by", v.From)
	}
}
