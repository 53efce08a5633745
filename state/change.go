package state

import (
	"fieldvale/peer"
	"fieldvale/pool"
	"fieldvale/rollout"
	"fieldvale/route"
)

// Change is news of one moment.
type Change struct {
	// Table is nil if the configuration did not change.
	Table    *route.Table
	Replicas []pool.Replica
	// Gone are the ids of replicas whose entries went.
	Gone []string
	// Known, if not nil, are the ids of all replicas there are.
	Known   map[string]bool
	Orders  []rollout.Release
	Records []Record
	// Members are instances of the fleet that announce themselves, Left the
	// ids of those whose announcement is over.
	Members []peer.Member
	Left    []string
}

// Record is what the store holds of a release.
type Record struct {
	Release rollout.Release
	// Version guards the record's next change.
	Version int64
}
