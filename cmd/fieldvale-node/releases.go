package main

import (
	"context"
	"slices"
	"time"

	"fieldvale/peer"
	"fieldvale/rollout"
	"fieldvale/state"
)

const (
	// turnLength is how long one instance has to write what is due before the
	// next one does: some store calls, and well below the phases of a release.
	turnLength = 250 * time.Millisecond
	// commitTimeout bounds a call that writes to the store.
	commitTimeout = 2 * time.Second
)

// advance takes the releases on that are due. The instances take turns by
// rank, so that one of them writes and the next only if it did not.
func (n *node) advance(ctx context.Context) {
	for _, c := range n.state.Due(n.clock(), n.turn) {
		n.record(ctx, c)
	}
}

// ranked returns the fleet's instances in the order of their duty for the
// service's release.
func (n *node) ranked(service string) []peer.Member {
	return peer.Rank("release/"+service, n.placer.Members())
}

// turn is how long this instance lets those ranked before it write a record
// of the service's release.
func (n *node) turn(service string) time.Duration {
	m := n.ranked(service)
	i := slices.IndexFunc(m, func(x peer.Member) bool { return x.ID == n.s.ID })
	if i < 0 {
		i = len(m)
	}
	return time.Duration(i) * turnLength
}

// trip has a release that was found bad recorded. It does not wait, as the
// router calls it while it answers.
func (n *node) trip(r rollout.Release) {
	select {
	case n.trips <- r:
	default:
	}
}

// record writes a release's progress, unless another instance did before.
func (n *node) record(ctx context.Context, c state.Record) {
	x, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	ok, err := n.releases.Advance(x, c.Release, c.Version)
	n.event("release_record", "service", c.Release.Service, "release", c.Release.Target, "phase", c.Release.Phase, "state", c.Release.State, "version", c.Version, "won", ok, "error", err)
}
