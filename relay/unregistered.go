package relay

import (
	"slices"

	"fieldvale/peer"
)

// In a large fleet few instances are listed, and the others follow those.

const (
	// sourcesEach is how many listed instances an unlisted one has to ask
	// before the store, askedAtOnce how many of them in one go. Each has its
	// own ones, so that all listed instances share them. With a third of the
	// listed ones cut off one in a hundred is left without a source and asks the
	// store; one that is cut off from all does so after two silent ones.
	sourcesEach = 4
	askedAtOnce = 2
)

// What is known may come through so many instances to one that asks. Listed
// instances ask each other: if one took what another has from a third, all might
// follow each other in a circle. Nobody asks an unlisted one, so that it may be
// told by those that were told themselves.
const (
	hopsToListed   = 0
	hopsToUnlisted = 1
	unknownHops    = hopsToUnlisted + 1
)

// unlisted reports whether the list, as far as this instance knows it, does not
// name it.
func (n *Node) unlisted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !slices.ContainsFunc(n.members, n.isSelf)
}

// unlistedSources returns those of the listed instances that an unlisted one
// asks before the store, and those that it asks if the store can't be.
func (n *Node) unlistedSources(listed []peer.Member) (before, rest []peer.Member) {
	l := peer.Rank(n.self.ID, listed)
	own := min(sourcesEach, len(l))
	before = n.usable(l[:own])
	rest = n.usable(l[own:])
	return before[:min(askedAtOnce, len(before))], rest
}

// leaveStore has the store left alone for the longest pause there is before it
// is asked for the first time: listed instances that answer, and are out of touch
// themselves, ask it by their ranks.
func (n *Node) leaveStore() {
	if n.leftStore || n.backoff.waits(n.clock()) {
		return
	}
	n.leftStore = true
	n.backoff = leftToOthers(n.clock())
}

// setSourceFollowers keeps how many followers the one followed has.
func (n *Node) setSourceFollowers(followers int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sourceFollowers = followers
}

// FleetSize returns how many instances there are: the listed ones times those
// that each has with its followers, by what this instance, or the one it
// follows, sees. Where all instances take their shares of a sum by it, the
// shares add up to one, however unevenly followers are spread. It is 0 as long
// as the list is not known.
func (n *Node) FleetSize() int {
	n.mu.Lock()
	listed := len(n.members)
	isListed := slices.ContainsFunc(n.members, n.isSelf)
	f := n.sourceFollowers
	n.mu.Unlock()
	if isListed {
		f = n.followers.count(n.clock())
	}
	return listed * (1 + f)
}
