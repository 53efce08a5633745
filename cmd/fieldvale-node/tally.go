package main

import (
	"time"

	"fieldvale/entry"
	"fieldvale/peer"
	"fieldvale/rollout"
)

const (
	// tellEvery is between reports of what was seen of releases under way;
	// it adds to the seconds in which a bad one must be stopped. Bad answers are
	// told with the next tick of timed duties.
	tellEvery = 400 * time.Millisecond
	// judges is how many instances are told. Any of them may be cut off, killed or
	// frozen as the release turns bad; with three, two may be.
	judges = 3
)

// tell sends what was seen of releases to the instances that judge them. A
// report that is lost is made good by the next one, as counts only grow.
func (n *node) tell(l []entry.ReleaseTally) {
	for _, t := range l {
		b, err := encodeReport(n.s.ID, t)
		if err != nil {
			n.event("tally_unsent", "service", t.Service, "error", err)
			continue
		}
		n.sendAll(tagTally, n.judges(t.Service), b, t.Service)
	}
}

// sendAll sends the datagram on a service's release to the instances.
func (n *node) sendAll(tag byte, to []peer.Member, b []byte, service string) {
	for _, m := range to {
		if err := (tagged{n, tag}).Send(m.Addr, b); err != nil {
			n.event("tally_unsent", "service", service, "to", m.ID, "error", err)
		}
	}
}

// tellBad tells all instances on the list of releases that are found bad, until the
// store has it: one that can't write there would be the only one to know.
func (n *node) tellBad() {
	for _, r := range n.router.BadReleases() {
		n.tellVerdict(r, false)
	}
}

// tellDoubt tells all instances on the list of releases that are in doubt: those that
// don't judge have few answers to see it by, and may record the next phase.
func (n *node) tellDoubt() {
	for _, r := range n.router.DoubtfulReleases() {
		n.tellVerdict(r, true)
	}
}

func (n *node) tellVerdict(r rollout.Release, doubt bool) {
	b, err := encodeVerdict(n.s.ID, r, doubt)
	if err != nil {
		n.event("verdict_unsent", "service", r.Service, "error", err)
		return
	}
	n.sendAll(tagVerdict, n.others(n.placer.Members()), b, r.Service)
}

// judges returns the other instances that judge the service's release.
func (n *node) judges(service string) []peer.Member {
	m := n.ranked(service)
	return n.others(m[:min(judges, len(m))])
}

// others leaves this instance out.
func (n *node) others(m []peer.Member) []peer.Member {
	var l []peer.Member
	for _, x := range m {
		if x.ID != n.s.ID {
			l = append(l, x)
		}
	}
	return l
}

// receiveTally takes in what another instance saw.
func (n *node) receiveTally(from string, b []byte) {
	origin, t, err := decodeReport(b)
	if err != nil {
		n.event("datagram_unreadable", "from", from, "error", err)
		return
	}
	n.router.RecordPeerTally(origin, t)
}

// receiveVerdict takes in that another instance found a release bad, or is in doubt.
func (n *node) receiveVerdict(from string, b []byte) {
	v, err := decodeVerdict(b)
	if err != nil {
		n.event("datagram_unreadable", "from", from, "error", err)
		return
	}
	if v.Doubt {
		n.router.RecordPeerDoubt(v.Service, v.Order)
		return
	}
	if n.router.RecordPeerBadRelease(v.Service, v.Order) {
		n.event("release_bad_told", "service", v.Service, "order", v.Order, "by", v.From)
	}
}
