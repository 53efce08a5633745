package control

import (
	"time"

	"fieldvale/adapter/codec"
	"fieldvale/peer"
	"fieldvale/rollout"
	"fieldvale/version"
)

// Lives of facts.
const (
	leavingLife  = 10 * time.Minute
	tripLife     = time.Hour
	evidenceLife = 10 * time.Minute
)

// applyFacts takes trips, leaving backend servers and evidence out of the
// table. It reports whether there was something new that can't wait.
func (n *Node) applyFacts() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.Clock()
	u := n.applyTrips(t)
	u = n.applyLeaving(t) || u
	n.applyEvidence(t)
	if u {
		n.view++
	}
	return u
}

func (n *Node) applyTrips(t time.Time) bool {
	u := false
	for _, i := range n.table.All(peer.Trip, t) {
		v, err := version.Parse(i.Key.Name)
		if err == nil && !n.tripped[v] {
			n.tripped[v] = true
			u = true
		}
	}
	return u
}

func (n *Node) applyLeaving(t time.Time) bool {
	u := false
	for _, i := range n.table.All(peer.Leaving, t) {
		r, ok := n.replicas[i.Key.Name]
		if ok && !r.Leaving {
			n.replicas[r.ID] = r.WithLeaving()
			u = true
		}
	}
	return u
}

// tellLeaving makes a leaving backend server known to all.
func (n *Node) tellLeaving(id string, t time.Time) {
	k := peer.Key{Kind: peer.Leaving, Name: id}
	if _, ok := n.table.Get(k, t.Add(leavingLife/2)); ok {
		return
	}
	n.table.Put(peer.Item{Key: k, Version: uint64(t.UnixNano()), Expires: t.Add(leavingLife)}, "", t)
}

// applyEvidence pools what instances report of versions under a roll-out and
// trips those that the pooled evidence shows to be bad.
func (n *Node) applyEvidence(t time.Time) {
	for _, i := range n.table.All(peer.Evidence, t) {
		o, v, ok := splitEvidence(i.Key.Name)
		if !ok {
			continue
		}
		e, err := codec.DecodeEvidence(i.Value)
		if err != nil {
			n.log("bad_evidence", "peer", o, "error", err)
			continue
		}
		n.report(o, v, e)
	}
}

func (n *Node) report(origin string, v version.ID, e rollout.Evidence) {
	p, ok := n.pooled[v]
	if !ok {
		p = rollout.NewPooled()
		n.pooled[v] = p
		n.detectors[v] = rollout.NewDetector(n.Rates)
	}
	p.Report(origin, e)
	n.detectors[v] = n.detectors[v].With(p.Total())
	if n.detectors[v].Tripped() && !n.tripped[v] && n.underRollout(v) {
		n.trip(v)
	}
}

// trip stops new work for the version here at once and tells peers; the
// roll-out's end is written by driveRollouts.
func (n *Node) trip(v version.ID) {
	t := n.Clock()
	n.tripped[v] = true
	n.view++
	n.table.Put(peer.Item{Key: peer.Key{Kind: peer.Trip, Name: v.String()}, Version: uint64(t.UnixNano()), Expires: t.Add(tripLife)}, "", t)
	n.log("version_tripped", "version", v, "good", n.pooled[v].Total().Good, "bad", n.pooled[v].Total().Bad)
	n.hurry()
}

func (n *Node) underRollout(v version.ID) bool {
	for _, t := range n.doc.Teams() {
		if r, ok := n.doc.Parts[t].Rollout(v.Model); ok && r.To == v && r.State == rollout.Running {
			return true
		}
	}
	return false
}

// evidenceSeparator stands between origin and version in an item's name; it
// is in neither.
const evidenceSeparator = '|'

func evidenceName(origin string, v version.ID) string {
	return origin + string(evidenceSeparator) + v.String()
}

func splitEvidence(s string) (string, version.ID, bool) {
	for i := range s {
		if s[i] == evidenceSeparator {
			v, err := version.Parse(s[i+1:])
			return s[:i], v, err == nil
		}
	}
	return "", version.ID{}, false
}

// tellEvidence makes the entry's own evidence known, for versions that are
// under a roll-out.
func (n *Node) tellEvidence(v version.ID, e rollout.Evidence, t time.Time) {
	if !n.underRollout(v) {
		return
	}
	o := n.Self.ID + "/" + n.entry.incarnation
	n.report(o, v, e)
	k := peer.Key{Kind: peer.Evidence, Name: evidenceName(o, v)}
	old, ok := n.table.Get(k, t)
	if ok && old.Version == e.Good+e.Bad {
		return
	}
	if ok && !n.evidenceDue(old, e, t) {
		return
	}
	n.table.Put(peer.Item{Key: k, Version: e.Good + e.Bad, Value: codec.EncodeEvidence(e), Expires: t.Add(evidenceLife)}, "", t)
}

// evidenceDue reports whether evidence is worth telling now: bad outcomes at
// once, good ones as rarely as heartbeats.
func (n *Node) evidenceDue(old peer.Item, e rollout.Evidence, t time.Time) bool {
	o, err := codec.DecodeEvidence(old.Value)
	if err != nil || e.Bad > o.Bad {
		return true
	}
	return !t.Before(old.Expires.Add(-evidenceLife).Add(n.beatEvery()))
}
