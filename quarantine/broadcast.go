package quarantine

import (
	"slices"
	"time"

	"fieldvale/peer"
)

const (
	// fastRepeats is how often a changed record is sent again at fastInterval; after that it is
	// sent again every slowInterval. Three datagrams in ten may be lost, and an instance that has
	// just started or was partitioned has received nothing.
	fastRepeats  = 3
	fastInterval = time.Second
	slowInterval = 10 * time.Second
)

// broadcast schedules the next broadcast of a content's record.
type broadcast struct {
	nextAt time.Time
	sent   int
}

// broadcasts are the records that this instance broadcasts, by content.
type broadcasts map[Fingerprint]broadcast

// due returns the contents whose record is to be sent now, and schedules their next broadcast.
func (r broadcasts) due(now time.Time) []Fingerprint {
	var l []Fingerprint
	for f, x := range r {
		if now.Before(x.nextAt) {
			continue
		}
		l = append(l, f)
		x.sent++
		x.nextAt = now.Add(fastInterval)
		if x.sent > fastRepeats {
			x.nextAt = now.Add(slowInterval)
		}
		r[f] = x
	}
	slices.SortFunc(l, Fingerprint.compare)
	return l
}

// Tick reports survivals, broadcasts the records that are due, synchronises with the store, and deletes what has
// expired.
func (n *Node) Tick() {
	now := n.Clock()
	n.records.Sweep(now)
	n.reportAllSurvivals(now)
	n.syncStore(now)
	n.mu.Lock()
	due := n.broadcasts.due(now)
	m := n.members
	n.mu.Unlock()
	var l []wireEntry
	for _, f := range due {
		r := n.records.Get(f)
		l = append(l, wireEntry{f.String(), newWireRecord(r, now)})
		if r.Decide(now) == Allow {
			// The record is sent once more, so that the others learn that the content is no longer
			// suspect, and then no longer.
			n.mu.Lock()
			delete(n.broadcasts, f)
			n.mu.Unlock()
		}
	}
	for len(l) > 0 {
		k := min(maxRecordsPerMessage, len(l))
		n.sendAll(m, l[:k])
		l = l[k:]
	}
}

// sendAll sends the records to all registered members, which relay them to their followers, and to
// the followers of this instance.
func (n *Node) sendAll(to []peer.Member, l []wireEntry) {
	b := encode(message{Records: l, From: n.Self})
	for _, m := range to {
		if m.ID != n.Self {
			// A lost datagram is made up for by the next broadcast.
			_ = n.Net.Send(m.Addr, b)
		}
	}
	n.relayToFollowers(message{Records: l, From: n.Self})
}

// relayToFollowers sends the records to the followers of this instance.
func (n *Node) relayToFollowers(m message) {
	if n.Followers == nil {
		return
	}
	m.Relayed = true
	b := encode(m)
	for _, a := range n.Followers() {
		_ = n.Net.Send(a, b)
	}
}
