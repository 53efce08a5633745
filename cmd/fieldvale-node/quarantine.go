package main

import (
	"context"

	"fieldvale/entry"
	"fieldvale/platform"
	"fieldvale/quarantine"
)

// mostHeldWaiting bounds the changes that wait for the store. What finds no room is due
// again: a content that is held ends no more replicas, but is forgotten if all instances
// are lost before it is written.
const mostHeldWaiting = 64

// heldChange is a content that the store is to hold, or no more.
type heldChange struct {
	entry quarantine.Entry
	over  bool
}

func (n *node) quarantinePorts() quarantine.Config {
	return quarantine.Config{
		Self: n.s.ID, Net: tagged{n, tagSuspects}, Clock: n.clock, Followers: n.relay.Followers, Log: n.event,
		OnHeld: func(e quarantine.Entry) { n.heldDue(heldChange{entry: e}) },
		OnReleased: func(f quarantine.Fingerprint) {
			n.heldDue(heldChange{entry: quarantine.Entry{Fingerprint: f}, over: true})
		},
	}
}

func (n *node) gaugeQuarantine() {
	n.metrics.Gauge("requests_suspect", "Contents that are sent on trial or not at all, as this instance knows.", func() float64 {
		s, _ := n.quarantine.Counts()
		return float64(s)
	})
	n.metrics.Gauge("requests_held", "Contents that get no replica, as this instance knows.", func() float64 {
		_, h := n.quarantine.Counts()
		return float64(h)
	})
}

// quarantined logs why a request was sent on trial only, or not at all.
func (n *node) quarantined(f *entry.ForwardResult) {
	v := f.Verdict
	if v.Decision == quarantine.Allow {
		return
	}
	r := v.Record
	n.event("request_quarantined", "request", f.Request.ID, "content", f.Fingerprint, "decision", v.Decision, "score", r.Score, "replicas", r.Replicas,
		"trials_ended", r.TrialCrashes, "trials_open", r.TrialsWithoutResult, "last_end_ago", n.clock().Sub(r.LastCrashAt), "told_by", r.ReportedBy, "keeper", v.Owner, "retry_at", v.RetryAt)
}

// heldDue hands a change to the goroutine that writes them.
func (n *node) heldDue(c heldChange) {
	select {
	case n.held <- c:
	default:
		n.event("held_unwritten", "content", c.entry.Fingerprint, "over", c.over, "reason", "too many wait")
	}
}

// writeHeld writes what is held, one after another, until ctx ends.
func (n *node) writeHeld(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-n.held:
			n.recordHeld(ctx, c)
		}
	}
}

// recordHeld writes one content, or removes it.
func (n *node) recordHeld(ctx context.Context, c heldChange) {
	x, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if c.over {
		err := platform.NewQuarantineWriter(n.store).Release(x, c.entry.Fingerprint)
		n.event("held_released", "content", c.entry.Fingerprint, "error", err)
		return
	}
	won, err := platform.NewQuarantineWriter(n.store).Hold(x, c.entry)
	n.event("held_record", "content", c.entry.Fingerprint, "score", c.entry.Record.Score, "won", won, "error", err)
}
