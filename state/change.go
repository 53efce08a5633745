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
	// RemovedReplicas are the names of replicas whose entries went, UnusableReplicas of those whose
	// entries another writer has put in place of theirs.
	RemovedReplicas, UnusableReplicas []string
	// AllReplicas, if not nil, are the names of all replicas there are.
	AllReplicas map[string]bool
	Orders      []rollout.Release
	Records     []Record
	// Evacuated are data centres whose replicas are to get nothing more, Restored
	// those of which that is over. Where Known is given, Evacuated are all there
	// are.
	Evacuated, Restored []string
	// Members are instances of the fleet that announce themselves, Left the
	// ids of those whose announcement is over.
	Members     []peer.Member
	LeftMembers []string
}

// Record is what the store holds of a release.
type Record struct {
	Release rollout.Release
	// Version guards the record's next change.
	Version int64
}
