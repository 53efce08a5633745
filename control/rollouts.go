package control

import (
	"context"
	"fmt"
	"time"

	"fieldvale/config"
	"fieldvale/peer"
	"fieldvale/rollout"
	"fieldvale/version"
)

// advanceRollouts takes the roll-out steps that are due and ends the roll-outs that
// have tripped. Every instance does so: rank decides which one tries first, and
// the store's compare-and-swap ensures that each change is made once.
func (n *Node) advanceRollouts(ctx context.Context) {
	t := n.Clock()
	d, _ := n.Document()
	for _, c := range d.DueSteps(t) {
		if n.isTripped(c.Rollout.To) || n.isStepHeld(c.Rollout.To) || t.Before(n.turnAt("rollout/"+c.ID, c.Rollout.Steps[c.Rollout.StepsTaken].Due)) {
			continue
		}
		n.applyChange(ctx, c)
	}
	for _, c := range n.dueTrips(d, t) {
		n.applyChange(ctx, c)
	}
}

// turnAt returns when this instance may do a duty that became due at the given time,
// which is later the lower the instance ranks for the duty.
func (n *Node) turnAt(duty string, due time.Time) time.Time {
	i := peer.Position(duty, n.Self.ID, n.Members())
	return due.Add(time.Duration(max(0, i)) * n.Times.TakeoverDelay)
}

// isTripped reports whether the version's roll-out has tripped.
func (n *Node) isTripped(v version.ID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tripped[v]
}

// holdFraction is the part of the detector's limit at which a version takes no more
// roll-out steps until good outcomes lower its sum: after the last step the
// roll-out can no longer be tripped.
const holdFraction = 0.5

// isStepHeld reports whether the version is so close to tripping that its next step
// is held back. It logs this once.
func (n *Node) isStepHeld(v version.ID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	d, ok := n.detectors[v]
	near := ok && d.Sum() >= holdFraction*d.Limit()
	if near && !n.heldSteps[v] {
		n.log("rollout_held", "version", v, "good", n.pooled[v].Total().Good, "bad", n.pooled[v].Total().Bad, "sum", d.Sum(), "limit", d.Limit())
	}
	if near {
		n.heldSteps[v] = true
	} else {
		delete(n.heldSteps, v)
	}
	return near
}

// dueTrips returns the changes that end the tripped roll-outs, where it is this
// instance's turn.
func (n *Node) dueTrips(d config.Document, t time.Time) []config.Change {
	var r []config.Change
	for _, m := range d.Teams() {
		for _, o := range d.Parts[m].Rollouts {
			if o.State != rollout.Running || !n.isTripped(o.To) {
				continue
			}
			c := config.NewTripChange(m, o, n.tripReason(o.To))
			if !t.Before(n.turnAt("trip/"+c.ID, n.trippedAt(o, t))) {
				r = append(r, c)
			}
		}
	}
	return r
}

// trippedAt returns when the roll-out tripped, or t if the trip has expired from
// the peer table.
func (n *Node) trippedAt(r rollout.Rollout, t time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	i, ok := n.table.Get(tripKey(r), t)
	if !ok {
		return t
	}
	return time.Unix(0, int64(i.Version))
}

// tripReason returns the reason for the trip, for the audit trail.
func (n *Node) tripReason(v version.ID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.pooled[v]
	if !ok {
		return "peers found the version bad"
	}
	return fmt.Sprintf("%d good and %d bad answers", p.Total().Good, p.Total().Bad)
}

// applyChange makes the change in this instance's name.
func (n *Node) applyChange(ctx context.Context, c config.Change) {
	c.At = n.Clock()
	c.Who = "fieldvale/" + n.Self.ID
	if _, err := n.Change(ctx, c); err != nil {
		n.log("rollout_change_failed", "change", c.ID, "error", err)
	}
}
