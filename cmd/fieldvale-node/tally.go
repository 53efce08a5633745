package main

import (
	"time"

	"fieldvale/peer"
)

const (
	// tellEvery is between reports of what was seen of releases under way;
	// it adds to the seconds in which a bad one must be stopped.
	tellEvery = 400 * time.Millisecond
	// judges is how many instances are told; the second one stands in.
	judges = 2
)

// tell sends what was seen of releases to the instances that judge them. A
// report that is lost is made good by the next one, as counts only grow.
func (n *node) tell() {
	for _, t := range n.router.Tallies() {
		b, err := encodeReport(n.s.ID, t)
		if err != nil {
			n.event("tally_unsent", "service", t.Service, "error", err)
			continue
		}
		for _, m := range n.judges(t.Service) {
			if err := (tagged{n, tagTally}).Send(m.Addr, b); err != nil {
				n.event("tally_unsent", "service", t.Service, "to", m.ID, "error", err)
			}
		}
	}
}

// judges returns the other instances that judge the service's release.
func (n *node) judges(service string) []peer.Member {
	m := n.ranked(service)
	var l []peer.Member
	for _, x := range m[:min(judges, len(m))] {
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
	n.router.ReportTally(origin, t)
}
