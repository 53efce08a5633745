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

// driveRollouts takes the steps that are due and ends the roll-outs that
// tripped. Every instance may do it; rank decides who tries first, and the
// store's compare-and-swap that each is done once.
func (n *Node) driveRollouts(ctx context.Context) {
	t := n.Clock()
	d, _ := n.Document()
	for _, c := range d.DueSteps(t) {
		if n.isTripped(c.Rollout.To) || n.isSuspect(c.Rollout.To) || t.Before(n.turn("rollout/"+c.ID, c.Rollout.Steps[c.Rollout.StepsTaken].Due)) {
			continue
		}
		n.drive(ctx, c)
	}
	for _, c := range n.dueTrips(d, t) {
		n.drive(ctx, c)
	}
}

// turn is when this instance may do a duty that fell due at the given time.
func (n *Node) turn(duty string, due time.Time) time.Time {
	i := peer.Position(duty, n.Self.ID, n.Members())
	return due.Add(time.Duration(max(0, i)) * n.Times.Takeover)
}

func (n *Node) isTripped(v version.ID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tripped[v]
}

// suspectPart of the way to being found bad is where a version takes no more steps
// until good answers speak for it: after the last step nothing takes it back.
const suspectPart = 0.5

// isSuspect reports whether the version is near to being found bad. What keeps it
// from its step is logged once.
func (n *Node) isSuspect(v version.ID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	d, ok := n.detectors[v]
	is := ok && d.Sum() >= suspectPart*d.Limit()
	if is && !n.held[v] {
		n.log("rollout_held", "version", v, "good", n.pooled[v].Total().Good, "bad", n.pooled[v].Total().Bad, "sum", d.Sum(), "limit", d.Limit())
	}
	if is {
		n.held[v] = true
	} else {
		delete(n.held, v)
	}
	return is
}

func (n *Node) dueTrips(d config.Document, t time.Time) []config.Change {
	var r []config.Change
	for _, m := range d.Teams() {
		for _, o := range d.Parts[m].Rollouts {
			if o.State != rollout.Running || !n.isTripped(o.To) {
				continue
			}
			c := config.TripChange(m, o, n.tripReason(o.To))
			if !t.Before(n.turn("trip/"+c.ID, n.trippedAt(o, t))) {
				r = append(r, c)
			}
		}
	}
	return r
}

func (n *Node) trippedAt(r rollout.Rollout, t time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	i, ok := n.table.Get(tripKey(r), t)
	if !ok {
		return t
	}
	return time.Unix(0, int64(i.Version))
}

func (n *Node) tripReason(v version.ID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.pooled[v]
	if !ok {
		return "peers found the version bad"
	}
	return fmt.Sprintf("%d good and %d bad answers", p.Total().Good, p.Total().Bad)
}

func (n *Node) drive(ctx context.Context, c config.Change) {
	c.At = n.Clock()
	c.Who = "fieldvale/" + n.Self.ID
	if _, err := n.Change(ctx, c); err != nil {
		n.log("rollout_change_failed", "change", c.ID, "error", err)
	}
}
