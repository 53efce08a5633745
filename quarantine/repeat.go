package quarantine

import (
	"slices"
	"time"

	"fieldvale/peer"
)

const (
	// soonRepeats is how often a change is told anew, soonEvery apart, before it is told
	// each laterEvery only: three datagrams in ten may be lost, and an instance that has
	// just started, or comes back from a cut, has heard nothing.
	soonRepeats = 3
	soonEvery   = time.Second
	laterEvery  = 10 * time.Second
)

// repeat is when a content's record is told next.
type repeat struct {
	at    time.Time
	times int
}

// repeats are the records that this instance tells the others.
type repeats map[Fingerprint]repeat

// due returns the contents that are to be told now, and notes when they are next.
func (r repeats) due(now time.Time) []Fingerprint {
	var l []Fingerprint
	for f, x := range r {
		if now.Before(x.at) {
			continue
		}
		l = append(l, f)
		x.times++
		x.at = now.Add(soonEvery)
		if x.times > soonRepeats {
			x.at = now.Add(laterEvery)
		}
		r[f] = x
	}
	slices.SortFunc(l, Fingerprint.compare)
	return l
}

// Tick tells others what is due, and drops what is over.
func (n *Node) Tick() {
	now := n.Clock()
	n.book.Sweep(now)
	n.keepStore(now)
	n.mu.Lock()
	due := n.repeats.due(now)
	m := n.members
	n.mu.Unlock()
	var l []wireEntry
	for _, f := range due {
		r := n.book.Get(f)
		l = append(l, wireEntry{f.String(), newWireRecord(r, now)})
		if r.Decide(now) == Allow {
			// It is told once more that nothing holds, and then no more.
			n.mu.Lock()
			delete(n.repeats, f)
			n.mu.Unlock()
		}
	}
	for len(l) > 0 {
		k := min(perMessage, len(l))
		n.tellAll(m, l[:k])
		l = l[k:]
	}
}

// tellAll tells the records to all other instances: the listed ones, which pass them on,
// and those that follow this one.
func (n *Node) tellAll(to []peer.Member, l []wireEntry) {
	b := encode(message{Records: l, From: n.Self})
	for _, m := range to {
		if m.ID != n.Self {
			// What is lost is told again.
			_ = n.Net.Send(m.Addr, b)
		}
	}
	n.passOn(message{Records: l, From: n.Self})
}

// passOn tells the records to those that follow this instance.
func (n *Node) passOn(m message) {
	if n.Followers == nil {
		return
	}
	m.Passed = true
	b := encode(m)
	for _, a := range n.Followers() {
		_ = n.Net.Send(a, b)
	}
}
