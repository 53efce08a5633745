package control

import (
	"time"

	"fieldvale/bill"
	"fieldvale/peer"
	"fieldvale/pool"
	"fieldvale/rollout"
	"fieldvale/version"
)

// Report is what the entry beside the node says of itself.
type Report struct {
	Incarnation string
	Revision    uint64
	// View is the number of the view that the entry has, counted by the
	// incarnation Control.
	View    uint64
	Control string
	Ledger  bill.Ledger
	// AloneUpto is the number of the entry's last bill record that no other
	// instance holds.
	AloneUpto uint64
	Evidence  map[version.ID]rollout.Outcomes
	// Running is the entry's own requests by replica.
	Running map[string]int
	// Stopping says that the entry is finishing what it has.
	Stopping bool
}

// Update is what the entry gets back. Parts that it has already are empty.
type Update struct {
	Control string
	// Document is the encoded configuration if it is newer than the entry's.
	Document []byte
	View     uint64
	// Fresh says that the fields below are set.
	Fresh    bool
	Replicas []pool.Replica
	Members  []peer.Member
	Tripped  []version.ID
	StoreOK  bool
	// Settled says that the control has reached what it can: the entry may
	// be ready.
	Settled bool
}

// Sync swaps the entry's report for what is new to it.
func (n *Node) Sync(r Report) Update {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.Clock()
	changed := n.entry.incarnation != r.Incarnation || n.entry.revision != r.Revision
	n.entry = entryState{incarnation: r.Incarnation, revision: r.Revision, heardAt: t, stopping: r.Stopping}
	n.takeLedger(r.Ledger, r.AloneUpto)
	n.local = r.Running
	for v, e := range r.Evidence {
		n.tellEvidence(v, e, t)
	}
	if changed {
		n.beatLocked()
		n.hurry()
	}
	return n.update(r)
}

func (n *Node) update(r Report) Update {
	u := Update{Control: n.Incarnation, View: n.view, Settled: n.settled()}
	if n.doc.Revision > r.Revision {
		u.Document = n.bytes
	}
	if r.Control == n.Incarnation && r.View == n.view {
		return u
	}
	u.Fresh = true
	u.Replicas = n.sortedReplicas()
	u.Members = n.members()
	u.StoreOK = n.storeOK(n.Clock())
	for v := range n.tripped {
		u.Tripped = append(u.Tripped, v)
	}
	return u
}

// EntryStopping reports whether the entry said that it is stopping and was
// heard within the span before now.
func (n *Node) EntryStopping(within time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entry.stopping && n.Clock().Before(n.entry.heardAt.Add(within))
}
