package main

import (
	"context"

	"fieldvale/entry"
	"fieldvale/platform"
	"fieldvale/quarantine"
)

// pendingHeldLimit bounds the changes that wait to be written to the store. A change that
// exceeds it is dropped until the quarantine reports it again. Meanwhile held requests are
// still refused and crash no more replicas, but if all instances stop before the change is
// written, it is lost.
const pendingHeldLimit = 64

// heldChange is a request content or part to be stored as held, or to be removed from the store.
type heldChange struct {
	entry quarantine.Entry
	// released has the content removed.
	released bool
}

// quarantineConfig returns the configuration of the quarantine, which has the changes of
// held contents written to the store.
func (n *node) quarantineConfig() quarantine.Config {
	return quarantine.Config{
		Self: n.settings.ID, Net: taggedTransport{n, tagQuarantine}, Clock: n.clock, Followers: n.relay.Followers, Log: n.logEvent,
		OnHeld: func(e quarantine.Entry) { n.enqueueHeldChange(heldChange{entry: e}) },
		OnReleased: func(f quarantine.Fingerprint) {
			n.enqueueHeldChange(heldChange{entry: quarantine.Entry{Fingerprint: f}, released: true})
		},
	}
}

// registerQuarantineMetrics registers the counts of suspect and of held contents and parts.
func (n *node) registerQuarantineMetrics() {
	n.registerQuarantineGauges("requests", "Contents", quarantine.KindContent)
	n.registerQuarantineGauges("parts", "Parts of prompts", quarantine.KindPart)
}

func (n *node) registerQuarantineGauges(name, what string, k quarantine.Kind) {
	n.metrics.GaugeFunc(name+"_suspect", what+" that are sent on trial or not at all, as this instance knows.", func() float64 {
		s, _ := n.quarantine.Counts(k)
		return float64(s)
	})
	n.metrics.GaugeFunc(name+"_held", what+" that get no replica, as this instance knows.", func() float64 {
		_, h := n.quarantine.Counts(k)
		return float64(h)
	})
}

// logQuarantined logs why the quarantine allowed a request only as a trial, or refused it;
// it logs nothing for a request that the quarantine allowed.
func (n *node) logQuarantined(f *entry.ForwardResult) {
	v := f.Verdict
	if v.Decision == quarantine.Allow {
		return
	}
	r := v.Record
	n.logEvent("request_quarantined", "request", f.Request.ID, "content", f.Fingerprint, "subject", r.Kind, "part", r.Label, "decision", v.Decision, "score", r.Score, "replicas", r.Replicas,
		"trials_ended", r.TrialCrashes, "trials_open", r.TrialsWithoutResult, "last_end_ago", n.clock().Sub(r.LastCrashAt), "told_by", r.ReportedBy, "keeper", v.Owner, "retry_at", v.RetryAt)
}

// enqueueHeldChange passes a change to writeHeldChanges, or drops and logs it if too many
// wait.
func (n *node) enqueueHeldChange(c heldChange) {
	select {
	case n.pendingHeld <- c:
	default:
		n.logEvent("held_unwritten", "content", c.entry.Fingerprint, "over", c.released, "reason", "too many wait")
	}
}

// writeHeldChanges writes the changes of held contents to the store, one after another,
// until ctx ends.
func (n *node) writeHeldChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-n.pendingHeld:
			n.writeHeldChange(ctx, c)
		}
	}
}

// writeHeldChange writes one held content to the store, or removes it, and logs the result.
func (n *node) writeHeldChange(ctx context.Context, c heldChange) {
	callCtx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	if c.released {
		err := platform.NewQuarantineWriter(n.store).Release(callCtx, c.entry.Fingerprint)
		n.logEvent("held_released", "content", c.entry.Fingerprint, "error", err)
		return
	}
	won, err := platform.NewQuarantineWriter(n.store).Hold(callCtx, c.entry)
	n.logEvent("held_record", "content", c.entry.Fingerprint, "part", c.entry.Record.Label, "score", c.entry.Record.Score, "won", won, "error", err)
}
