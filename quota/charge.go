package quota

import (
	"slices"
	"time"

	"fieldvale/peer"
)

// One instance counts what the replicas of a service get: the first of the list by a hash
// of the service. Others ask it for each request. Nothing is agreed on: each instance goes by
// its own list, and who may count as well keeps still while it hears that a better one does.

const (
	// witnesses is how many instances who counts tells so, those that come next after it.
	// As they answer, it knows that it is not cut off.
	witnesses = 4
	// witnessEvery is between these, silentAfter how long nothing is heard of an instance
	// that is taken to be silent: with three datagrams in ten lost, seven in a row are one
	// time in 5,000.
	witnessEvery = 250 * time.Millisecond
	silentAfter  = 2 * time.Second
	// settleMargin is how much longer than a change of the list takes to be known everywhere
	// an instance that has started waits before it counts: when all start at once, the
	// last ones announce themselves some two seconds after the first.
	settleMargin = 2 * time.Second
	// stoodStill is how long the timed duties of an instance must have waited for it to take it
	// that it stood still, and others have counted meanwhile.
	stoodStill = time.Second
	// wakeFor is how long it counts nothing then: until it has heard who does.
	wakeFor = silentAfter
)

// charge is what an instance has to do with counting for one service.
type charge struct {
	// usedAt is when the service last had a bounded replica, as far as is known here, and
	// knownSince from when on.
	usedAt, knownSince time.Time
	// mine says that this instance counts, by its book.
	mine bool
	book *book
	// toldAt is when it last told those that come after it.
	toldAt time.Time
	// heard is when other instances said that they count.
	heard map[string]time.Time
	queue queue
	// rate is how many requests a second all limited replicas of the service take.
	rate float64
	// undecidedSince is from when on nobody decided for this instance.
	undecidedSince time.Time
}

// chargeFor is how long a service without a bounded replica is kept in mind.
const chargeFor = 10 * time.Second

// charge returns the service's; n.mu is held.
func (n *Node) charge(service string, now time.Time) *charge {
	c, ok := n.charges[service]
	if !ok {
		c = &charge{knownSince: now, book: newBook(), heard: map[string]time.Time{}}
		n.charges[service] = c
	}
	c.usedAt = now
	return c
}

// ranked returns the instances that may count for the service, the first one first.
func (n *Node) ranked(service string) []peer.Member {
	if l, ok := n.rankings[service]; ok {
		return l
	}
	l := peer.Rank(rankingKey(service), n.members)
	n.rankings[service] = l
	return l
}

// counts reports whether this instance counts for the service now; n.mu is held. strictly
// asks that no other one can, as far as can be known: the first of a list that was confirmed
// lately.
func (n *Node) counts(service string, c *charge, now time.Time) (counts, strictly bool) {
	mine, first := n.mayCount(service, c, now)
	if mine && !c.mine {
		c.book = newBook()
	}
	c.mine = mine
	return mine, mine && first && n.IsMembershipCurrent()
}

func (n *Node) mayCount(service string, c *charge, now time.Time) (counts, first bool) {
	if now.Before(n.settledAt) || now.Sub(n.tickedAt) >= stoodStill {
		return false, false
	}
	if n.hearsBetter(service, c, now) {
		return false, false
	}
	i := slices.IndexFunc(n.ranked(service), func(m peer.Member) bool { return m.ID == n.Self })
	// Those before it count unless they were silent for as long as they would have been heard;
	// one that comes too late to be told so never knows.
	if i < 0 || i > witnesses || i > 0 && now.Sub(c.knownSince) < silentAfter {
		return false, false
	}
	return n.isInTouch(c, i == 0, now), i == 0
}

// hearsBetter reports whether one that ranks before this instance says that it counts, be it
// on this instance's list or not.
func (n *Node) hearsBetter(service string, c *charge, now time.Time) bool {
	for id, t := range c.heard {
		if now.Sub(t) < silentAfter && rankedBefore(service, id, n.Self) {
			return true
		}
	}
	return false
}

// rankingKey is what instances are ranked by for the service.
func rankingKey(service string) string { return "quota/" + service }

// rankedBefore reports whether the instance a would count before b.
func rankedBefore(service, a, b string) bool {
	return peer.Rank(rankingKey(service), []peer.Member{{ID: a}, {ID: b}})[0].ID == a
}

// isInTouch reports whether others hear this instance; one that is cut off from all would
// count beside the one that they ask. The first of the list takes it that they do until it
// has had the time to hear of them.
func (n *Node) isInTouch(c *charge, first bool, now time.Time) bool {
	if len(n.members) <= 1 || first && (now.Sub(c.knownSince) < silentAfter || now.Sub(n.settledAt) < silentAfter) {
		return true
	}
	return n.hearsAnyone(now)
}

// hearsAnyone reports whether another instance was heard of lately.
func (n *Node) hearsAnyone(now time.Time) bool {
	for _, t := range n.heardOf {
		if now.Sub(t) < silentAfter {
			return true
		}
	}
	return false
}

// witnessesOf returns whom to tell that this instance counts for the service.
func (n *Node) witnessesOf(service string) []peer.Member {
	var l []peer.Member
	for _, m := range n.ranked(service) {
		if m.ID != n.Self && len(l) < witnesses {
			l = append(l, m)
		}
	}
	return l
}

// woke has an instance that stood still begin anew: others have counted meanwhile.
func (n *Node) woke(now time.Time) {
	if t := now.Add(wakeFor); t.After(n.settledAt) {
		n.settledAt = t
	}
	for _, c := range n.charges {
		c.mine = false
	}
	clear(n.heardOf)
}
