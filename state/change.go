package state

import (
	"fieldvale/peer"
	"fieldvale/pool"
	"fieldvale/rollout"
	"fieldvale/route"
)

// Change is a set of changes that take effect together.
type Change struct {
	// Table is nil if the configuration did not change.
	Table    *route.Table
	Replicas []pool.Replica
	// RemovedReplicas are the names of replicas whose entries were deleted, UnusableReplicas
	// those of replicas whose entries were overwritten by another writer.
	RemovedReplicas, UnusableReplicas []string
	// AllReplicas, if not nil, has the names of all replicas that have an entry. It is set
	// if the change is a snapshot of the store.
	AllReplicas map[string]bool
	Orders      []rollout.Release
	Records     []Record
	// Evacuated are data centres whose replicas must not get further requests, Restored
	// those whose evacuation has ended. If AllReplicas is set, Evacuated has all evacuated
	// data centres.
	Evacuated, Restored []string
	// Members are instances that are registered as members, LeftMembers the ids of those
	// whose registration was deleted or has expired.
	Members     []peer.Member
	LeftMembers []string
	// FleetSize is the recorded number of instances; its zero value if that did not change.
	FleetSize FleetSize
}

// FleetSize is the number of instances as recorded in the store.
type FleetSize struct {
	Size int
	// Version is the version that the store's entry must have when the record is replaced.
	Version int64
}

// Record is the progress of a release as recorded in the store.
type Record struct {
	Release rollout.Release
	// Version is the version that the store's entry must have when the record is replaced.
	Version int64
}
