package main

import (
	"encoding/json"
	"time"

	"fieldvale/entry"
)

const (
	// tellEvery is between reports of what was seen of releases under way;
	// it adds to the seconds in which a bad one must be stopped.
	tellEvery = 400 * time.Millisecond
	// judges is how many instances are told; the second one stands in.
	judges = 2
)

// report is what instances tell each other of releases under way.
type report struct {
	From    string             `json:"from"`
	Release entry.ReleaseTally `json:"release"`
}

// tell sends what was seen of releases to the instances that judge them. A
// report that is lost is made good by the next one, as counts only grow.
func (n *node) tell() {
	for _, t := range n.router.Tallies() {
		b, err := json.Marshal(report{From: n.s.ID, Release: t})
		if err != nil {
			n.event("tally_unsent", "service", t.Service, "error", err)
			continue
		}
		m := n.ranked(t.Service)
		for _, x := range m[:min(judges, len(m))] {
			if x.ID == n.s.ID {
				continue
			}
			if err := (tagged{n, tagTally}).Send(x.Addr, b); err != nil {
				n.event("tally_unsent", "service", t.Service, "to", x.ID, "error", err)
			}
		}
	}
}

func (n *node) receiveTally(from string, b []byte) {
	var r report
	if err := json.Unmarshal(b, &r); err != nil {
		n.event("datagram_unreadable", "from", from, "error", err)
		return
	}
	n.router.ReportTally(r.From, r.Release)
}
