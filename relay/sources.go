package relay

import (
	"cmp"
	"slices"
	"time"

	"fieldvale/peer"
)

const (
	// followersPerWatcher is how many followers a watcher has in a large fleet, and
	// minWatchers the minimum number of watchers in any fleet.
	followersPerWatcher = 40
	minWatchers         = 2
	// maxFallbackSources is how many other instances are queried when those of the first
	// tiers have no current state: one of them may have started to watch the store.
	maxFallbackSources = 4
	// sourceTiers is the number of tiers that later tiers query: the watchers and their
	// stand-ins.
	sourceTiers = 2
	// watchRankKey is the key of the ranking of watchers.
	watchRankKey = "watch"
)

// Watchers returns the members that watch the store. All instances with the same list of
// members compute the same result.
func Watchers(m []peer.Member) []peer.Member {
	r := watchRanking(m)
	return r[:min(watcherCount(len(m)), len(r))]
}

// watchRanking orders the members by their duty to watch: those with the widest links are
// first, since they read a snapshot from the store and pass it on.
func watchRanking(m []peer.Member) []peer.Member {
	r := peer.Rank(watchRankKey, m)
	slices.SortStableFunc(r, func(a, b peer.Member) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
	return r
}

// watcherCount returns the number of watchers for a number of members.
func watcherCount(members int) int {
	return max(minWatchers, (members+followersPerWatcher-1)/followersPerWatcher)
}

// sources returns the instances that are queried before the store, those that are queried
// if the store can't be reached, and this instance's tier. The tier of a member is its rank
// divided by the number of watchers; that of an unregistered instance is after all others.
func (n *Node) sources() (primary, fallback []peer.Member, tier int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := watchRanking(n.members)
	k := watcherCount(len(r))
	rank := slices.IndexFunc(r, n.isSelf)
	// Without members there is no instance to follow: this instance watches the store
	// until a member is registered.
	if rank < 0 && len(r) > 0 {
		primary, fallback = n.unregisteredSources(r)
		tier = len(r)/k + 1
	} else {
		tier = max(0, rank) / k
		for t := range min(tier, sourceTiers) {
			primary = append(primary, n.usable(peer.Rank(n.self.ID, r[t*k:(t+1)*k]))...)
		}
		fallback = n.usable(r[min(tier, sourceTiers)*k:])
	}
	if len(primary)+len(fallback) == 0 {
		fallback = n.silentSources(r)
	}
	return primary, fallback[:min(len(fallback), maxFallbackSources)], tier
}

// silentSources returns the members that did not answer the last query. They are queried
// where no other member is left: this instance may have been the one that was cut off.
func (n *Node) silentSources(m []peer.Member) []peer.Member {
	l := slices.DeleteFunc(slices.Clone(m), func(x peer.Member) bool { return n.isSelf(x) || !n.silent[x.ID] })
	return peer.Rank(n.self.ID, l)
}

func (n *Node) isSelf(m peer.Member) bool { return m.ID == n.self.ID }

// usable returns the members without this instance and those to avoid. Members that did
// not answer the last query are last: one that has ended must not be queried before one
// that answers.
func (n *Node) usable(m []peer.Member) []peer.Member {
	now := n.clock()
	var l, silent []peer.Member
	for _, x := range m {
		switch {
		case x.ID == n.self.ID || now.Before(n.avoidUntil[x.ID]):
		case n.silent[x.ID]:
			silent = append(silent, x)
		default:
			l = append(l, x)
		}
	}
	return append(l, silent...)
}

// avoidSilent avoids an instance that did not answer: for longAvoid only if it did not
// answer the query before either, as one datagram may be lost.
func (n *Node) avoidSilent(m peer.Member) {
	n.mu.Lock()
	isRepeated := n.silent[m.ID]
	n.silent[m.ID] = true
	n.mu.Unlock()
	if !isRepeated {
		n.avoidSource(m, shortAvoid)
		return
	}
	n.event("source_silent", "source", m.ID, "addr", m.Addr, "avoided", longAvoid)
	n.avoidSource(m, longAvoid)
}

// markResponsive records that an instance answered. Where none had answered for longer than a query takes, this
// instance may have been the one that was cut off: those that were silent then are no longer avoided.
func (n *Node) markResponsive(m peer.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	if n.silent[m.ID] && now.Sub(n.answeredAt) > n.timing.PeerWait+answerSlack {
		for id := range n.silent {
			delete(n.avoidUntil, id)
		}
	}
	n.answeredAt = now
	delete(n.silent, m.ID)
}

// avoidSource excludes an instance from the sources for d.
func (n *Node) avoidSource(m peer.Member, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.avoidUntil[m.ID] = n.clock().Add(d)
}
