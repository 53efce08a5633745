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
	// turnInterval is how long one instance has to write a due record before the instance
	// of the next rank writes it: enough for some store calls, and far less than a phase
	// of a release.
	turnInterval = 250 * time.Millisecond
	// nonJudgeDelay is how much longer instances wait that are not judges of the release:
	// as long as a judge may hold back the next phase in a scenario that lasts 16 s.
	nonJudgeDelay = time.Second
	// storeWriteTimeout bounds one call that writes to the store.
	storeWriteTimeout = 2 * time.Second
)

// enqueueDueRecords has the due records of releases written: of bad releases at each call
// until the store holds the record, and of releases whose phase is over. For the latter the
// instances take turns in the order of their ranks, so that an instance writes only if
// those ranked before it did not.
func (n *node) enqueueDueRecords() {
	bad := map[string]bool{}
	for _, r := range n.router.BadReleases() {
		bad[r.Service] = true
		if c, ok := n.state.TripRecord(r); ok {
			n.enqueueRecord(c)
		}
	}
	for _, c := range n.state.DueRecords(n.clock(), n.writeDelay) {
		if !bad[c.Release.Service] {
			n.enqueueRecord(n.withTrialShare(c))
		}
	}
}

// withTrialShare returns the record with the share of requests that the release gets during
// its trial, if the trial has begun and the share is not set yet. The share limits how many
// requests a bad release gets, by the estimated request rate of the service.
func (n *node) withTrialShare(c state.Record) state.Record {
	if r := &c.Release; r.Phase > 0 && r.TrialShare == 0 {
		b := rollout.ExposureLimit{Fraction: n.settings.ExposedFraction, Slack: n.settings.ExposedSlack}
		r.TrialShare = r.ComputeTrialShare(b, n.router.SendRate(*r, r.Elapsed))
	}
	return c
}

// enqueueRecord passes a record to writeRecords. While that is busy it drops the record,
// which is due again at the next tick.
func (n *node) enqueueRecord(c state.Record) {
	select {
	case n.pendingRecords <- c:
	default:
	}
}

// writeRecords writes records to the store, one after another, until ctx ends.
func (n *node) writeRecords(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-n.pendingRecords:
			n.writeRecord(ctx, c)
		}
	}
}

// rankForRelease returns the registered members in the order of their ranks for the
// service's release. The first judgeCount are its judges.
func (n *node) rankForRelease(service string) []peer.Member {
	return peer.Rank("release/"+service, n.placer.Members())
}

// writeDelay returns how long this instance waits for the instances ranked before it to
// write a record of the release, and the concerns about the release here. Instances that
// don't judge the release can't detect that it is suspect, and wait longer, to give the
// judges time. An instance that has no other members in its list is a judge.
func (n *node) writeDelay(rel rollout.Release) (wait time.Duration, s rollout.Concerns) {
	m := n.rankForRelease(rel.Service)
	i := slices.IndexFunc(m, func(x peer.Member) bool { return x.ID == n.settings.ID })
	if i < 0 {
		i = len(m)
	}
	isJudge := i < judgeCount
	wait = time.Duration(i) * turnInterval
	if !isJudge {
		wait += nonJudgeDelay
	}
	return wait, n.router.Concerns(rel, isJudge)
}

// writeRecord writes a release's progress to the store, unless another instance has written
// it before, and logs the result.
func (n *node) writeRecord(ctx context.Context, c state.Record) {
	callCtx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	ok, err := n.releases.Advance(callCtx, c.Release, c.Version)
	n.logEvent("release_record", "service", c.Release.Service, "release", c.Release.Target, "phase", c.Release.Phase, "trial", c.Release.TrialShare, "ran", c.Release.Elapsed, "state", c.Release.State, "version", c.Version, "won", ok, "error", err)
}
