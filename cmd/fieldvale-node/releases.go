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
	// judgesFirst is how much longer instances wait that don't judge the release:
	// as long as a judge may hold it back in a day of 16 s.
	judgesFirst = time.Second
	// commitTimeout bounds a call that writes to the store.
	commitTimeout = 2 * time.Second
)

// advance has recorded what is due: releases found bad, again until the store
// has it, and phases that have lasted. The instances take turns by rank with
// the latter, so that one of them writes and the next only if it did not.
func (n *node) advance() {
	bad := map[string]bool{}
	for _, r := range n.router.BadReleases() {
		bad[r.Service] = true
		if c, ok := n.state.TripRecord(r); ok {
			n.due(c)
		}
	}
	for _, c := range n.state.DueRecords(n.clock(), n.turn) {
		if !bad[c.Release.Service] {
			n.due(n.tried(c))
		}
	}
}

// tried sets the share with which a release is tried, once its trial begins.
func (n *node) tried(c state.Record) state.Record {
	if r := &c.Release; r.Phase > 0 && r.TrialShare == 0 {
		b := rollout.ExposureLimit{Fraction: n.s.ExposedPart, Slack: n.s.ExposedSlack}
		r.TrialShare = r.ComputeTrialShare(b, n.router.SendRate(*r, r.Elapsed))
	}
	return c
}

// due hands a record to the goroutine that writes them; while that one is
// busy it is due again with the next tick.
func (n *node) due(c state.Record) {
	select {
	case n.records <- c:
	default:
	}
}

// write writes records one after another until ctx ends.
func (n *node) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-n.records:
			n.record(ctx, c)
		}
	}
}

// ranked returns the fleet's instances in the order of their duty for the
// service's release.
func (n *node) ranked(service string) []peer.Member {
	return peer.Rank("release/"+service, n.placer.Members())
}

// turn is how long this instance lets those ranked before it write a record
// of the service's release. Those that don't judge it, and don't know whether it
// is suspect, leave the judges time. One that knows no other instance is a judge.
func (n *node) turn(rel rollout.Release) (wait time.Duration, s rollout.Concerns) {
	m := n.ranked(rel.Service)
	i := slices.IndexFunc(m, func(x peer.Member) bool { return x.ID == n.s.ID })
	if i < 0 {
		i = len(m)
	}
	isJudge := i < judges
	wait = time.Duration(i) * turnLength
	if !isJudge {
		wait += judgesFirst
	}
	return wait, n.router.Standing(rel, isJudge)
}

// record writes a release's progress, unless another instance did before.
func (n *node) record(ctx context.Context, c state.Record) {
	x, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	ok, err := n.releases.Advance(x, c.Release, c.Version)
	n.event("release_record", "service", c.Release.Service, "release", c.Release.Target, "phase", c.Release.Phase, "trial", c.Release.TrialShare, "ran", c.Release.Elapsed, "state", c.Release.State, "version", c.Version, "won", ok, "error", err)
}
