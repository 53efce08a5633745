package control

import (
	"strconv"
	"strings"
	"time"

	"fieldvale/adapter/codec"
	"fieldvale/peer"
	"fieldvale/rollout"
	"fieldvale/version"
)

// How long items stay in the peer table.
const (
	drainingTTL = 10 * time.Minute
	tripTTL     = time.Hour
	evidenceTTL = 10 * time.Minute
)

// applyItems applies the trips, draining replicas and roll-out evidence that the
// peer table holds to the node's state. It reports whether there was a new trip
// or draining replica, which must be sent on to other peers at once.
func (n *Node) applyItems() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.Clock()
	u := n.applyTrips(t)
	u = n.applyDraining(t) || u
	n.applyEvidence(t)
	if u {
		n.view++
	}
	return u
}

// applyTrips marks the versions as tripped whose running roll-out has a trip in
// the peer table. It reports whether any was not marked before.
func (n *Node) applyTrips(t time.Time) bool {
	u := false
	for _, i := range n.table.All(peer.Trip, t) {
		_, v, ok := splitName(i.Key.Name)
		r, running := n.runningRolloutTo(v)
		if ok && running && i.Key == tripKey(r) && !n.tripped[v] {
			n.tripped[v] = true
			u = true
		}
	}
	return u
}

// tripKey returns the key of the item that reports the roll-out's version as bad.
// A later roll-out of the same version has another start time and so another
// key.
func tripKey(r rollout.Rollout) peer.Key {
	return peer.Key{Kind: peer.Trip, Name: joinName(strconv.FormatInt(r.Steps[0].Due.UnixNano(), 10), r.To)}
}

// pruneTrips drops the trips of roll-outs that have ended: the configuration
// document lists their versions as withdrawn until an operator reinstates them.
func (n *Node) pruneTrips() {
	for v := range n.tripped {
		if _, ok := n.runningRolloutTo(v); !ok {
			delete(n.tripped, v)
		}
	}
}

// applyDraining marks the replicas as draining that peers report as such. It
// reports whether any was not marked before.
func (n *Node) applyDraining(t time.Time) bool {
	u := false
	for _, i := range n.table.All(peer.Draining, t) {
		r, ok := n.replicas[i.Key.Name]
		if ok && !r.Draining {
			n.replicas[r.ID] = r.WithDraining()
			u = true
		}
	}
	return u
}

// publishDraining publishes to all instances that the replica is draining. An item
// with more than half of its time to live left is not renewed.
func (n *Node) publishDraining(id string, t time.Time) {
	k := peer.Key{Kind: peer.Draining, Name: id}
	if _, ok := n.table.Get(k, t.Add(drainingTTL/2)); ok {
		return
	}
	n.table.Put(peer.Item{Key: k, Version: uint64(t.UnixNano()), Expires: t.Add(drainingTTL)}, "", t)
}

// applyEvidence adds the outcome counts in the peer table, which instances report
// per version, to the pooled outcomes.
func (n *Node) applyEvidence(t time.Time) {
	for _, i := range n.table.All(peer.Evidence, t) {
		o, v, ok := splitName(i.Key.Name)
		if !ok {
			continue
		}
		e, err := codec.DecodeEvidence(i.Value)
		if err != nil {
			n.log("bad_evidence", "peer", o, "error", err)
			continue
		}
		n.recordEvidence(o, v, e)
	}
}

// recordEvidence pools the origin's outcome counts for the version. If the version
// is under a roll-out and the pooled counts show it to be bad, the roll-out is
// tripped.
func (n *Node) recordEvidence(origin string, v version.ID, e rollout.Outcomes) {
	p, ok := n.pooled[v]
	if !ok {
		p = rollout.NewPooledOutcomes()
		n.pooled[v] = p
	}
	r, running := n.runningRolloutTo(v)
	if running && n.pooledRollouts[v] != tripKey(r).Name {
		// Outcomes counted before this roll-out began are no evidence about it.
		n.pooledRollouts[v] = tripKey(r).Name
		p.Reset()
		n.detectors[v] = rollout.NewDetector(n.Rates)
	}
	p.Report(origin, e)
	if !running {
		return
	}
	n.detectors[v] = n.detectors[v].With(p.Total())
	if n.detectors[v].Tripped() && !n.tripped[v] {
		n.trip(r)
	}
}

// trip marks the roll-out's version as tripped, which stops new requests to it on
// this instance at once, and publishes the trip to peers. The roll-out's end is
// written to the configuration later, by the duty that steps roll-outs.
func (n *Node) trip(r rollout.Rollout) {
	t, v := n.Clock(), r.To
	n.tripped[v] = true
	n.view++
	n.table.Put(peer.Item{Key: tripKey(r), Version: uint64(t.UnixNano()), Expires: t.Add(tripTTL)}, "", t)
	n.log("version_tripped", "version", v, "good", n.pooled[v].Total().Good, "bad", n.pooled[v].Total().Bad)
	n.triggerExchange()
}

// runningRolloutTo returns the running roll-out to the version, if there is one.
func (n *Node) runningRolloutTo(v version.ID) (rollout.Rollout, bool) {
	for _, t := range n.doc.Teams() {
		if r, ok := n.doc.Parts[t].Rollout(v.Model); ok && r.To == v && r.State == rollout.Running {
			return r, true
		}
	}
	return rollout.Rollout{}, false
}

// nameSeparator separates the two parts of an item's name; neither contains it.
const nameSeparator = "|"

// joinName returns the name of an item about the version.
func joinName(first string, v version.ID) string {
	return first + nameSeparator + v.String()
}

// splitName returns the two parts of a name that joinName returned.
func splitName(s string) (string, version.ID, bool) {
	f, t, _ := strings.Cut(s, nameSeparator)
	v, err := version.Parse(t)
	return f, v, err == nil
}

// publishEvidence pools the outcome counts of this instance's entry and publishes
// them to peers, if the version is under a roll-out.
func (n *Node) publishEvidence(v version.ID, e rollout.Outcomes, t time.Time) {
	if _, ok := n.runningRolloutTo(v); !ok {
		return
	}
	o := n.Self.ID + "/" + n.entry.incarnation
	n.recordEvidence(o, v, e)
	k := peer.Key{Kind: peer.Evidence, Name: joinName(o, v)}
	old, ok := n.table.Get(k, t)
	if ok && old.Version == e.Good+e.Bad {
		return
	}
	if ok && !n.isEvidenceDue(old, e, t) {
		return
	}
	n.table.Put(peer.Item{Key: k, Version: e.Good + e.Bad, Value: codec.EncodeEvidence(e), Expires: t.Add(evidenceTTL)}, "", t)
}

// isEvidenceDue reports whether the counts must be published now: new bad outcomes
// at once, good ones only at the interval of heartbeats.
func (n *Node) isEvidenceDue(old peer.Item, e rollout.Outcomes, t time.Time) bool {
	o, err := codec.DecodeEvidence(old.Value)
	if err != nil || e.Bad > o.Bad {
		return true
	}
	return !t.Before(old.Expires.Add(-evidenceTTL).Add(n.heartbeatInterval()))
}
