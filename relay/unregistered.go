package relay

import (
	"slices"

	"fieldvale/peer"
)

// In a large fleet few instances are registered as members. The others follow members.

const (
	// sourcesPerInstance is how many members an unregistered instance has as sources, and
	// primarySources how many of them it queries before the store. Each instance has its
	// own sources, so that all members share the followers. With a third of the members cut
	// off, one instance in a hundred is left without a source and asks the store; an
	// instance that is cut off from all members does so after two queries without an
	// answer.
	sourcesPerInstance = 4
	primarySources     = 2
)

// These constants bound through how many instances state may have passed when an instance
// receives it. Members query each other: if one accepted state that another one has from a
// third, members might follow each other in a circle. An unregistered instance is queried
// by none, so it may receive state that passed through one instance. unknownHops exceeds
// both bounds.
const (
	maxHopsRegistered   = 0
	maxHopsUnregistered = 1
	unknownHops         = maxHopsUnregistered + 1
)

// isUnregistered reports whether this instance is not among the members that it knows of.
func (n *Node) isUnregistered() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !slices.ContainsFunc(n.members, n.isSelf)
}

// unregisteredSources returns the members that an unregistered instance queries before the
// store, and those that it queries if the store can't be reached.
func (n *Node) unregisteredSources(members []peer.Member) (primary, fallback []peer.Member) {
	l := peer.Rank(n.self.ID, members)
	own := min(sourcesPerInstance, len(l))
	primary = n.usable(l[:own])
	fallback = n.usable(l[own:])
	return primary[:min(primarySources, len(primary))], fallback
}

// deferStore starts the longest backoff before the first call of the store: members that
// answer, and are disconnected themselves, ask the store in the order of their ranks.
func (n *Node) deferStore() {
	if n.storeDeferred || n.backoff.isActive(n.clock()) {
		return
	}
	n.storeDeferred = true
	n.backoff = deferredBackoff(n.clock())
}
