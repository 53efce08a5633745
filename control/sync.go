package control

import (
	"time"

	"fieldvale/bill"
	"fieldvale/peer"
	"fieldvale/pool"
	"fieldvale/rollout"
	"fieldvale/version"
)

// EntryReport is the state that the entry on the same instance sends to its control
// process.
type EntryReport struct {
	Incarnation string
	Revision    uint64
	// View is the number of the last view that the entry received. Each control
	// incarnation counts its own views.
	View uint64
	// ControlIncarnation is the control incarnation that sent that view.
	ControlIncarnation string
	Ledger             bill.Ledger
	// LastUnheldSeq is the number of the entry's last counted bill record that no
	// other instance holds.
	LastUnheldSeq uint64
	Evidence      map[version.ID]rollout.Outcomes
	// InFlight is the number of the entry's requests in flight by replica.
	InFlight map[string]int
	// Stopping reports that the entry takes no new requests and finishes those
	// in flight.
	Stopping bool
}

// EntryUpdate is the response to an entry's report. Parts that the entry already has
// are left empty.
type EntryUpdate struct {
	// ControlIncarnation is the incarnation of the control process.
	ControlIncarnation string
	// Document is the encoded configuration if it is newer than the entry's.
	Document []byte
	View     uint64
	// HasView reports that Replicas, Members, Tripped and StoreOK are set.
	HasView  bool
	Replicas []pool.Replica
	Members  []peer.Member
	Tripped  []version.ID
	StoreOK  bool
	// Ready reports that the control process has finished its start-up, so that
	// the entry may report ready.
	Ready bool
}

// Sync stores the entry's report and returns the changes that the entry lacks. A
// new entry incarnation or revision is published in a heartbeat at once.
func (n *Node) Sync(r EntryReport) EntryUpdate {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.Clock()
	changed := n.entry.incarnation != r.Incarnation || n.entry.revision != r.Revision
	n.entry = entryState{incarnation: r.Incarnation, revision: r.Revision, reportedAt: t, stopping: r.Stopping}
	n.updateLedger(r.Ledger, r.LastUnheldSeq)
	n.local = r.InFlight
	for v, e := range r.Evidence {
		n.publishEvidence(v, e, t)
	}
	if changed {
		n.publishHeartbeatLocked()
		n.triggerExchange()
	}
	return n.buildUpdate(r)
}

// buildUpdate builds the response to the report.
func (n *Node) buildUpdate(r EntryReport) EntryUpdate {
	u := EntryUpdate{ControlIncarnation: n.Incarnation, View: n.view, Ready: n.isReady()}
	if n.doc.Revision > r.Revision {
		u.Document = n.encodedDoc
	}
	if r.ControlIncarnation == n.Incarnation && r.View == n.view {
		return u
	}
	u.HasView = true
	u.Replicas = n.sortedReplicas()
	u.Members = n.members()
	u.StoreOK = n.storeOK(n.Clock())
	for v := range n.tripped {
		u.Tripped = append(u.Tripped, v)
	}
	return u
}

// IsEntryStopping reports whether the entry's last report says that it is stopping
// and was received less than within ago.
func (n *Node) IsEntryStopping(within time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entry.stopping && n.Clock().Before(n.entry.reportedAt.Add(within))
}
