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
		_, v, ok := splitName(i.Key.Name)
		r, under := n.rolloutTo(v)
		if ok && under && i.Key == tripKey(r) && !n.tripped[v] {
			n.tripped[v] = true
			u = true
		}
	}
	return u
}

// tripKey names the finding that one roll-out's version is bad. A later
// roll-out of the same version has another start and so another name.
func tripKey(r rollout.Rollout) peer.Key {
	return peer.Key{Kind: peer.Trip, Name: joinName(strconv.FormatInt(r.Steps[0].Due.UnixNano(), 10), r.To)}
}

// forgetTrips drops the trips of roll-outs that have ended: the document has
// their versions as withdrawn, until an operator reinstates them.
func (n *Node) forgetTrips() {
	for v := range n.tripped {
		if _, ok := n.rolloutTo(v); !ok {
			delete(n.tripped, v)
		}
	}
}

func (n *Node) applyLeaving(t time.Time) bool {
	u := false
	for _, i := range n.table.All(peer.Leaving, t) {
		r, ok := n.replicas[i.Key.Name]
		if ok && !r.Draining {
			n.replicas[r.ID] = r.WithDraining()
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
		o, v, ok := splitName(i.Key.Name)
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

func (n *Node) report(origin string, v version.ID, e rollout.Outcomes) {
	p, ok := n.pooled[v]
	if !ok {
		p = rollout.NewPooledOutcomes()
		n.pooled[v] = p
	}
	r, under := n.rolloutTo(v)
	if under && n.trials[v] != tripKey(r).Name {
		// What was counted before this roll-out began says nothing of it.
		n.trials[v] = tripKey(r).Name
		p.Reset()
		n.detectors[v] = rollout.NewDetector(n.Rates)
	}
	p.Report(origin, e)
	if !under {
		return
	}
	n.detectors[v] = n.detectors[v].With(p.Total())
	if n.detectors[v].Tripped() && !n.tripped[v] {
		n.trip(r)
	}
}

// trip stops new work for the version here at once and tells peers; the
// roll-out's end is written by driveRollouts.
func (n *Node) trip(r rollout.Rollout) {
	t, v := n.Clock(), r.To
	n.tripped[v] = true
	n.view++
	n.table.Put(peer.Item{Key: tripKey(r), Version: uint64(t.UnixNano()), Expires: t.Add(tripLife)}, "", t)
	n.log("version_tripped", "version", v, "good", n.pooled[v].Total().Good, "bad", n.pooled[v].Total().Bad)
	n.hurry()
}

// rolloutTo returns the roll-out to the version that is under way.
func (n *Node) rolloutTo(v version.ID) (rollout.Rollout, bool) {
	for _, t := range n.doc.Teams() {
		if r, ok := n.doc.Parts[t].Rollout(v.Model); ok && r.To == v && r.State == rollout.Running {
			return r, true
		}
	}
	return rollout.Rollout{}, false
}

// nameSeparator stands between the parts of an item's name; it is in neither.
const nameSeparator = "|"

func joinName(first string, v version.ID) string {
	return first + nameSeparator + v.String()
}

func splitName(s string) (string, version.ID, bool) {
	f, t, _ := strings.Cut(s, nameSeparator)
	v, err := version.Parse(t)
	return f, v, err == nil
}

// tellEvidence makes the entry's own evidence known, for versions that are
// under a roll-out.
func (n *Node) tellEvidence(v version.ID, e rollout.Outcomes, t time.Time) {
	if _, ok := n.rolloutTo(v); !ok {
		return
	}
	o := n.Self.ID + "/" + n.entry.incarnation
	n.report(o, v, e)
	k := peer.Key{Kind: peer.Evidence, Name: joinName(o, v)}
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
func (n *Node) evidenceDue(old peer.Item, e rollout.Outcomes, t time.Time) bool {
	o, err := codec.DecodeEvidence(old.Value)
	if err != nil || e.Bad > o.Bad {
		return true
	}
	return !t.Before(old.Expires.Add(-evidenceLife).Add(n.beatEvery()))
}
