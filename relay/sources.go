package relay

import (
	"cmp"
	"slices"
	"time"

	"fieldvale/peer"
)

const (
	// followersEach is how many followers a watching instance has in a large
	// fleet, and minWatchers how many watch in any.
	followersEach = 40
	minWatchers   = 2
	// otherSources is how many instances that do not watch by their rank are
	// asked when those that do can't tell: one of them may have had to.
	otherSources = 4
	// tiers are the watchers and those that stand in for them.
	tiers = 2
	// watchersKey ranks the instances that watch.
	watchersKey = "watch"
)

// Watchers returns the instances that watch the store, of the given fleet:
// the same ones at each instance.
func Watchers(m []peer.Member) []peer.Member {
	r := ranked(m)
	return r[:min(watchers(len(m)), len(r))]
}

// ranked orders the instances by their duty to watch: those with the widest links
// first, since they read the store whole and pass it on.
func ranked(m []peer.Member) []peer.Member {
	r := peer.Rank(watchersKey, m)
	slices.SortStableFunc(r, func(a, b peer.Member) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
	return r
}

// watchers is how many of so many instances watch.
func watchers(members int) int {
	return max(minWatchers, (members+followersEach-1)/followersEach)
}

// sources returns the instances that are asked before the store, those that
// are asked if the store can't be, and this instance's own tier: how often the
// number of watchers stands before it.
func (n *Node) sources() (before, rest []peer.Member, tier int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := ranked(n.members)
	k := watchers(len(r))
	rank := slices.IndexFunc(r, n.isSelf)
	// With an empty list there is nobody to follow: the store is watched until
	// it names somebody.
	if rank < 0 && len(r) > 0 {
		before, rest = n.unlistedSources(r)
		tier = len(r)/k + 1
	} else {
		tier = max(0, rank) / k
		for t := range min(tier, tiers) {
			before = append(before, n.usable(peer.Rank(n.self.ID, r[t*k:(t+1)*k]))...)
		}
		rest = n.usable(r[min(tier, tiers)*k:])
	}
	if len(before)+len(rest) == 0 {
		rest = n.silentOnes(r)
	}
	return before, rest[:min(len(rest), otherSources)], tier
}

// silentOnes returns those that gave no answer the last time. Where there is nobody else to ask,
// this instance may have been the one that was cut off.
func (n *Node) silentOnes(m []peer.Member) []peer.Member {
	l := slices.DeleteFunc(slices.Clone(m), func(x peer.Member) bool { return n.isSelf(x) || !n.silent[x.ID] })
	return peer.Rank(n.self.ID, l)
}

func (n *Node) isSelf(m peer.Member) bool { return m.ID == n.self.ID }

// usable leaves out this instance and those passed over. Those that gave no answer the
// last time come last: one that has ended must not be asked before one that answers.
func (n *Node) usable(m []peer.Member) []peer.Member {
	now := n.clock()
	var l, silent []peer.Member
	for _, x := range m {
		switch {
		case x.ID == n.self.ID || now.Before(n.avoid[x.ID]):
		case n.silent[x.ID]:
			silent = append(silent, x)
		default:
			l = append(l, x)
		}
	}
	return append(l, silent...)
}

// passSilent leaves an instance out that gave no answer: for long only if it
// gave none the time before either, as one datagram may be lost.
func (n *Node) passSilent(m peer.Member) {
	n.mu.Lock()
	again := n.silent[m.ID]
	n.silent[m.ID] = true
	n.mu.Unlock()
	if !again {
		n.pass(m, askAgain)
		return
	}
	n.event("source_silent", "source", m.ID, "addr", m.Addr, "avoided", avoidFor)
	n.pass(m, avoidFor)
}

// heard notes an answer.
func (n *Node) heard(m peer.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.silent, m.ID)
}

// pass leaves an instance out for some time.
func (n *Node) pass(m peer.Member, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.avoid[m.ID] = n.clock().Add(d)
}
